package brambletray.platform.replication;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * State transfer to members that lack many entries, over links of limited bandwidth. Messages hold at most 8 MB, and a
 * connection closes when more than 4 MB are queued.
 */
class StateTransferTest {
    /** 2 Mbit/s, in bytes per ms. */
    private static final int SLOW_LINK = 250;

    private static final int MB = 1 << 20;

    private SimulatedReplicas world;

    private SimulatedReplicas startCluster(String... names) {
        ReplicationTestCluster core = new ReplicationTestCluster(List.of(names));
        world = core.world;
        world.logsEvents = Boolean.getBoolean("replication.talks");
        core.found();
        return world;
    }

    @AfterEach
    void printEvents() {
        if (Boolean.getBoolean("replication.talks")) {
            world.events.forEach(System.out::println);
        }
    }

    private static void setBandwidthOf(SimulatedReplicas world, String name, int rate) {
        for (String other : world.nodes.keySet()) {
            world.setBandwidth(name, other, rate);
        }
    }

    private static void proposeChanges(SimulatedReplicas world, int count, int everyMs) {
        for (int i = 0; i < count; i++) {
            if (world.leader() != null) {
                world.ruleChecker.propose(world.leader());
            }
            world.runUntil(world.now + everyMs);
        }
    }

    private static boolean isMember(SimulatedReplicas world, String name) {
        SimulatedReplica leader = world.leader();
        if (leader == null || !leader.replica.status().active()) {
            return false;
        }
        return leader.replica.status().members().stream()
                .anyMatch(member -> member.name().equals(name));
    }

    private static void assertCommits(SimulatedReplicas world, SimulatedReplica at, long span, String what) {
        long token = world.ruleChecker.propose(at);
        world.runUntilTrue(() -> world.ruleChecker.acknowledged.contains("c" + token), span, what);
    }

    /**
     * A member dies while twelve large changes are in flight. The view change needs the other follower, which lacks
     * more than a message can hold and so has to fetch the log in chunks.
     */
    @Test
    void aViewWithALogTooLargeForAMessageIsInstalledInChunks() {
        startCluster("a", "b", "c");
        setBandwidthOf(world, "c", 10 * SLOW_LINK);
        world.changePadding = "p".repeat(MB);
        for (int i = 0; i < 12; i++) {
            world.ruleChecker.propose(world.leader());
        }
        world.runUntil(world.now + 50);
        world.nodes.get("b").kill(true);
        world.runUntilTrue(
                () -> world.nodes.get("a").state.size() == 12
                        && world.nodes.get("c").state.size() == 12,
                12_000,
                "twelve changes of 1 MB applied at two of three members, 20 Mbit/s between them");
        assertEquals(0, world.link("a", "c").disconnects);
    }

    /**
     * A lagging member on a slow link that is not needed for the view change must not delay it: it is excluded, and
     * rejoins after a state transfer.
     */
    @Test
    void aLaggingMemberOnASlowLinkIsExcludedAndRejoins() {
        startCluster("a", "b", "c", "d", "e");
        setBandwidthOf(world, "e", SLOW_LINK);
        world.changePadding = "p".repeat(MB);
        for (int i = 0; i < 4; i++) {
            world.ruleChecker.propose(world.leader());
        }
        world.runUntil(world.now + 100);
        world.changePadding = "";
        world.nodes.get("a").kill(true);
        assertCommits(
                world, world.nodes.get("b"), 4_500, "a change after the loss of the leader, with a lagging member");
        assertFalse(isMember(world, "e"));
        world.runUntilTrue(() -> isMember(world, "e"), 40_000, "4 MB at 2 Mbit/s, and rejoined");
        assertEquals(0, world.link("b", "e").disconnects);
    }

    /**
     * A member responds to prepare requests, but no chunk of the log reaches it. Without an exclusion every view change
     * would include it again and never complete.
     */
    @Test
    void aMemberThatRespondsButNeverInstallsTheViewIsExcluded() {
        startCluster("a", "b", "c", "d", "e");
        world.changePadding = "p".repeat(MB);
        world.sendFilter = (from, to, frame) -> !(to.equals("e")
                && (frame instanceof ReplicationMessage.FetchChunkResponse
                        || frame instanceof ReplicationMessage.AppendRequest));
        for (int i = 0; i < 4; i++) {
            world.ruleChecker.propose(world.leader());
        }
        world.runUntil(world.now + 100);
        world.changePadding = "";
        world.nodes.get("a").kill(true);
        assertCommits(
                world,
                world.nodes.get("b"),
                4_500,
                "a change after the loss of the leader, with a member that receives no chunks");
        assertFalse(isMember(world, "e"));
        world.sendFilter = (from, to, frame) -> true;
        world.runUntilTrue(() -> isMember(world, "e"), 6000, "rejoined");
    }

