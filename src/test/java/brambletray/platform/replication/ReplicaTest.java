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

    private final List<Object> said = new ArrayList<>();
    private long ticket;
    private long now = 1000;

    private final ReplicationActions out = new ReplicationActions() {
        @Override
        public void send(String address, ReplicationMessage frame) {
            said.add(frame);
        }

        @Override
        public void persist(long which, Map<String, byte[]> changes) {
            ticket = which;
        }

        @Override
        public void proposalCompleted(long token, ProposalOutcome outcome) {
            said.add(outcome);
        }

        @Override
        public void readIndexCompleted(long token, boolean yes) {
            said.add(yes);
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
            said.add(index);
        }
    };

    /** Member b of an active view that a leads. */
    private Replica follower() {
        DurableState durableState =
                new DurableState(2, List.of(), VIEW.ballot(), VIEW, true, ReplicatedLog.empty(), List.of(), List.of());
        return new Replica(
                new ReplicaConfig("b", "b", "", 9, 77, List.of("a", "b", "c"), false, ReplicationSettings.defaults(1)),
                durableState,
                out,
                stateMachine,
                now);
    }

    private <T> T last(Class<T> type) {
        for (int i = said.size() - 1; i >= 0; i--) {
            if (type.isInstance(said.get(i))) {
                return type.cast(said.get(i));
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
    void acknowledgesOnlyWhatIsOnTheDiskAndDeliversOnlyWhatIsKept() {
        Replica b = follower();
        b.receive("a", append(0, 0), now);
        assertNull(last(ReplicationMessage.AppendResponse.class));
        b.synced(ticket, now);
        assertEquals(1, last(ReplicationMessage.AppendResponse.class).durableIndex());
        assertNull(last(Long.class));
        b.receive("a", append(1, 1), now);
        assertEquals(1, last(Long.class));
    }

    @Test
    void tellsOnlyAfterItsPromiseIsOnTheDiskAndThenAcknowledgesNothing() {
        Replica b = follower();
        b.receive("c", new ReplicationMessage.PrepareRequest(new Ballot(6, 3), C, List.of()), now + 3000);
        assertNull(last(ReplicationMessage.PrepareResponse.class));
        b.synced(ticket, now + 3000);
        assertEquals(
                new Ballot(6, 3), last(ReplicationMessage.PrepareResponse.class).ballot());
        b.receive("a", append(0, 0), now + 3000);
        b.synced(ticket, now + 3000);
        assertNull(last(ReplicationMessage.AppendResponse.class));
        b.receive("a", new ReplicationMessage.PrepareRequest(new Ballot(6, 1), A, List.of()), now + 3000);
        assertEquals(
                new Ballot(6, 3), last(ReplicationMessage.BallotRejected.class).promisedBallot());
    }

    @Test
    void whoHearsItsLeaderRefusesOthersAndWhoIsntInIsToldSo() {
        Replica b = follower();
        b.receive("a", new ReplicationMessage.HeartbeatRequest(VIEW.ballot(), 1, 0, 0, true, false), now);
        b.receive("c", new ReplicationMessage.PrepareRequest(new Ballot(6, 3), C, List.of()), now + 100);
        assertTrue(last(ReplicationMessage.BallotRejected.class).leaderIsHealthy());
        b.receive(
                "d",
                new ReplicationMessage.PrepareRequest(new Ballot(7, 4), new Member("d", "d", 4), List.of()),
                now + 3000);
        assertEquals(VIEW, last(ReplicationMessage.NotMember.class).view());
    }

    @Test
    void onlyTheAnswerToItsOwnQuestionProvesADiskLost() {
        Replica b = follower();
        b.receive("c", new ReplicationMessage.IdentityResponse(1, new Member("c", "c", 33)), now);
        b.receive(
                "c", new ReplicationMessage.JoinRequest(new Member("c", "c", 33), Ballot.NONE, 0, Ballot.NONE, 0), now);
        long nonce = last(ReplicationMessage.IdentityRequest.class).nonce();
        b.receive("c", new ReplicationMessage.IdentityResponse(nonce + 1, new Member("c", "c", 33)), now);
        b.receive("a", new ReplicationMessage.PrepareRequest(new Ballot(6, 1), A, List.of()), now);
        b.synced(ticket, now);
        assertEquals(List.of(), last(ReplicationMessage.PrepareResponse.class).retiredIncarnations());
        b.receive("c", new ReplicationMessage.IdentityResponse(nonce, new Member("c", "c", 33)), now);
        b.synced(ticket, now);
        b.receive("a", new ReplicationMessage.PrepareRequest(new Ballot(6, 1), A, List.of()), now);
        assertEquals(List.of(3L), last(ReplicationMessage.PrepareResponse.class).retiredIncarnations());
    }

    @Test
    void aProposalThatWasNeverGivenToALeaderIsRefusedAndOneThatWasIsUnclear() {
        Replica b = follower();
        b.propose(1, new byte[] {1}, now);
        assertEquals(
                VIEW.ballot(), last(ReplicationMessage.ProposeRequest.class).viewBallot());
        b.receive("a", new ReplicationMessage.PrepareRequest(new Ballot(6, 1), A, List.of()), now);
        b.propose(2, new byte[] {2}, now);
        for (int i = 0; i < 100; i++) {
            b.tick(now += 40);
        }
        assertEquals(
                List.of(ProposalOutcome.UNKNOWN, ProposalOutcome.REJECTED),
                said.stream().filter(one -> one instanceof ProposalOutcome).toList());
    }

    @Test
    void aLeaderTakesProposalsOfItsOwnViewOnlyAndEachOnce() {
        View alone = new View(new Ballot(5, 2), List.of(B), List.of());
        DurableState durableState = new DurableState(
                2, List.of(), alone.ballot(), alone, true, ReplicatedLog.empty(), List.of(), List.of());
        Replica b = new Replica(
                new ReplicaConfig("b", "b", "", 9, 77, List.of("b"), false, ReplicationSettings.defaults(0)),
                durableState,
                out,
                stateMachine,
                now);
        for (int i = 0; i < 20 && !b.status().isLeader(); i++) {
            b.tick(now += 40);
            b.synced(ticket, now);
        }
        Ballot mine = new Ballot(b.status().viewNumber(), 2);
        b.receive("a", new ReplicationMessage.ProposeRequest(alone.ballot(), 7, 1, new byte[0]), now);
        b.synced(ticket, now);
        assertNull(last(Long.class), "an old view's");
        b.receive("a", new ReplicationMessage.ProposeRequest(mine, 7, 1, new byte[0]), now);
        b.receive("a", new ReplicationMessage.ProposeRequest(mine, 7, 1, new byte[0]), now);
        b.synced(ticket, now);
        b.synced(ticket, now);
        assertEquals(1, last(Long.class));
    }

    /**
     * An entry whose sync ends after the promise: the view change counts it by what is told, not by an
     * acknowledgement.
     */
    @Test
    void whoHasStoppedAcknowledgesNoEntryThatIsSyncedLaterAndConfirmsNoRead() {
        Replica b = follower();
        b.receive("a", append(0, 0), now);
        b.receive("a", new ReplicationMessage.PrepareRequest(new Ballot(6, 1), A, List.of()), now);
        b.synced(ticket, now);
        b.synced(ticket, now);
        assertEquals(1, last(ReplicationMessage.PrepareResponse.class).lastIndex());
        assertNull(last(ReplicationMessage.AppendResponse.class));
        b.receive("c", new ReplicationMessage.ReadIndexRequest(VIEW.ballot(), 1), now);
        assertNull(last(ReplicationMessage.ReadIndexResponse.class));
    }

    /** The source's log may have changed since it was offered: only the one that was offered is kept with the view. */
    @Test
    void keepsNoOtherLogThanTheOneThatWasOffered() {
        View next = new View(new Ballot(6, 1), List.of(A, B, C), List.of());
        Replica b = follower();
        b.receive("a", new ReplicationMessage.InstallViewOffer(next, 2, VIEW.ballot()), now);
        b.receive("a", piece(last(ReplicationMessage.FetchChunkRequest.class), List.of(entry(1))), now);
        b.synced(ticket, now);
        assertNull(last(ReplicationMessage.InstallViewResponse.class), "one entry, where two were offered");
        assertEquals(5, b.status().viewNumber());
        b.receive("a", new ReplicationMessage.InstallViewOffer(next, 2, VIEW.ballot()), now);
        b.receive("a", piece(last(ReplicationMessage.FetchChunkRequest.class), List.of(entry(1), entry(2))), now);
        b.synced(ticket, now);
        assertEquals(
                next.ballot(),
                last(ReplicationMessage.InstallViewResponse.class).viewBallot());
    }

    /** All of it in one piece. */
    private static ReplicationMessage.FetchChunkResponse piece(
            ReplicationMessage.FetchChunkRequest asked, List<LogEntry> entries) {
        LogPatch patch = new LogPatch(false, 0, Ballot.NONE, new byte[0], entries);
        byte[] bytes = ReplicationCodec.patch(patch, 0);
        return new ReplicationMessage.FetchChunkResponse(
                asked.transferId(), 0, bytes.length, bytes, TransferDescriptor.of(patch, 0, bytes));
    }
}
