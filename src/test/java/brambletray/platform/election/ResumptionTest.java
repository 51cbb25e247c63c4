package brambletray.platform.election;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brambletray.platform.replication.Ballot;
import brambletray.platform.replication.Member;
import brambletray.platform.replication.ReplicaRole;
import brambletray.platform.replication.ReplicaStatus;
import brambletray.platform.replication.ViewMembership;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * All processes were killed. A held the lease in view 5 and requests it again. Whether it has to wait, because a lease
 * of another may still be valid, depends on the views since.
 *
 * <pre>
 *   view 5   A B C     A holds the lease
 *   (all killed)
 *   view 6   A B       or B C
 *   view 7   A B C     all grant it to A: at once, or after 1.2 s
 * </pre>
 */
class ResumptionTest {
    private static final Member A = new Member("a", "a", 0xa);
    private static final Member B = new Member("b", "b", 0xb);
    private static final Member C = new Member("c", "c", 0xc);
    private static final Member B_WIPED = new Member("b", "b", 0xbb);
    private static final long HELD_TERM = 5L << 20 | 1;
    private static final int TICK_MS = 25;

    private static final ViewMembership VIEW_5 = viewMembership(5, A, B, C);

    private final Map<Member, LeaseElection> elections = new HashMap<>();
    private final Map<Member, ReplicaStatus> statuses = new HashMap<>();
    private final List<Runnable> pendingMessages = new ArrayList<>();
    private long now = 10_000;

    private static ViewMembership viewMembership(long number, Member... members) {
        return new ViewMembership(new Ballot(number, members[0].incarnation()), List.of(members));
    }

    /** The stored grant of a term that was granted to this incarnation and renewed in view 5. */
    private static byte[] storedGrant(Member holder) {
        return ByteBuffer.allocate(25)
                .put((byte) 2)
                .putLong(HELD_TERM)
                .putLong(holder.incarnation())
                .putLong(5)
                .array();
    }

    private void start(Member self, byte[] disk) {
        LeaseElection[] created = new LeaseElection[1];
        created[0] = new LeaseElection(
                "helm",
                self,
                disk,
                LeaseTimings.defaults(),
                new ElectionActions() {
                    @Override
                    public void send(String address, ElectionMessage frame) {
                        pendingMessages.add(() -> elections.forEach((to, election) -> {
                            if (to.address().equals(address)) {
                                election.receive(self.address(), frame, now);
                            }
                        }));
                    }

                    @Override
                    public void persist(long ticket, Map<String, byte[]> changes) {
                        pendingMessages.add(() -> created[0].synced(ticket, now));
                    }

                    @Override
                    public void won(long term) {}

                    @Override
                    public void lost(long term) {}

                    @Override
                    public void log(ElectionEvent event) {}
                },
                now);
        elections.put(self, created[0]);
    }

    private void setView(Member self, ViewMembership view, ViewMembership... lineage) {
        long previousNumber =
                lineage.length == 0 ? -1 : lineage[lineage.length - 1].ballot().number();
        List<Member> members = view.members();
        statuses.put(
                self,
                new ReplicaStatus(
                        ReplicaRole.MEMBER,
                        self,
                        view.ballot().number(),
                        previousNumber,
                        members,
                        members.get(0),
                        members.get(0).equals(self),
                        true,
                        true,
                        0,
                        0,
                        false,
                        List.of(lineage)));
        elections.get(self).updateView(statuses.get(self), now);
    }

    private void runFor(long ms) {
        for (long until = now + ms; now < until; now += TICK_MS) {
            elections.forEach((self, election) -> {
                if (statuses.containsKey(self)) {
                    election.updateView(statuses.get(self), now);
                }
                election.tick(now);
            });
            while (!pendingMessages.isEmpty()) {
                pendingMessages.remove(0).run();
            }
        }
    }

    private boolean holdsLease(Member self) {
        return elections.get(self).mayAct(now);
    }

    private void startAll() {
        start(A, storedGrant(A));
        start(B, storedGrant(A));
        start(C, storedGrant(A));
    }

    @Test
    void resumesAtOnceAfterOneViewChange() {
        startAll();
        ViewMembership view6 = viewMembership(6, A, B, C);
        for (Member member : List.of(A, B, C)) {
            setView(member, view6, VIEW_5);
        }
        runFor(200);
        assertTrue(holdsLease(A));
    }

