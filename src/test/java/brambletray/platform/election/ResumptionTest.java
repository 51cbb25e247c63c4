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
 * All processes were killed; A held the role in view 5 and wants it back. Whether it has to wait for a lease that may
 * run depends on the views since.
 *
 * <pre>
 *   view 5   A B C     A holds the role
 *   (all killed)
 *   view 6   A B       or B C
 *   view 7   A B C     A has the grants of all: at once, or after 1.2 s
 * </pre>
 */
class ResumptionTest {
    private static final Member A = new Member("a", "a", 0xa);
    private static final Member B = new Member("b", "b", 0xb);
    private static final Member C = new Member("c", "c", 0xc);
    private static final Member B_ANEW = new Member("b", "b", 0xbb);
    private static final long HELD = 5L << 20 | 1;
    private static final int TICK_MS = 25;

    private static final ViewMembership FIVE = roll(5, A, B, C);

    private final Map<Member, LeaseElection> elections = new HashMap<>();
    private final Map<Member, ReplicaStatus> statuses = new HashMap<>();
    private final List<Runnable> mail = new ArrayList<>();
    private long now = 10_000;

    private static ViewMembership roll(long number, Member... members) {
        return new ViewMembership(new Ballot(number, members[0].incarnation()), List.of(members));
    }

    /** What the disk has of a term that was granted to this incarnation and renewed in view 5. */
    private static byte[] kept(Member holder) {
        return ByteBuffer.allocate(25)
                .put((byte) 2)
                .putLong(HELD)
                .putLong(holder.incarnation())
                .putLong(5)
                .array();
    }

    private void start(Member self, byte[] disk) {
        LeaseElection[] made = new LeaseElection[1];
        made[0] = new LeaseElection(
                "helm",
                self,
                disk,
                LeaseTimings.defaults(),
                new ElectionActions() {
                    @Override
                    public void send(String address, ElectionMessage frame) {
                        mail.add(() -> elections.forEach((to, election) -> {
                            if (to.address().equals(address)) {
                                election.receive(self.address(), frame, now);
                            }
                        }));
                    }

                    @Override
                    public void persist(long ticket, Map<String, byte[]> changes) {
                        mail.add(() -> made[0].synced(ticket, now));
                    }

                    @Override
                    public void won(long term) {}

                    @Override
                    public void lost(long term) {}

                    @Override
                    public void log(ElectionEvent event) {}
                },
                now);
        elections.put(self, made[0]);
    }

    private void view(Member self, ViewMembership view, ViewMembership... lineage) {
        long before =
                lineage.length == 0 ? -1 : lineage[lineage.length - 1].ballot().number();
        List<Member> members = view.members();
        statuses.put(
                self,
                new ReplicaStatus(
                        ReplicaRole.MEMBER,
                        self,
                        view.ballot().number(),
                        before,
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

    private void run(long ms) {
        for (long until = now + ms; now < until; now += TICK_MS) {
            elections.forEach((self, election) -> {
                if (statuses.containsKey(self)) {
                    election.updateView(statuses.get(self), now);
                }
                election.tick(now);
            });
            while (!mail.isEmpty()) {
                mail.remove(0).run();
            }
        }
    }

    private boolean holds(Member self) {
        return elections.get(self).mayAct(now);
    }

    private void startAll() {
        start(A, kept(A));
        start(B, kept(A));
        start(C, kept(A));
    }

    @Test
    void overOneViewAtOnce() {
        startAll();
        ViewMembership six = roll(6, A, B, C);
        for (Member each : List.of(A, B, C)) {
            view(each, six, FIVE);
        }
        run(200);
        assertTrue(holds(A));
    }

    @Test
    void overTwoViewsAtOnceWhereAllOfTheFirstAreInTheSecond() {
        startAll();
        ViewMembership six = roll(6, A, B);
        ViewMembership seven = roll(7, A, B, C);
        view(A, seven, FIVE, six);
        view(B, seven, FIVE, six);
        view(C, seven, six);
        run(200);
        assertTrue(holds(A));
    }

    /** The former holder is the last to be back, and knows of the views since by a voter's word. */
    @Test
    void overTwoViewsByTheWordOfAVoterWhoWasInBoth() {
        startAll();
        ViewMembership six = roll(6, B, C);
        ViewMembership seven = roll(7, A, B, C);
        view(A, seven, six);
        view(B, seven, FIVE, six);
        view(C, seven, FIVE, six);
        run(200);
        assertTrue(holds(A));
    }

    /**
     * B has been wiped between the views: that it had granted to C in view 5, which may act for a while, nobody
     * remembers.
     */
    @Test
    void notAtOnceWhereOneOfAViewBetweenIsGone() {
        start(A, kept(A));
        start(B_ANEW, null);
        ViewMembership six = roll(6, A, B);
        ViewMembership seven = roll(7, A, B_ANEW);
        view(A, seven, FIVE, six);
        view(B_ANEW, seven, six);
        run(1_150);
        assertFalse(holds(A) || holds(B_ANEW), "one acts while a lease of view 5 may run");
        run(2_000);
        assertTrue(holds(A) || holds(B_ANEW));
    }

    /** Nobody knows which view was before the one between. */
    @Test
    void notAtOnceWhereTheViewsBetweenAreNotKnown() {
        startAll();
        ViewMembership six = roll(6, B, C);
        ViewMembership seven = roll(7, A, B, C);
        for (Member each : List.of(A, B, C)) {
            view(each, seven, six);
        }
        run(1_150);
        assertFalse(holds(A) || holds(B) || holds(C));
        run(2_000);
        assertEquals(1, List.of(A, B, C).stream().filter(this::holds).count());
    }

    /** B granted to C after A held it in view 5: B refuses for as long as that lease may run. */
    @Test
    void notAtOnceWhereAnotherHasWonItSince() {
        start(A, kept(A));
        start(B, kept(C));
        ViewMembership six = roll(6, A, B);
        view(A, six, FIVE);
        view(B, six, FIVE);
        run(1_150);
        assertFalse(holds(A) || holds(B));
    }

    /**
     * The grants of a majority are not enough: the one that refuses may be the only one here that knows of the lease.
     */
    @Test
    void notAtOnceWhereOneOfThreeRefuses() {
        start(A, kept(A));
        start(B, kept(A));
        start(C, kept(C));
        ViewMembership six = roll(6, A, B, C);
        for (Member each : List.of(A, B, C)) {
            view(each, six, FIVE);
        }
        run(1_150);
        assertFalse(holds(A) || holds(B) || holds(C));
    }

    /** It doesn't take back what another holds in the meantime. */
    @Test
    void notAtAllWhileAnotherHoldsIt() {
        start(B, kept(A));
        start(C, kept(A));
        ViewMembership six = roll(6, B, C);
        view(B, six, FIVE);
        view(C, six, FIVE);
        run(3_000);
        assertTrue(holds(B));
        start(A, kept(A));
        ViewMembership seven = roll(7, A, B, C);
        view(A, seven, six);
        view(B, seven, FIVE, six);
        view(C, seven, FIVE, six);
        for (int i = 0; i < 100; i++) {
            run(TICK_MS);
            assertTrue(holds(B) && !holds(A));
        }
    }
}
