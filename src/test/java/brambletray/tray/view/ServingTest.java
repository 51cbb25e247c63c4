package brambletray.tray.view;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** What a giver holds for those that fetch from it. */
class ServingTest {
    private static final Ballot INSTALLING = new Ballot(6, 1);
    private static final int RECEIVERS = 8;

    private final RecordingOut out = new RecordingOut();
    private final Desk desk = new Desk(Settings.usual(1), out, RecordingOut.stateless(), 77);

    /** The log of a view that is being installed can be had only as it is: no other cut does in its stead. */
    @Test
    void allThatLackTheSameOfANewViewAreServedFromOneCut() {
        Entry entry = new Entry(1, INSTALLING, 7, 1, new byte[2 * StateTransfer.PIECE]);
        Log log = new Log(0, Ballot.NONE, new byte[0], List.of(entry));
        Serving serving = new Serving(desk, view -> log);
        for (int i = 0; i < RECEIVERS; i++) {
            serving.pull("learner-" + i, new Frame.Pull(i + 1, 0, INSTALLING, 0, Ballot.NONE, 0, CutDigest.NONE));
        }
        for (int i = 0; i < RECEIVERS; i++) {
            List<Frame.Piece> pieces = out.sentTo("learner-" + i, Frame.Piece.class);
            assertEquals(1, pieces.size());
            assertTrue(pieces.get(0).total() > 0, "learner-" + i + " was refused");
        }
        assertEquals(RECEIVERS, out.sent.size());
    }
}