    /**
     * A member that missed hundreds of changes of 256 kB returns on a slow link while more changes are made, and the
     * source of its state transfer is lost midway.
     */
    @Test
    void aReturningMemberCatchesUpDuringChangesAndLossOfItsSource() {
        startCluster("a", "b", "c", "d", "e");
        world.changePadding = "p".repeat(MB / 4);
        world.snapshotPadding = "b".repeat(2 * MB);
        world.nodes.get("e").kill(true);
        world.runUntilTrue(() -> !isMember(world, "e"), 3000, "the view without it");
        proposeChanges(world, 300, 20);
        setBandwidthOf(world, "e", SLOW_LINK);
        world.changePadding = "p".repeat(1024);
        world.nodes.get("e").start();
        proposeChanges(world, 20, 200);
        assertFalse(isMember(world, "e"));
        world.nodes.get("a").kill(true);
        long sourceLostAtMs = world.now;
        world.runUntilTrue(
                () -> world.leader() != null && isMember(world, "b") && !isMember(world, "a"),
                3000,
                "the view without the source");
        for (int i = 0; i < 200 && !isMember(world, "e"); i++) {
            proposeChanges(world, 1, 200);
        }
        assertTrue(isMember(world, "e"), "not rejoined");
        assertTrue(
                world.now - sourceLostAtMs < 12_500,
                "rejoined only " + (world.now - sourceLostAtMs) + " ms after the loss of its source");
        world.nodes.get("a").start();
        world.runUntilTrue(() -> isMember(world, "a"), 4000, "the source has rejoined");
        world.runUntil(world.now + 1000);
        world.ruleChecker.checkFinalState(List.copyOf(world.nodes.values()));
    }

    /**
     * A learner has more than half of a state of 2 MB when its source is lost.
     *
     * <pre>
     *   a (source)     b (next leader)               e (learner, 2 Mbit/s)
     *   chunk ...                                    fetches from a
     *   chunk 64                                     has more than half
     *   lost           view without a active         (cut off)
     *                  changes                       (cut off)
     *                                                join request; resumes the transfer from b
     *                  remaining chunks              joins
     * </pre>
     *
     * @return the bytes sent from b to e
     */
    private long transferWithLossOfTheSource(int changesMeanwhile) {
        startCluster("a", "b", "c", "d", "e");
        world.logsEvents = true;
        world.snapshotPadding = "b".repeat(2 * MB);
        world.nodes.get("e").kill(true);
        world.runUntilTrue(() -> !isMember(world, "e"), 3000, "the view without it");
        proposeChanges(world, 3 * ReplicatedLog.MAX_ENTRIES_BEFORE_SNAPSHOT + 10, 12);
        setBandwidthOf(world, "e", SLOW_LINK);
        world.nodes.get("e").start();
        world.runUntilTrue(() -> world.link("a", "e").bytes > 5 * MB / 4, 12_000, "more than half of the state");
        world.nodes.get("a").kill(true);
        world.runUntilTrue(
                () -> world.leader() != null && isMember(world, "b") && !isMember(world, "a"),
                3000,
                "the view without a");
        for (String other : List.of("b", "c", "d")) {
            world.setCut("e", other, true);
        }
        proposeChanges(world, changesMeanwhile, 5);
        for (String other : List.of("b", "c", "d")) {
            world.setCut("e", other, false);
        }
        world.runUntilTrue(() -> isMember(world, "e"), 20_000, "the learner has joined");
        long bytesFromSecondSource = world.link("b", "e").bytes;
        world.nodes.get("a").start();
        world.runUntilTrue(() -> isMember(world, "a"), 4000, "the first source has rejoined");
        world.runUntil(world.now + 500);
        world.ruleChecker.checkFinalState(List.copyOf(world.nodes.values()));
        return bytesFromSecondSource;
    }

    private boolean logged(String event) {
        return world.events.stream().anyMatch(line -> line.contains(" " + event + " "));
    }

    @Test
    void aTransferIsResumedFromAnotherSource() {
        long bytesFromSecondSource = transferWithLossOfTheSource(0);
        assertTrue(logged("replication.transfer-resumed"));
        assertFalse(logged("replication.transfer-restarted"));
        assertTrue(bytesFromSecondSource < MB, "bytes sent by the second source: " + bytesFromSecondSource);
    }

    /** The second source has a later state by then and recomputes the state of the first one. */
    @Test
    void aTransferIsResumedFromASourceWithALaterState() {
        long bytesFromSecondSource = transferWithLossOfTheSource(20);
        assertTrue(logged("replication.transfer-resumed"));
        assertFalse(logged("replication.transfer-restarted"));
        assertTrue(bytesFromSecondSource < MB, "bytes sent by the second source: " + bytesFromSecondSource);
    }

