package brambletray.platform.provisioning;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

/**
 * Hubs, platform, workers and hosts fail at random; once it is calm, homes know what runs, each host is known once, and
 * nothing runs in vain.
 */
class ProvisionerRandomFaultsTest {
    private static final int SEEDS = Integer.getInteger("provisioning.seeds", 25);
    private static final long FIRST = Long.getLong("provisioning.first", 1);
    private static final List<String> ZONES = List.of("north", "south", "far");

    @Test
    void afterTroubleTheBooksAreRight() {
        for (long seed = FIRST; seed < FIRST + SEEDS; seed++) {
            run(seed);
        }
    }

    private static void run(long seed) {
        Random random = new Random(seed);
        SimulatedProvisioning scene = new SimulatedProvisioning(40, 40);
        for (int i = 0; i < 6; i++) {
            scene.worker("w-" + i, ZONES.get(i % 3), i % 3 == 2 ? "lower" : "upper", 2_000);
        }
        scene.service("tea", 300, 500);
        scene.service("cup", 150, 900);
        ZONES.forEach(scene::edge);
        scene.hubWins();
        Map<String, Long> born = new HashMap<>();
        int nonces = 0;
        for (int step = 0; step < 300; step++) {
            scene.wires.runTo(scene.wires.now() + random.nextInt(200));
            Edge edge = scene.edge(ZONES.get(random.nextInt(3)));
            switch (random.nextInt(40)) {
                case 0, 1 -> turnCoordinator(scene);
                case 2 -> scene.cloud.mood = FlakyPlatform.Mood.MUTE;
                case 3 -> scene.cloud.mood = FlakyPlatform.Mood.AWAY;
                case 4, 5, 6 -> scene.cloud.mood = FlakyPlatform.Mood.ANSWERS;
                case 7 ->
                    scene.cloud.stand.crash("w-" + random.nextInt(6), 2_000 + random.nextInt(5_000), scene.wires.now());
                case 8 -> crashOne(scene, random);
                case 9 -> {
                    if (step == 9 || step % 90 == 0) {
                        scene.cloud.stand.drain("w-" + random.nextInt(6), scene.wires.now());
                    }
                }
                case 10, 11, 12, 13 ->
                    edge.hosts.values().stream()
                            .skip(edge.hosts.size() / 2)
                            .findFirst()
                            .ifPresent(edge::quit);
                case 14 -> edge.asleep = true;
                case 15, 16 -> edge.wake();
                case 17, 18, 19, 20, 21, 22, 23, 24 ->
                    edge.need(new StartRequest(random.nextBoolean() ? "tea" : "cup", edge.name, "n-" + nonces++, 0));
                default -> {}
            }
            scene.edges
                    .values()
                    .forEach(one -> one.hosts.values().forEach(host -> born.putIfAbsent(host.id(), scene.wires.now())));
        }
        calm(scene, seed);
    }

    private static void calm(SimulatedProvisioning scene, long seed) {
        scene.cloud.mood = FlakyPlatform.Mood.ANSWERS;
        scene.edges.values().forEach(Edge::wake);
        if (scene.coordinator == null) {
            scene.hubWins();
        }
        scene.wires.runTo(scene.wires.now() + 30_000);
        List<String> known = new ArrayList<>();
        scene.edges.values().forEach(edge -> {
            known.addAll(edge.hosts.keySet());
            assertTrue(edge.needs.isEmpty(), "seed " + seed + ": " + edge.name + " waits for " + edge.needs.keySet());
        });
        List<String> running = new ArrayList<>(scene.cloud.stand.occupying("tea", scene.wires.now()));
        running.addAll(scene.cloud.stand.occupying("cup", scene.wires.now()));
        assertEquals(new TreeSet<>(running), new TreeSet<>(known), "seed " + seed);
        assertEquals(known.size(), new TreeSet<>(known).size(), "seed " + seed + ": known twice");
        assertEquals(known.size(), scene.coordinator.provisioner.instanceCount(), "seed " + seed);
    }

    private static void turnCoordinator(SimulatedProvisioning scene) {
        if (scene.coordinator == null) {
            scene.hubWins();
        } else {
            scene.hubDies();
        }
    }

    private static void crashOne(SimulatedProvisioning scene, Random random) {
        List<String> there = scene.cloud.stand.occupying("tea", scene.wires.now());
        if (!there.isEmpty()) {
            scene.cloud.stand.crashHost(there.get(random.nextInt(there.size())), scene.wires.now());
        }
    }
}
