package brambletray.platform.replication;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** One member by itself: what it says, and that it says nothing before it is on the disk. */
class ReplicaTest {
    private static final Member A = new Member("a", "a", 1);
    private static final Member B = new Member("b", "b", 2);
    private static final Member C = new Member("c", "c", 3);
    private static final View VIEW = new View(new Ballot(5, 1), List.of(A, B, C), List.of());

    private final List<Object> outputs = new ArrayList<>();
    private long lastTicket;
    private long now = 1000;

    private final ReplicationActions actions = new ReplicationActions() {
        @Override
        public void send(String address, ReplicationMessage frame) {
            outputs.add(frame);
        }

        @Override
        public void persist(long which, Map<String, byte[]> changes) {
            lastTicket = which;
        }

        @Override
        public void proposalCompleted(long token, ProposalOutcome outcome) {
            outputs.add(outcome);
        }

        @Override
        public void readIndexCompleted(long token, boolean yes) {
            outputs.add(yes);
        }

        @Override
        public void statusChanged() {}

        @Override
        public void log(ReplicationEvent event) {}
    };

    private final StateMachine stateMachine = new StateMachine() {
        @Override
        public byte[] snapshot() {
            return new byte[0];
        }

        @Override
        public byte[] replay(byte[] snapshot, List<byte[]> changes) {
            return new byte[0];
        }

        @Override
        public void restore(byte[] snapshot) {}

        @Override
        public void apply(long index, byte[] change) {
            outputs.add(index);
        }
    };

    /** Member b of an active view that a leads. */
    private Replica follower() {
        DurableState durableState =
                new DurableState(2, List.of(), VIEW.ballot(), VIEW, true, ReplicatedLog.empty(), List.of(), List.of());
        return new Replica(
                new ReplicaConfig("b", "b", "", 9, 77, List.of("a", "b", "c"), false, ReplicationSettings.defaults(1)),
                durableState,
                actions,
                stateMachine,
                now);
    }

    private <T> T lastOutput(Class<T> type) {
        for (int i = outputs.size() - 1; i >= 0; i--) {
            if (type.isInstance(outputs.get(i))) {
                return type.cast(outputs.get(i));
            }
        }
        return null;
    }

    private static LogEntry entry(long index) {
        return new LogEntry(index, VIEW.ballot(), 7, index, new byte[] {1});
    }

    private static ReplicationMessage.AppendRequest append(long after, long commit) {
        return new ReplicationMessage.AppendRequest(
                VIEW.ballot(), after, after == 0 ? Ballot.NONE : VIEW.ballot(), List.of(entry(after + 1)), commit);
    }

    @Test
    void acknowledgesOnlyDurableAndAppliesOnlyCommittedEntries() {
        Replica b = follower();
        b.receive("a", append(0, 0), now);
        assertNull(lastOutput(ReplicationMessage.AppendResponse.class));
        b.synced(lastTicket, now);
        assertEquals(1, lastOutput(ReplicationMessage.AppendResponse.class).durableIndex());
        assertNull(lastOutput(Long.class));
        b.receive("a", append(1, 1), now);
        assertEquals(1, lastOutput(Long.class));
    }

    @Test
    void answersPrepareOnceThePromiseIsDurableAndAcknowledgesNothingAfterIt() {
        Replica b = follower();
        b.receive("c", new ReplicationMessage.PrepareRequest(new Ballot(6, 3), C, List.of()), now + 3000);
        assertNull(lastOutput(ReplicationMessage.PrepareResponse.class));
        b.synced(lastTicket, now + 3000);
        assertEquals(
                new Ballot(6, 3), lastOutput(ReplicationMessage.PrepareResponse.class).ballot());
        b.receive("a", append(0, 0), now + 3000);
        b.synced(lastTicket, now + 3000);
        assertNull(lastOutput(ReplicationMessage.AppendResponse.class));
        b.receive("a", new ReplicationMessage.PrepareRequest(new Ballot(6, 1), A, List.of()), now + 3000);
        assertEquals(
                new Ballot(6, 3), lastOutput(ReplicationMessage.BallotRejected.class).promisedBallot());
    }

    @Test
    void rejectsPrepareWhileTheLeaderIsHealthyAndInformsNonMembers() {
        Replica b = follower();
        b.receive("a", new ReplicationMessage.HeartbeatRequest(VIEW.ballot(), 1, 0, 0, true, false), now);
        b.receive("c", new ReplicationMessage.PrepareRequest(new Ballot(6, 3), C, List.of()), now + 100);
        assertTrue(lastOutput(ReplicationMessage.BallotRejected.class).leaderIsHealthy());
        b.receive(
                "d",
                new ReplicationMessage.PrepareRequest(new Ballot(7, 4), new Member("d", "d", 4), List.of()),
                now + 3000);
        assertEquals(VIEW, lastOutput(ReplicationMessage.NotMember.class).view());
    }

