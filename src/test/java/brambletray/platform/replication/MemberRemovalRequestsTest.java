package brambletray.platform.replication;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Tests the removal of a machine by an operator: when it is accepted, that the other members continue after it, and
 * that the removed machine does no harm if it comes back.
 */
class MemberRemovalRequestsTest {
    private SimulatedReplicas world;
    private MemberRemovalOutcome outcome;

    private void startCluster(String... names) {
        ReplicationTestCluster cluster = new ReplicationTestCluster(List.of(names));
        world = cluster.world;
        cluster.found();
    }

    private SimulatedReplica node(String name) {
        return world.nodes.get(name);
    }

    private long incarnationOf(String name) {
        return node(name).replica.status().self().incarnation();
    }

    private void requestRemoval(String at, String address, long incarnation) {
        outcome = null;
        node(at).replica.removeMember(address, incarnation, world.now, response -> outcome = response);
    }

    private MemberRemovalOutcome removalOutcome(String at, String address, long incarnation) {
        requestRemoval(at, address, incarnation);
        world.runUntilTrue(() -> outcome != null, 4_000, "an outcome of the removal");
        return outcome;
    }

    private boolean isInView(String name) {
        SimulatedReplica leader = world.leader();
        return leader != null
                && leader.replica.status().active()
                && leader.replica.status().members().stream()
                        .anyMatch(member -> member.name().equals(name));
    }

    /**
     * <pre>
     *   ms      a                        b              c (another address)
     *   0       change on both disks
     *   50                               permanently lost
     *   1000                                            asks to join, is not admitted
     *   21000   still waits for b
     *           operator removes b
     *   23000   view of a alone          (silent)
     *           view of a and c                         member
     *           changes are committed
     *   33000                            back with its disk: in no view, not leader
     * </pre>
     */
    @Test
    void theRemainingMemberOfTwoContinuesOnlyAfterTheRemoval() {
        startCluster("a", "b");
        world.node("c", List.of("a", "b"));
        long before = world.ruleChecker.propose(node("a"));
        world.runUntilTrue(
                () -> world.ruleChecker.acknowledged.contains("c" + before), 1_000, "a change acknowledged by both");
        long lostIncarnation = incarnationOf("b");
        node("b").kill(true);
        world.runUntil(world.now + 1_000);
        node("c").start();
        world.runUntil(world.now + 20_000);
        assertFalse(isInView("c"), "c was admitted without b");
        assertEquals(ReplicaRole.SUSPENDED, node("a").replica.status().role());

        assertEquals(MemberRemovalOutcome.REMOVED, removalOutcome("a", "b", lostIncarnation));
        world.runUntilTrue(() -> isInView("c") && !isInView("b"), 3_000, "a view of a and c");
        long after = world.ruleChecker.propose(node("a"));
        world.runUntilTrue(
                () -> world.ruleChecker.acknowledged.contains("c" + after), 3_000, "a change acknowledged without b");

        world.runUntil(world.now + 5_000);
        node("b").start();
        for (int i = 0; i < 500; i++) {
            world.runUntil(world.now + 10);
            assertFalse(node("b").replica.status().isLeader());
            assertFalse(isInView("b"), "the removed member rejoined with its old disk");
        }
        node("b").kill(true);
        node("b").wipe();
        node("b").start();
        world.runUntilTrue(() -> isInView("b"), 6_000, "b rejoins with an empty disk");
        world.runUntil(world.now + 500);
        world.ruleChecker.checkFinalState(List.copyOf(world.nodes.values()));
    }

    @Test
    void aRecentlyHeardMemberIsNotRemoved() {
        startCluster("a", "b");
        long lostIncarnation = incarnationOf("b");
        node("b").kill(true);
        world.runUntil(world.now + MemberRemovalRequests.MIN_SILENCE_MS - 1_000);
        assertEquals(MemberRemovalOutcome.RECENTLY_HEARD, removalOutcome("a", "b", lostIncarnation));
        world.runUntil(world.now + 2_000);
        assertEquals(MemberRemovalOutcome.REMOVED, removalOutcome("a", "b", lostIncarnation));
    }

