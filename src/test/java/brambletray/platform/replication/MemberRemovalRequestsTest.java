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
class MemberRemovalRequestsTest {
    private SimulatedReplicas world;
    private MemberRemovalOutcome outcome;

    private void startCluster(String... names) {
        ReplicationTestCluster core = new ReplicationTestCluster(List.of(names));
        world = core.world;
        core.found();
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
        world.runUntilTrue(() -> outcome != null, 4_000, "an answer to the order");
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
    void theRemainingMemberOfTwoContinuesOnlyAfterTheRemoval() {
        startCluster("a", "b");
        world.node("c", List.of("a", "b"));
        long before = world.ruleChecker.propose(node("a"));
        world.runUntilTrue(() -> world.ruleChecker.acknowledged.contains("c" + before), 1_000, "a change of both");
        long gone = incarnationOf("b");
        node("b").kill(true);
        world.runUntil(world.now + 1_000);
        node("c").start();
        world.runUntil(world.now + 20_000);
        assertFalse(isInView("c"), "let in without the other of two");
        assertEquals(ReplicaRole.SUSPENDED, node("a").replica.status().role());

        assertEquals(MemberRemovalOutcome.REMOVED, removalOutcome("a", "b", gone));
        world.runUntilTrue(() -> isInView("c") && !isInView("b"), 3_000, "the view of a and c");
        long after = world.ruleChecker.propose(node("a"));
        world.runUntilTrue(() -> world.ruleChecker.acknowledged.contains("c" + after), 3_000, "a change without b");

        world.runUntil(world.now + 5_000);
        node("b").start();
        for (int i = 0; i < 500; i++) {
            world.runUntil(world.now + 10);
            assertFalse(node("b").replica.status().isLeader());
            assertFalse(isInView("b"), "who was declared dead is let in with its disk");
        }
        node("b").kill(true);
        node("b").wipe();
        node("b").start();
        world.runUntilTrue(() -> isInView("b"), 6_000, "back with another disk");
        world.runUntil(world.now + 500);
        world.ruleChecker.checkFinalState(List.copyOf(world.nodes.values()));
    }

    @Test
    void aRecentlyHeardMemberIsNotRemoved() {
        startCluster("a", "b");
        long gone = incarnationOf("b");
        node("b").kill(true);
        world.runUntil(world.now + MemberRemovalRequests.MIN_SILENCE_MS - 1_000);
        assertEquals(MemberRemovalOutcome.RECENTLY_HEARD, removalOutcome("a", "b", gone));
        world.runUntil(world.now + 2_000);
        assertEquals(MemberRemovalOutcome.REMOVED, removalOutcome("a", "b", gone));
    }

    /** A process that has just started can't say how long the other has been silent. */
    @Test
    void aProcessThatHasJustStartedRejectsRemovals() {
        startCluster("a", "b");
        long gone = incarnationOf("b");
        node("b").kill(true);
        world.runUntil(world.now + 2 * MemberRemovalRequests.MIN_SILENCE_MS);
        node("a").kill(false);
        node("a").start();
        world.runUntil(world.now + 1_000);
        assertEquals(MemberRemovalOutcome.RECENTLY_HEARD, removalOutcome("a", "b", gone));
    }

    /** The partition heals while the order is looked into. */
    @Test
    void aMemberThatAnswersTheIdentityRequestIsNotRemoved() {
        startCluster("a", "b");
        world.setCut("a", "b", true);
        world.runUntil(world.now + MemberRemovalRequests.MIN_SILENCE_MS + 1_000);
        requestRemoval("a", "b", incarnationOf("b"));
        world.runUntil(world.now + MemberRemovalRequests.IDENTITY_TIMEOUT_MS / 2);
        assertNull(outcome);
        world.setCut("a", "b", false);
        world.runUntilTrue(() -> outcome != null, 4_000, "an answer to the order");
        assertEquals(MemberRemovalOutcome.RECENTLY_HEARD, outcome);
        world.runUntilTrue(() -> isInView("a") && isInView("b"), 4_000, "both go on");
    }

    @Test
    void aHealthyViewRejectsRemovals() {
        startCluster("a", "b", "c");
        long gone = incarnationOf("c");
        node("c").kill(true);
        world.runUntil(world.now + MemberRemovalRequests.MIN_SILENCE_MS + 1_000);
        assertEquals(MemberRemovalOutcome.UNKNOWN_MEMBER, removalOutcome("a", "c", gone), "left out long ago");
        assertEquals(MemberRemovalOutcome.VIEW_IS_HEALTHY, removalOutcome("a", "b", incarnationOf("b")));
    }

    @Test
    void aRemovalNeedsAMemberAndItsIncarnation() {
        startCluster("a", "b");
        long gone = incarnationOf("b");
        node("b").kill(true);
        world.runUntil(world.now + MemberRemovalRequests.MIN_SILENCE_MS + 1_000);
        assertEquals(MemberRemovalOutcome.UNKNOWN_MEMBER, removalOutcome("a", "b", gone + 1));
        assertEquals(MemberRemovalOutcome.UNKNOWN_MEMBER, removalOutcome("a", "x", gone));
        assertEquals(MemberRemovalOutcome.UNKNOWN_MEMBER, removalOutcome("a", "a", incarnationOf("a")));
    }

    /**
     * Of three, two are gone at once: whatever the operator says, one alone can't show that it has all that two may
     * have acknowledged.
     */
    @Test
    void aMajorityIsNeverRemoved() {
        startCluster("a", "b", "c");
        long first = incarnationOf("b");
        long second = incarnationOf("c");
        node("b").kill(true);
        node("c").kill(true);
        world.runUntil(world.now + MemberRemovalRequests.MIN_SILENCE_MS + 1_000);
        assertEquals(MemberRemovalOutcome.REMOVED, removalOutcome("a", "b", first));
        assertEquals(MemberRemovalOutcome.MAJORITY_WOULD_BE_LOST, removalOutcome("a", "c", second));
        world.runUntil(world.now + 3_000);
        assertTrue(node("a").replica.status().role() != ReplicaRole.MEMBER);
    }

    /** A declaration outlasts a kill right after it: it is on the disk before it counts. */
    @Test
    void aRemovalIsDurable() {
        startCluster("a", "b");
        world.node("c", List.of("a", "b"));
        long gone = incarnationOf("b");
        node("b").kill(true);
        world.runUntil(world.now + MemberRemovalRequests.MIN_SILENCE_MS + 1_000);
        assertEquals(MemberRemovalOutcome.REMOVED, removalOutcome("a", "b", gone));
        node("a").kill(true);
        node("a").start();
        node("c").start();
        world.runUntilTrue(() -> isInView("a") && isInView("c"), 5_000, "a and c go on");
    }
}