    /** The second source has compacted the entries needed for that: the transfer restarts, which is logged. */
    @Test
    void aTransferRestartsIfTheNextSourceCannotReproduceTheState() {
        long bytesFromSecondSource = transferWithLossOfTheSource(2 * ReplicatedLog.MAX_ENTRIES_BEFORE_SNAPSHOT);
        assertTrue(logged("replication.transfer-restarted"));
        assertTrue(bytesFromSecondSource > 2 * MB, "bytes sent by the second source: " + bytesFromSecondSource);
    }

    /** One bit of a chunk is flipped in transit, which the TCP checksum does not always detect. */
    @Test
    void bytesThatDoNotMatchTheDigestAreRejected() {
        startCluster("a", "b", "c");
        world.logsEvents = true;
        world.node("d", List.of("a", "b", "c"));
        world.snapshotPadding = "b".repeat(MB);
        proposeChanges(world, 3 * ReplicatedLog.MAX_ENTRIES_BEFORE_SNAPSHOT + 10, 12);
        boolean[] corruptNext = {true};
        world.messageTransform = frame -> {
            if (!(frame instanceof ReplicationMessage.FetchChunkResponse chunk)
                    || chunk.offset() != StateTransferClient.CHUNK_BYTES
                    || !corruptNext[0]) {
                return frame;
            }
            corruptNext[0] = false;
            byte[] other = chunk.bytes().clone();
            other[100] ^= 1;
            return new ReplicationMessage.FetchChunkResponse(
                    chunk.transferId(), chunk.offset(), chunk.totalBytes(), other, chunk.transfer());
        };
        world.nodes.get("d").start();
        world.runUntilTrue(() -> isMember(world, "d"), 5000, "joined");
        assertTrue(logged("replication.transfer-corrupt"));
        world.runUntil(world.now + 500);
        world.ruleChecker.checkFinalState(List.copyOf(world.nodes.values()));
    }

    /**
     * The leader compacts its log repeatedly while a learner fetches the state. The learner must need only a few more
     * entries afterwards, not another full transfer.
     */
    @Test
    void compactionDuringATransferDoesNotRestartIt() {
        startCluster("a", "b", "c");
        world.node("d", List.of("a", "b", "c"));
        world.snapshotPadding = "b".repeat(2 * MB);
        proposeChanges(world, 3 * ReplicatedLog.MAX_ENTRIES_BEFORE_SNAPSHOT + 10, 12);
        setBandwidthOf(world, "d", SLOW_LINK);
        world.nodes.get("d").start();
        long begin = world.now;
        while (!isMember(world, "d") && world.now - begin < 30_000) {
            proposeChanges(world, 1, 12);
        }
        assertTrue(isMember(world, "d"), "not joined");
        assertTrue(world.link("a", "d").bytes < 3 * MB, "bytes " + world.link("a", "d").bytes);
    }

    /**
     * On a slow link an entry is in flight for longer than the retry interval. It must be sent only once.
     */
    @Test
    void entriesInFlightOnASlowLinkAreNotResent() {
        startCluster("a", "b", "c");
        setBandwidthOf(world, "c", 2 * SLOW_LINK);
        world.runUntil(world.now + 500);
        long before = world.link("a", "c").bytes;
        world.changePadding = "p".repeat(MB / 4);
        assertCommits(world, world.nodes.get("b"), 2000, "256 kB at 4 Mbit/s");
        world.runUntil(world.now + 1000);
        assertTrue(
                world.link("a", "c").bytes - before < MB / 4 + 16_000,
                "bytes " + (world.link("a", "c").bytes - before));
        assertTrue(isMember(world, "c"));
    }

    /**
     * Many changes at once for a member on a slow link: the data in flight must stay below the bound of the send queue,
     * above which the connection closes.
     */
    @Test
    void dataInFlightStaysBelowTheBoundOfTheSendQueue() {
        startCluster("a", "b", "c");
        setBandwidthOf(world, "c", 20 * SLOW_LINK);
        world.changePadding = "p".repeat(MB / 4);
        for (int i = 0; i < 40; i++) {
            world.ruleChecker.propose(world.leader());
            world.runUntil(world.now + 10);
        }
        world.runUntilTrue(() -> world.ruleChecker.acknowledged.size() >= 30, 6000, "10 MB at 40 Mbit/s");
        assertEquals(0, world.link("a", "c").disconnects);
        assertTrue(isMember(world, "c"));
    }

