package brambletray.platform.replication;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** One member by itself: what it says, and that it says nothing before it is on the disk. */
class MemberTest {
    private static final Member A = new Member("a", "a", 1);
    private static final Member B = new Member("b", "b", 2);
    private static final Member C = new Member("c", "c", 3);
    private static final View VIEW = new View(new Ballot(5, 1), List.of(A, B, C), List.of());

    private final List<Object> said = new ArrayList<>();
    private long ticket;
    private long now = 1000;

    private final ReplicationActions out = new ReplicationActions() {
        @Override
        public void send(String address, Frame frame) {
            said.add(frame);
        }

        @Override
        public void persist(long which, Map<String, byte[]> changes) {
            ticket = which;
        }

        @Override
        public void outcome(long token, ProposalOutcome outcome) {
            said.add(outcome);
        }

        @Override
        public void confirmed(long token, boolean yes) {
            said.add(yes);
        }

        @Override
        public void changed() {}

        @Override
        public void tell(String event, Object... facts) {}
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
        public void deliver(long index, byte[] change) {
            said.add(index);
        }
    };

    /** Member b of a view in force that a leads. */
    private Replica follower() {
        DurableState kept =
                new DurableState(2, List.of(), VIEW.ballot(), VIEW, true, ReplicatedLog.empty(), List.of(), List.of());
        return new Replica(
                "b",
                "b",
                "",
                9,
                77,
                kept,
                List.of("a", "b", "c"),
                false,
                ReplicationSettings.usual(1),
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

    private static Frame.Append append(long after, long commit) {
        return new Frame.Append(
                VIEW.ballot(), after, after == 0 ? Ballot.NONE : VIEW.ballot(), List.of(entry(after + 1)), commit);
    }

    @Test
    void acknowledgesOnlyWhatIsOnTheDiskAndDeliversOnlyWhatIsKept() {
        Replica b = follower();
        b.heard("a", append(0, 0), now);
        assertNull(last(Frame.Ack.class));
        b.synced(ticket, now);
        assertEquals(1, last(Frame.Ack.class).index());
        assertNull(last(Long.class));
        b.heard("a", append(1, 1), now);
        assertEquals(1, last(Long.class));
    }

    @Test
    void tellsOnlyAfterItsPromiseIsOnTheDiskAndThenAcknowledgesNothing() {
        Replica b = follower();
        b.heard("c", new Frame.StopRequest(new Ballot(6, 3), C, List.of()), now + 3000);
        assertNull(last(Frame.StopAnswer.class));
        b.synced(ticket, now + 3000);
        assertEquals(new Ballot(6, 3), last(Frame.StopAnswer.class).ballot());
        b.heard("a", append(0, 0), now + 3000);
        b.synced(ticket, now + 3000);
        assertNull(last(Frame.Ack.class));
        b.heard("a", new Frame.StopRequest(new Ballot(6, 1), A, List.of()), now + 3000);
        assertEquals(new Ballot(6, 3), last(Frame.Refuse.class).promised());
    }

    @Test
    void whoHearsItsLeaderRefusesOthersAndWhoIsntInIsToldSo() {
        Replica b = follower();
        b.heard("a", new Frame.Heartbeat(VIEW.ballot(), 1, 0, 0, true, false), now);
        b.heard("c", new Frame.StopRequest(new Ballot(6, 3), C, List.of()), now + 100);
        assertTrue(last(Frame.Refuse.class).calm());
        b.heard("d", new Frame.StopRequest(new Ballot(7, 4), new Member("d", "d", 4), List.of()), now + 3000);
        assertEquals(VIEW, last(Frame.NotMember.class).view());
    }

    @Test
    void onlyTheAnswerToItsOwnQuestionProvesADiskLost() {
        Replica b = follower();
        b.heard("c", new Frame.IdentityAnswer(1, new Member("c", "c", 33)), now);
        b.heard("c", new Frame.JoinRequest(new Member("c", "c", 33), Ballot.NONE, 0, Ballot.NONE, 0), now);
        long nonce = last(Frame.IdentityRequest.class).nonce();
        b.heard("c", new Frame.IdentityAnswer(nonce + 1, new Member("c", "c", 33)), now);
        b.heard("a", new Frame.StopRequest(new Ballot(6, 1), A, List.of()), now);
        b.synced(ticket, now);
        assertEquals(List.of(), last(Frame.StopAnswer.class).dead());
        b.heard("c", new Frame.IdentityAnswer(nonce, new Member("c", "c", 33)), now);
        b.synced(ticket, now);
        b.heard("a", new Frame.StopRequest(new Ballot(6, 1), A, List.of()), now);
        assertEquals(List.of(3L), last(Frame.StopAnswer.class).dead());
    }

    @Test
    void aProposalThatWasNeverGivenToALeaderIsRefusedAndOneThatWasIsUnclear() {
        Replica b = follower();
        b.propose(1, new byte[] {1}, now);
        assertEquals(VIEW.ballot(), last(Frame.Submit.class).view());
        b.heard("a", new Frame.StopRequest(new Ballot(6, 1), A, List.of()), now);
        b.propose(2, new byte[] {2}, now);
        for (int i = 0; i < 100; i++) {
            b.tick(now += 40);
        }
        assertEquals(
                List.of(ProposalOutcome.UNCLEAR, ProposalOutcome.REFUSED),
                said.stream().filter(one -> one instanceof ProposalOutcome).toList());
    }

    @Test
    void aLeaderTakesProposalsOfItsOwnViewOnlyAndEachOnce() {
        View alone = new View(new Ballot(5, 2), List.of(B), List.of());
        DurableState kept = new DurableState(
                2, List.of(), alone.ballot(), alone, true, ReplicatedLog.empty(), List.of(), List.of());
        Replica b = new Replica(
                "b", "b", "", 9, 77, kept, List.of("b"), false, ReplicationSettings.usual(0), out, stateMachine, now);
        for (int i = 0; i < 20 && !b.status().leading(); i++) {
            b.tick(now += 40);
            b.synced(ticket, now);
        }
        Ballot mine = new Ballot(b.status().number(), 2);
        b.heard("a", new Frame.Submit(alone.ballot(), 7, 1, new byte[0]), now);
        b.synced(ticket, now);
        assertNull(last(Long.class), "an old view's");
        b.heard("a", new Frame.Submit(mine, 7, 1, new byte[0]), now);
        b.heard("a", new Frame.Submit(mine, 7, 1, new byte[0]), now);
        b.synced(ticket, now);
        b.synced(ticket, now);
        assertEquals(1, last(Long.class));
    }

    /**
     * An entry whose sync ends after the promise: the change of view counts it by what is told, not by an
     * acknowledgement.
     */
    @Test
    void whoHasStoppedAcknowledgesNoEntryThatIsSyncedLaterAndConfirmsNoRead() {
        Replica b = follower();
        b.heard("a", append(0, 0), now);
        b.heard("a", new Frame.StopRequest(new Ballot(6, 1), A, List.of()), now);
        b.synced(ticket, now);
        b.synced(ticket, now);
        assertEquals(1, last(Frame.StopAnswer.class).end());
        assertNull(last(Frame.Ack.class));
        b.heard("c", new Frame.ConfirmRequest(VIEW.ballot(), 1), now);
        assertNull(last(Frame.ConfirmAnswer.class));
    }

    /** The giver's log may have changed since it was offered: only the one that was offered is kept with the view. */
    @Test
    void keepsNoOtherLogThanTheOneThatWasOffered() {
        View next = new View(new Ballot(6, 1), List.of(A, B, C), List.of());
        Replica b = follower();
        b.heard("a", new Frame.TransferOffer(next, 2, VIEW.ballot()), now);
        b.heard("a", piece(last(Frame.PieceRequest.class), List.of(entry(1))), now);
        b.synced(ticket, now);
        assertNull(last(Frame.Installed.class), "one entry, where two were offered");
        assertEquals(5, b.status().number());
        b.heard("a", new Frame.TransferOffer(next, 2, VIEW.ballot()), now);
        b.heard("a", piece(last(Frame.PieceRequest.class), List.of(entry(1), entry(2))), now);
        b.synced(ticket, now);
        assertEquals(next.ballot(), last(Frame.Installed.class).view());
    }

    /** All of it in one piece. */
    private static Frame.Piece piece(Frame.PieceRequest asked, List<LogEntry> entries) {
        LogPatch patch = new LogPatch(false, 0, Ballot.NONE, new byte[0], entries);
        byte[] bytes = ReplicationCodec.patch(patch, 0);
        return new Frame.Piece(asked.id(), 0, bytes.length, bytes, CutDigest.of(patch, 0, bytes));
    }
}
