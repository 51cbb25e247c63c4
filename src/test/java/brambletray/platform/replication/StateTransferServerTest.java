package brambletray.platform.replication;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** What a source holds for those that fetch from it. */
class StateTransferServerTest {
    private static final Ballot INSTALLING = new Ballot(6, 1);
    private static final int RECEIVERS = 8;

    private final RecordingReplicationActions out = new RecordingReplicationActions();
    private final ReplicaState state = RecordingReplicationActions.state(DurableState.empty(), out);

    /** The log of a view that is being installed can be had only as it is: no other cut does in its stead. */
    @Test
    void receiversWithTheSameNeedsOfANewViewShareOnePackedPatch() {
        LogEntry entry = new LogEntry(1, INSTALLING, 7, 1, new byte[2 * StateTransferClient.CHUNK_BYTES]);
        ReplicatedLog log = new ReplicatedLog(0, Ballot.NONE, new byte[0], List.of(entry));
        StateTransferServer serving = new StateTransferServer(state, view -> log);
        for (int i = 0; i < RECEIVERS; i++) {
            serving.onFetchChunk(
                    "learner-" + i,
                    new ReplicationMessage.FetchChunkRequest(
                            i + 1, 0, INSTALLING, 0, Ballot.NONE, 0, TransferDescriptor.NONE));
        }
        for (int i = 0; i < RECEIVERS; i++) {
            List<ReplicationMessage.FetchChunkResponse> pieces =
                    out.sentTo("learner-" + i, ReplicationMessage.FetchChunkResponse.class);
            assertEquals(1, pieces.size());
            assertTrue(pieces.get(0).totalBytes() > 0, "learner-" + i + " was refused");
        }
        assertEquals(RECEIVERS, out.sent.size());
    }
}