    /** Five newcomers at once, more than the number of packed patches that a source holds. */
    @Test
    void fiveNewcomersAreServedConcurrently() {
        startCluster("a", "b", "c");
        for (String name : List.of("d", "e", "f", "g", "h")) {
            world.node(name, List.of("a", "b", "c"));
        }
        world.snapshotPadding = "b".repeat(2 * MB);
        proposeChanges(world, 3 * ReplicatedLog.MAX_ENTRIES_BEFORE_SNAPSHOT + 10, 12);
        for (String name : List.of("d", "e", "f", "g", "h")) {
            setBandwidthOf(world, name, 2 * SLOW_LINK);
            world.nodes.get(name).start();
            proposeChanges(world, 8, 30);
        }
        long begin = world.now;
        for (String name : List.of("d", "e", "f", "g", "h")) {
            world.runUntilTrue(() -> isMember(world, name), 9_000, name + " joined");
        }
        // a single newcomer takes 4.2 s; the fifth once had to wait until a slot was free
        assertTrue(world.now - begin < 7_000, "took " + (world.now - begin));
    }

    /**
     * Large changes arrive faster than a newcomer can catch up. No view change may start that could not admit it, since
     * each view change interrupts commits.
     */
    @Test
    void noViewChangeForANewcomerThatHasFallenBehindAgain() {
        startCluster("a", "b", "c");
        world.node("d", List.of("a", "b", "c"));
        world.changePadding = "p".repeat(100 << 10);
        proposeChanges(world, 5, 20);
        int before = world.ruleChecker.viewCount();
        world.nodes.get("d").start();
        proposeChanges(world, 400, 12);
        assertTrue(world.ruleChecker.viewCount() - before <= 4, "views " + (world.ruleChecker.viewCount() - before));
        world.runUntilTrue(() -> isMember(world, "d"), 2000, "joined when no more changes are made");
    }

    /**
     * The longest log of the latest view is chosen, independent of the order of restarts: a member that missed hundreds
     * of changes and restarts first must not lead with its old state.
     */
    @Test
    void anOutdatedMemberThatRestartsFirstDoesNotLeadWithItsOldState() {
        for (boolean wiped : new boolean[] {false, true}) {
            startCluster("a", "b", "c");
            world.changePadding = "p".repeat(8 << 10);
            proposeChanges(world, 100, 10);
            world.nodes.get("a").kill(true);
            world.runUntilTrue(
                    () -> world.leader() != null && isMember(world, "b") && !isMember(world, "a"),
                    3000,
                    "the view without a");
            proposeChanges(world, 600, 10);
            world.runUntil(world.now + 500);
            setBandwidthOf(world, "a", SLOW_LINK);
            for (String name : List.of("b", "c")) {
                world.nodes.get(name).kill(true);
            }
            if (wiped) {
                world.nodes.get("c").wipe();
            }
            world.nodes.get("a").start();
            world.runUntil(world.now + 2000);
            for (String name : List.of("b", "c")) {
                world.nodes.get(name).start();
            }
            for (int i = 0; i < 400; i++) {
                world.runUntil(world.now + 10);
                for (SimulatedReplica node : world.nodes.values()) {
                    ReplicaStatus status = node.replica.status();
                    if (!status.isLeader() || !status.settled()) {
                        continue;
                    }
                    assertTrue(
                            node.state.containsAll(world.ruleChecker.acknowledged),
                            node.address + " leads with an outdated state at " + world.now);
                }
                if (i % 10 == 0) {
                    world.nodes.values().forEach(world.ruleChecker::requestReadIndex);
                }
            }
            assertTrue(world.ruleChecker.confirmedReads > 0, "no read was confirmed");
            world.runUntilTrue(
                    () -> isMember(world, "a") && isMember(world, "b") && isMember(world, "c"),
                    6000,
                    "all have joined");
            world.runUntil(world.now + 500);
            world.ruleChecker.checkFinalState(List.copyOf(world.nodes.values()));
        }
    }

    /**
     * A member with a full disk reports its disk as unhealthy and is excluded, also after a restart; it rejoins once
     * there is space.
     */
    @Test
    void aMemberWithAFullDiskIsExcludedAndRejoins() {
        for (String full : List.of("a", "b")) {
            startCluster("a", "b", "c");
            world.nodes.get(full).disk.full = true;
            SimulatedReplica other = world.nodes.get("c");
            assertCommits(world, other, 3000, "a change while the disk of " + full + " is full");
            world.runUntilTrue(() -> !isMember(world, full), 3000, full + " excluded");
            for (int i = 0; i < 30; i++) {
                assertCommits(world, other, 1000, "changes without " + full);
            }
            world.nodes.get(full).kill(false);
            world.runUntil(world.now + 300);
            world.nodes.get(full).start();
            for (int i = 0; i < 30; i++) {
                assertCommits(world, other, 1000, "changes while " + full + " runs again with its disk still full");
            }
            assertFalse(isMember(world, full));
            world.nodes.get(full).disk.full = false;
            world.runUntilTrue(() -> isMember(world, full), 3000, full + " has rejoined");
            world.runUntil(world.now + 500);
            world.ruleChecker.checkFinalState(List.copyOf(world.nodes.values()));
        }
    }
}