    @Test
    void onlyTheResponseWithTheCurrentNonceProvesADiskLost() {
        Replica b = follower();
        b.receive("c", new ReplicationMessage.IdentityResponse(1, new Member("c", "c", 33)), now);
        b.receive(
                "c", new ReplicationMessage.JoinRequest(new Member("c", "c", 33), Ballot.NONE, 0, Ballot.NONE, 0), now);
        long nonce = lastOutput(ReplicationMessage.IdentityRequest.class).nonce();
        b.receive("c", new ReplicationMessage.IdentityResponse(nonce + 1, new Member("c", "c", 33)), now);
        b.receive("a", new ReplicationMessage.PrepareRequest(new Ballot(6, 1), A, List.of()), now);
        b.synced(lastTicket, now);
        assertEquals(List.of(), lastOutput(ReplicationMessage.PrepareResponse.class).retiredIncarnations());
        b.receive("c", new ReplicationMessage.IdentityResponse(nonce, new Member("c", "c", 33)), now);
        b.synced(lastTicket, now);
        b.receive("a", new ReplicationMessage.PrepareRequest(new Ballot(6, 1), A, List.of()), now);
        assertEquals(List.of(3L), lastOutput(ReplicationMessage.PrepareResponse.class).retiredIncarnations());
    }

    @Test
    void anUnsentProposalTimesOutAsRejectedAndASentOneAsUnknown() {
        Replica b = follower();
        b.propose(1, new byte[] {1}, now);
        assertEquals(
                VIEW.ballot(), lastOutput(ReplicationMessage.ProposeRequest.class).viewBallot());
        b.receive("a", new ReplicationMessage.PrepareRequest(new Ballot(6, 1), A, List.of()), now);
        b.propose(2, new byte[] {2}, now);
        for (int i = 0; i < 100; i++) {
            b.tick(now += 40);
        }
        assertEquals(
                List.of(ProposalOutcome.UNKNOWN, ProposalOutcome.REJECTED),
                outputs.stream().filter(one -> one instanceof ProposalOutcome).toList());
    }

    @Test
    void aLeaderAcceptsOnlyProposalsOfItsOwnViewAndEachOnce() {
        View alone = new View(new Ballot(5, 2), List.of(B), List.of());
        DurableState durableState = new DurableState(
                2, List.of(), alone.ballot(), alone, true, ReplicatedLog.empty(), List.of(), List.of());
        Replica b = new Replica(
                new ReplicaConfig("b", "b", "", 9, 77, List.of("b"), false, ReplicationSettings.defaults(0)),
                durableState,
                actions,
                stateMachine,
                now);
        for (int i = 0; i < 20 && !b.status().isLeader(); i++) {
            b.tick(now += 40);
            b.synced(lastTicket, now);
        }
        Ballot mine = new Ballot(b.status().viewNumber(), 2);
        b.receive("a", new ReplicationMessage.ProposeRequest(alone.ballot(), 7, 1, new byte[0]), now);
        b.synced(lastTicket, now);
        assertNull(lastOutput(Long.class), "an old view's");
        b.receive("a", new ReplicationMessage.ProposeRequest(mine, 7, 1, new byte[0]), now);
        b.receive("a", new ReplicationMessage.ProposeRequest(mine, 7, 1, new byte[0]), now);
        b.synced(lastTicket, now);
        b.synced(lastTicket, now);
        assertEquals(1, lastOutput(Long.class));
    }

    /**
     * An entry whose sync ends after the promise: the view change counts it by what is told, not by an
     * acknowledgement.
     */
    @Test
    void aSuspendedMemberAcknowledgesNoEntrySyncedLaterAndConfirmsNoRead() {
        Replica b = follower();
        b.receive("a", append(0, 0), now);
        b.receive("a", new ReplicationMessage.PrepareRequest(new Ballot(6, 1), A, List.of()), now);
        b.synced(lastTicket, now);
        b.synced(lastTicket, now);
        assertEquals(1, lastOutput(ReplicationMessage.PrepareResponse.class).lastIndex());
        assertNull(lastOutput(ReplicationMessage.AppendResponse.class));
        b.receive("c", new ReplicationMessage.ReadIndexRequest(VIEW.ballot(), 1), now);
        assertNull(lastOutput(ReplicationMessage.ReadIndexResponse.class));
    }

    /** The source's log may have changed since it was offered: only the one that was offered is kept with the view. */
    @Test
    void installsOnlyTheLogThatWasOffered() {
        View next = new View(new Ballot(6, 1), List.of(A, B, C), List.of());
        Replica b = follower();
        b.receive("a", new ReplicationMessage.InstallViewOffer(next, 2, VIEW.ballot()), now);
        b.receive("a", wholeLogInOneChunk(lastOutput(ReplicationMessage.FetchChunkRequest.class), List.of(entry(1))), now);
        b.synced(lastTicket, now);
        assertNull(lastOutput(ReplicationMessage.InstallViewResponse.class), "one entry, where two were offered");
        assertEquals(5, b.status().viewNumber());
        b.receive("a", new ReplicationMessage.InstallViewOffer(next, 2, VIEW.ballot()), now);
        b.receive("a", wholeLogInOneChunk(lastOutput(ReplicationMessage.FetchChunkRequest.class), List.of(entry(1), entry(2))), now);
        b.synced(lastTicket, now);
        assertEquals(
                next.ballot(),
                lastOutput(ReplicationMessage.InstallViewResponse.class).viewBallot());
    }

    /** All of it in one piece. */
    private static ReplicationMessage.FetchChunkResponse wholeLogInOneChunk(
            ReplicationMessage.FetchChunkRequest asked, List<LogEntry> entries) {
        LogPatch patch = new LogPatch(false, 0, Ballot.NONE, new byte[0], entries);
        byte[] bytes = ReplicationCodec.patch(patch, 0);
        return new ReplicationMessage.FetchChunkResponse(
                asked.transferId(), 0, bytes.length, bytes, TransferDescriptor.of(patch, 0, bytes));
    }
}