    /** A process that has just started cannot tell how long the other member has been silent. */
    @Test
    void aProcessThatHasJustStartedRejectsRemovals() {
        startCluster("a", "b");
        long lostIncarnation = incarnationOf("b");
        node("b").kill(true);
        world.runUntil(world.now + 2 * MemberRemovalRequests.MIN_SILENCE_MS);
        node("a").kill(false);
        node("a").start();
        world.runUntil(world.now + 1_000);
        assertEquals(MemberRemovalOutcome.RECENTLY_HEARD, removalOutcome("a", "b", lostIncarnation));
    }

    /** The partition heals while the removal is pending. */
    @Test
    void aMemberThatAnswersTheIdentityRequestIsNotRemoved() {
        startCluster("a", "b");
        world.setCut("a", "b", true);
        world.runUntil(world.now + MemberRemovalRequests.MIN_SILENCE_MS + 1_000);
        requestRemoval("a", "b", incarnationOf("b"));
        world.runUntil(world.now + MemberRemovalRequests.IDENTITY_TIMEOUT_MS / 2);
        assertNull(outcome);
        world.setCut("a", "b", false);
        world.runUntilTrue(() -> outcome != null, 4_000, "an outcome of the removal");
        assertEquals(MemberRemovalOutcome.RECENTLY_HEARD, outcome);
        world.runUntilTrue(() -> isInView("a") && isInView("b"), 4_000, "both members in the view again");
    }

    @Test
    void aHealthyViewRejectsRemovals() {
        startCluster("a", "b", "c");
        long lostIncarnation = incarnationOf("c");
        node("c").kill(true);
        world.runUntil(world.now + MemberRemovalRequests.MIN_SILENCE_MS + 1_000);
        assertEquals(
                MemberRemovalOutcome.UNKNOWN_MEMBER, removalOutcome("a", "c", lostIncarnation), "excluded long ago");
        assertEquals(MemberRemovalOutcome.VIEW_IS_HEALTHY, removalOutcome("a", "b", incarnationOf("b")));
    }

    @Test
    void aRemovalNeedsAMemberAndItsIncarnation() {
        startCluster("a", "b");
        long lostIncarnation = incarnationOf("b");
        node("b").kill(true);
        world.runUntil(world.now + MemberRemovalRequests.MIN_SILENCE_MS + 1_000);
        assertEquals(MemberRemovalOutcome.UNKNOWN_MEMBER, removalOutcome("a", "b", lostIncarnation + 1));
        assertEquals(MemberRemovalOutcome.UNKNOWN_MEMBER, removalOutcome("a", "x", lostIncarnation));
        assertEquals(MemberRemovalOutcome.UNKNOWN_MEMBER, removalOutcome("a", "a", incarnationOf("a")));
    }

    /**
     * Two of three members are lost at once. The removal of both must be rejected, because one member alone cannot
     * prove that it has every change that the other two may have acknowledged.
     */
    @Test
    void aMajorityIsNeverRemoved() {
        startCluster("a", "b", "c");
        long firstLost = incarnationOf("b");
        long secondLost = incarnationOf("c");
        node("b").kill(true);
        node("c").kill(true);
        world.runUntil(world.now + MemberRemovalRequests.MIN_SILENCE_MS + 1_000);
        assertEquals(MemberRemovalOutcome.REMOVED, removalOutcome("a", "b", firstLost));
        assertEquals(MemberRemovalOutcome.MAJORITY_WOULD_BE_LOST, removalOutcome("a", "c", secondLost));
        world.runUntil(world.now + 3_000);
        assertTrue(node("a").replica.status().role() != ReplicaRole.MEMBER);
    }

    /** A removal survives a kill right after it, because it is on disk before it takes effect. */
    @Test
    void aRemovalIsDurable() {
        startCluster("a", "b");
        world.node("c", List.of("a", "b"));
        long lostIncarnation = incarnationOf("b");
        node("b").kill(true);
        world.runUntil(world.now + MemberRemovalRequests.MIN_SILENCE_MS + 1_000);
        assertEquals(MemberRemovalOutcome.REMOVED, removalOutcome("a", "b", lostIncarnation));
        node("a").kill(true);
        node("a").start();
        node("c").start();
        world.runUntilTrue(() -> isInView("a") && isInView("c"), 5_000, "a and c in the view");
    }
}
