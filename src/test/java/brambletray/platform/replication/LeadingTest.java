package brambletray.platform.replication;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

/** The leader by itself: when it sends entries again to a member that has not acknowledged them. */
class LeadingTest {
    private static final Member LEADER = new Member("a", "a", 1);
    private static final Member FOLLOWER = new Member("b", "b", 2);
    private static final View VIEW = new View(new Ballot(5, 1), List.of(LEADER, FOLLOWER), List.of());
    private static final int HEARTBEAT_MS = 100;

    private final RecordingOut out = new RecordingOut();
    private final MemberState desk = new MemberState(ReplicationSettings.usual(1), out, RecordingOut.stateless(), 77);

    private Leader leading() {
        desk.now = 1_000;
        desk.me = LEADER;
        desk.view = VIEW;
        desk.inForce = true;
        return new Leader(desk);
    }

    /** Heartbeat answers without progress, for so long. */
    private void answersWithoutProgress(Leader leading, int ms) {
        for (int passed = 0; passed < ms; passed += HEARTBEAT_MS) {
            desk.now += HEARTBEAT_MS;
            leading.back(new Frame.HeartbeatAnswer(VIEW.ballot(), FOLLOWER.life(), passed, 0, VIEW.ballot(), false));
        }
    }

    private long timesSent() {
        return out.sentTo("b", Frame.Append.class).stream()
                .filter(append -> !append.entries().isEmpty())
                .count();
    }

    /**
     * <pre>
     * ms    leader                follower
     * 0     100 kB are sent
     * 100   ...                   heartbeat answers, nothing on disk yet
     * 600   not sent again
     * 800   sent again
     * </pre>
     */
    @Test
    void waitsForAsLongAsTheBytesTakeBeforeItSendsThemAgain() {
        Leader leading = leading();
        leading.take(77, 1, new byte[100_000]);
        answersWithoutProgress(leading, 600);
        assertEquals(1, timesSent(), "100 kB take 800 ms at 1 Mbit/s");
        answersWithoutProgress(leading, 200);
        assertEquals(2, timesSent(), "before the member is held to be slow");
    }

    @Test
    void sendsAFewBytesAgainSoon() {
        Leader leading = leading();
        leading.take(77, 1, new byte[100]);
        answersWithoutProgress(leading, 300);
        assertEquals(2, timesSent());
    }
}