    @Test
    void resumesAtOnceIfAllMembersOfTheIntermediateViewArePresent() {
        startAll();
        ViewMembership view6 = viewMembership(6, A, B);
        ViewMembership view7 = viewMembership(7, A, B, C);
        setView(A, view7, VIEW_5, view6);
        setView(B, view7, VIEW_5, view6);
        setView(C, view7, view6);
        runFor(200);
        assertTrue(holdsLease(A));
    }

    /** The former holder is the last to restart, and learns of the views since from a voter. */
    @Test
    void resumesAtOnceIfAVoterKnowsTheLineage() {
        startAll();
        ViewMembership view6 = viewMembership(6, B, C);
        ViewMembership view7 = viewMembership(7, A, B, C);
        setView(A, view7, view6);
        setView(B, view7, VIEW_5, view6);
        setView(C, view7, VIEW_5, view6);
        runFor(200);
        assertTrue(holdsLease(A));
    }

    /**
     * B's disk was wiped between the views. B may have granted the lease to C in view 5, and C may still act under it,
     * but no member of view 7 knows of that grant.
     */
    @Test
    void waitsIfAMemberOfTheIntermediateViewWasWiped() {
        start(A, storedGrant(A));
        start(B_WIPED, null);
        ViewMembership view6 = viewMembership(6, A, B);
        ViewMembership view7 = viewMembership(7, A, B_WIPED);
        setView(A, view7, VIEW_5, view6);
        setView(B_WIPED, view7, view6);
        runFor(1_150);
        assertFalse(holdsLease(A) || holdsLease(B_WIPED), "a member acts while a lease of view 5 may be valid");
        runFor(2_000);
        assertTrue(holdsLease(A) || holdsLease(B_WIPED));
    }

    /** No member knows which view preceded view 6. */
    @Test
    void waitsIfTheLineageIsUnknown() {
        startAll();
        ViewMembership view6 = viewMembership(6, B, C);
        ViewMembership view7 = viewMembership(7, A, B, C);
        for (Member member : List.of(A, B, C)) {
            setView(member, view7, view6);
        }
        runFor(1_150);
        assertFalse(holdsLease(A) || holdsLease(B) || holdsLease(C));
        runFor(2_000);
        assertEquals(1, List.of(A, B, C).stream().filter(this::holdsLease).count());
    }

    /** B granted the lease to C after A had held it in view 5: B refuses until that lease has expired. */
    @Test
    void waitsIfTheLeaseWasGrantedToAnotherSince() {
        start(A, storedGrant(A));
        start(B, storedGrant(C));
        ViewMembership view6 = viewMembership(6, A, B);
        setView(A, view6, VIEW_5);
        setView(B, view6, VIEW_5);
        runFor(1_150);
        assertFalse(holdsLease(A) || holdsLease(B));
    }

    /**
     * The grants of a majority are not enough: the member that refuses may be the only one that knows of an unexpired
     * lease.
     */
    @Test
    void waitsIfOneOfThreeVotersRefuses() {
        start(A, storedGrant(A));
        start(B, storedGrant(A));
        start(C, storedGrant(C));
        ViewMembership view6 = viewMembership(6, A, B, C);
        for (Member member : List.of(A, B, C)) {
            setView(member, view6, VIEW_5);
        }
        runFor(1_150);
        assertFalse(holdsLease(A) || holdsLease(B) || holdsLease(C));
    }

    /** A does not resume a lease that another member has won in the meantime. */
    @Test
    void doesNotResumeWhileAnotherHoldsTheLease() {
        start(B, storedGrant(A));
        start(C, storedGrant(A));
        ViewMembership view6 = viewMembership(6, B, C);
        setView(B, view6, VIEW_5);
        setView(C, view6, VIEW_5);
        runFor(3_000);
        assertTrue(holdsLease(B));
        start(A, storedGrant(A));
        ViewMembership view7 = viewMembership(7, A, B, C);
        setView(A, view7, view6);
        setView(B, view7, VIEW_5, view6);
        setView(C, view7, VIEW_5, view6);
        for (int i = 0; i < 100; i++) {
            runFor(TICK_MS);
            assertTrue(holdsLease(B) && !holdsLease(A));
        }
    }
}
