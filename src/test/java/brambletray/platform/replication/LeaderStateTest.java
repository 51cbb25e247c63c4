package brambletray.platform.replication;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

/** The leader by itself: when it sends entries again to a member that has not acknowledged them. */
class LeaderStateTest {
    private static final Member LEADER = new Member("a", "a", 1);
    private static final Member FOLLOWER = new Member("b", "b", 2);
    private static final View VIEW = new View(new Ballot(5, 1), List.of(LEADER, FOLLOWER), List.of());
    private static final int HEARTBEAT_MS = 100;

    private final RecordingReplicationActions actions = new RecordingReplicationActions();
    private final ReplicaState state = RecordingReplicationActions.state(
            new DurableState(1, List.of(), Ballot.NONE, VIEW, true, ReplicatedLog.empty(), List.of(), List.of()), actions);

    private LeaderState newLeader() {
        return new LeaderState(state);
    }

    /** Heartbeat answers without progress, for so long. */
    private void answerHeartbeatsWithoutProgress(LeaderState leader, int ms) {
        for (int passed = 0; passed < ms; passed += HEARTBEAT_MS) {
            state.advanceTo(state.nowMs() + HEARTBEAT_MS);
            leader.onHeartbeatResponse(new ReplicationMessage.HeartbeatResponse(
                    VIEW.ballot(), FOLLOWER.incarnation(), passed, 0, VIEW.ballot(), false));
        }
    }

    private long appendsWithEntries() {
        return actions.sentTo("b", ReplicationMessage.AppendRequest.class).stream()
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
    void waitsForTheTransferTimeBeforeRetransmitting() {
        LeaderState leader = newLeader();
        leader.propose(77, 1, new byte[100_000]);
        answerHeartbeatsWithoutProgress(leader, 600);
        assertEquals(1, appendsWithEntries(), "100 kB take 800 ms at 1 Mbit/s");
        answerHeartbeatsWithoutProgress(leader, 200);
        assertEquals(2, appendsWithEntries(), "before the member is held to be slow");
    }

    @Test
    void retransmitsSmallEntriesSoon() {
        LeaderState leader = newLeader();
        leader.propose(77, 1, new byte[100]);
        answerHeartbeatsWithoutProgress(leader, 300);
        assertEquals(2, appendsWithEntries());
    }
}
