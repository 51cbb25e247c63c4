package brambletray.platform.replication;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * An operator declares a machine dead: what it takes, what goes on after it, and that the machine can do no harm when
 * it is there after all.
 */
class MemberRemovalOrdersTest {
    private SimulatedReplicas world;
    private MemberRemovalOutcome result;

    private void core(String... names) {
        ReplicationTestCluster core = new ReplicationTestCluster(List.of(names));
        world = core.world;
        core.found();
    }

    private SimulatedReplica node(String name) {
        return world.nodes.get(name);
    }

    private long life(String name) {
        return node(name).replica.status().self().incarnation();
    }

    private void order(String at, String address, long incarnation) {
        result = null;
        node(at).replica.removeMember(address, incarnation, world.now, response -> result = response);
    }

    private MemberRemovalOutcome declared(String at, String address, long incarnation) {
        order(at, address, incarnation);
        world.runUntilTrue(() -> result != null, 4_000, "an answer to the order");
        return result;
    }

    private boolean in(String name) {
        SimulatedReplica leader = world.leader();
        return leader != null
                && leader.replica.status().active()
                && leader.replica.status().members().stream()
                        .anyMatch(member -> member.name().equals(name));
    }

    /**
     * <pre>
     *   ms      a                        b              c (another address)
     *   0       change kept by both
     *   50                               gone for good
     *   1000                                            knocks, isn't let in
     *   21000   still waits for b
     *           order: b is dead
     *   23000   view of a alone          (silent)
     *           view of a and c                         in
     *           changes are kept
     *   33000                            back with its disk: is in no view, leads nothing
     * </pre>
     */
    @Test
    void ofTwoTheOtherGoesOnAfterTheOrderAndNotBefore() {
        core("a", "b");
        world.node("c", List.of("a", "b"));
        long before = world.ruleChecker.propose(node("a"));
        world.runUntilTrue(() -> world.ruleChecker.acknowledged.contains("c" + before), 1_000, "a change of both");
        long gone = life("b");
        node("b").kill(true);
        world.runUntil(world.now + 1_000);
        node("c").start();
        world.runUntil(world.now + 20_000);
        assertFalse(in("c"), "let in without the other of two");
        assertEquals(ReplicaRole.SUSPENDED, node("a").replica.status().role());

        assertEquals(MemberRemovalOutcome.REMOVED, declared("a", "b", gone));
        world.runUntilTrue(() -> in("c") && !in("b"), 3_000, "the view of a and c");
        long after = world.ruleChecker.propose(node("a"));
        world.runUntilTrue(() -> world.ruleChecker.acknowledged.contains("c" + after), 3_000, "a change without b");

        world.runUntil(world.now + 5_000);
        node("b").start();
        for (int i = 0; i < 500; i++) {
            world.runUntil(world.now + 10);
            assertFalse(node("b").replica.status().isLeader());
            assertFalse(in("b"), "who was declared dead is let in with its disk");
        }
        node("b").kill(true);
        node("b").wipe();
        node("b").start();
        world.runUntilTrue(() -> in("b"), 6_000, "back with another disk");
        world.runUntil(world.now + 500);
        world.ruleChecker.checkFinalState(List.copyOf(world.nodes.values()));
    }

    @Test
    void whoWasHeardLatelyIsNotDeclaredDead() {
        core("a", "b");
        long gone = life("b");
        node("b").kill(true);
        world.runUntil(world.now + MemberRemovalOrders.MIN_SILENCE_MS - 1_000);
        assertEquals(MemberRemovalOutcome.RECENTLY_HEARD, declared("a", "b", gone));
        world.runUntil(world.now + 2_000);
        assertEquals(MemberRemovalOutcome.REMOVED, declared("a", "b", gone));
    }

    /** A process that has just started can't say how long the other has been silent. */
    @Test
    void aProcessThatHasJustStartedHasNotListenedForLongEnough() {
        core("a", "b");
        long gone = life("b");
        node("b").kill(true);
        world.runUntil(world.now + 2 * MemberRemovalOrders.MIN_SILENCE_MS);
        node("a").kill(false);
        node("a").start();
        world.runUntil(world.now + 1_000);
        assertEquals(MemberRemovalOutcome.RECENTLY_HEARD, declared("a", "b", gone));
    }

    /** The partition heals while the order is looked into. */
    @Test
    void whoAnswersTheQuestionIsNotDeclaredDead() {
        core("a", "b");
        world.setCut("a", "b", true);
        world.runUntil(world.now + MemberRemovalOrders.MIN_SILENCE_MS + 1_000);
        order("a", "b", life("b"));
        world.runUntil(world.now + MemberRemovalOrders.IDENTITY_TIMEOUT_MS / 2);
        assertNull(result);
        world.setCut("a", "b", false);
        world.runUntilTrue(() -> result != null, 4_000, "an answer to the order");
        assertEquals(MemberRemovalOutcome.RECENTLY_HEARD, result);
        world.runUntilTrue(() -> in("a") && in("b"), 4_000, "both go on");
    }

    @Test
    void aViewThatWorksDeclaresNobodyDead() {
        core("a", "b", "c");
        long gone = life("c");
        node("c").kill(true);
        world.runUntil(world.now + MemberRemovalOrders.MIN_SILENCE_MS + 1_000);
        assertEquals(MemberRemovalOutcome.UNKNOWN_MEMBER, declared("a", "c", gone), "left out long ago");
        assertEquals(MemberRemovalOutcome.VIEW_IS_HEALTHY, declared("a", "b", life("b")));
    }

    @Test
    void anOrderNamesAMemberAndItsLife() {
        core("a", "b");
        long gone = life("b");
        node("b").kill(true);
        world.runUntil(world.now + MemberRemovalOrders.MIN_SILENCE_MS + 1_000);
        assertEquals(MemberRemovalOutcome.UNKNOWN_MEMBER, declared("a", "b", gone + 1));
        assertEquals(MemberRemovalOutcome.UNKNOWN_MEMBER, declared("a", "x", gone));
        assertEquals(MemberRemovalOutcome.UNKNOWN_MEMBER, declared("a", "a", life("a")));
    }

    /**
     * Of three, two are gone at once: whatever the operator says, one alone can't show that it has all that two may
     * have acknowledged.
     */
    @Test
    void aMajorityIsNeverDeclaredDead() {
        core("a", "b", "c");
        long first = life("b");
        long second = life("c");
        node("b").kill(true);
        node("c").kill(true);
        world.runUntil(world.now + MemberRemovalOrders.MIN_SILENCE_MS + 1_000);
        assertEquals(MemberRemovalOutcome.REMOVED, declared("a", "b", first));
        assertEquals(MemberRemovalOutcome.MAJORITY_WOULD_BE_LOST, declared("a", "c", second));
        world.runUntil(world.now + 3_000);
        assertTrue(node("a").replica.status().role() != ReplicaRole.MEMBER);
    }

    /** A declaration outlasts a kill right after it: it is on the disk before it counts. */
    @Test
    void aDeclarationIsKept() {
        core("a", "b");
        world.node("c", List.of("a", "b"));
        long gone = life("b");
        node("b").kill(true);
        world.runUntil(world.now + MemberRemovalOrders.MIN_SILENCE_MS + 1_000);
        assertEquals(MemberRemovalOutcome.REMOVED, declared("a", "b", gone));
        node("a").kill(true);
        node("a").start();
        node("c").start();
        world.runUntilTrue(() -> in("a") && in("c"), 5_000, "a and c go on");
    }
}
