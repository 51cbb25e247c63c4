package brambletray.platform.replication;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Zones that may be lost with half of the control plane: what is told of it, what is kept, what waits. */
class ZoneWarningTest {
    private SimulatedReplicas world;

    private void startCluster(String... names) {
        ReplicationTestCluster core = new ReplicationTestCluster(List.of(names), new FaultTolerance(1, 1, 0, Map.of()));
        world = core.world;
        world.logsEvents = true;
        core.found();
    }

    private long warnings(String member) {
        return world.events.stream()
                .filter(line -> line.contains(" " + member + " replication.zones-hold-half "))
                .count();
    }

    /**
     * <pre>
     *   ms     a/y         b/y         c/z          d/z
     *   0      view of four active; each warns that one zone holds half
     *   100    change kept by all
     *   200                            lost         lost
     *   5200   waits       waits
     *          what was acknowledged is on both disks
     *   5200                           back         back
     *          all go on
     * </pre>
     */
    @Test
    void lossOfAZoneWithHalfOfTheMembersIsWarnedOfAndLosesNoChange() {
        startCluster("a/y", "b/y", "c/z", "d/z");
        for (String name : List.of("a", "b", "c", "d")) {
            assertTrue(warnings(name) >= 1, name + " doesn't warn");
            assertEquals(List.of("y"), world.nodes.get(name).replica.zonesHoldingHalf());
        }
        long token = world.ruleChecker.propose(world.leader());
        world.runUntilTrue(() -> world.ruleChecker.acknowledged.contains("c" + token), 1_000, "a change of all");
        for (String name : List.of("c", "d")) {
            world.nodes.get(name).kill(true);
        }
        world.runUntil(world.now + 5_000);
        assertEquals(
                ReplicaRole.SUSPENDED, world.nodes.get("a").replica.status().role());
        assertTrue(world.nodes.get("a").state.contains("c" + token));
        for (String name : List.of("c", "d")) {
            world.nodes.get(name).start();
        }
        world.runUntilTrue(
                () -> world.leader() != null
                        && world.leader().replica.status().members().size() == 4,
                4_000,
                "all four go on");
        world.runUntil(world.now + 500);
        world.ruleChecker.checkFinalState(List.copyOf(world.nodes.values()));
    }

    @Test
    void noWarningIfNoZoneHoldsHalf() {
        startCluster("a/x", "b/y", "c/z");
        for (String name : List.of("a", "b", "c")) {
            assertEquals(0, warnings(name));
            assertEquals(List.of(), world.nodes.get(name).replica.zonesHoldingHalf());
        }
    }

    /** It is told anew for a view that has become so, here by the loss of a machine. */
    @Test
    void aLaterViewWithAZoneThatHoldsHalfIsWarnedOf() {
        startCluster("a/x", "b/y", "c/z", "d/x", "e/y");
        assertEquals(0, warnings("a"));
        world.nodes.get("c").kill(true);
        world.runUntilTrue(
                () -> world.leader() != null
                        && world.leader().replica.status().members().size() == 4,
                3_000,
                "the view of four");
        world.runUntil(world.now + 500);
        assertEquals(1, warnings("a"));
        assertEquals(1, warnings("b"));
    }
}
