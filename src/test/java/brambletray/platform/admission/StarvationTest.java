package brambletray.platform.admission;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.function.LongConsumer;
import java.util.stream.LongStream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;

/**
 * Rule STARVED: during a long overload no class of client requests or nested calls is served less than a quarter as
 * often as all client requests. The tests demand a third, as a margin. Simulated time; the seed is in the test's name.
 */
class StarvationTest {
    private static final double MIN_SHARE = 1.0 / 3;
    private static final double OVERLOAD_MS = 40_000;
    private static final int WORK_MS = 80;
    private static final int TARGET_MS = 400;
    private static final int DEADLINE_MS = 2_500;
    private static final int BOOT_MS = 500;

    private static List<DynamicTest> seeds(String what, LongConsumer play) {
        return LongStream.rangeClosed(1, 3)
                .mapToObj(seed -> DynamicTest.dynamicTest(what + ", seed " + seed, () -> play.accept(seed)))
                .toList();
    }

    private static SimulatedZones zones(long seed) {
        return new SimulatedZones(seed, List.of("east"), 1, AdmissionParameters.of(0.2, 52, 10_000, 1));
    }

    private static void add(SimulatedZones zones, String service, int instanceLimit, int concurrency) {
        zones.add(new ServiceSpec(service, 128, BOOT_MS, concurrency, TARGET_MS));
        zones.instanceLimits.put(service, instanceLimit);
    }

    private static SimulatedZones.RequestKind kind(String service, int priority, double calls) {
        return new SimulatedZones.RequestKind(service, priority, TARGET_MS, DEADLINE_MS, 1, 0.3, WORK_MS, calls);
    }

    private static void load(SimulatedZones zones, SimulatedZones.RequestKind kind, double perS) {
        zones.at(1_000, () -> zones.arrivals(kind, "east", at -> perS, perS, 1_000 + OVERLOAD_MS));
    }

    /** Runs to the end, and compares the share of each class in {@code counts} with that of all client requests. */
    private static void checkShares(SimulatedZones zones) {
        zones.runUntil(1_000 + OVERLOAD_MS + 2 * DEADLINE_MS);
        int total = 0;
        int served = 0;
        for (var entry : zones.counts.entrySet()) {
            if (!entry.getKey().startsWith("nested call of")) {
                total += entry.getValue().total;
                served += entry.getValue().served;
            }
        }
        double all = (double) served / total;
        StringBuilder figures = new StringBuilder(String.format("all %.3f", all));
        zones.counts.forEach((name, count) ->
                figures.append(String.format("; %s: %d of %d (%.3f)", name, count.served, count.total, count.share())));
        assertTrue(served > 0, () -> "no request is served: " + figures);
        zones.counts.forEach(
                (name, count) -> assertTrue(count.share() >= MIN_SHARE * all, () -> name + " is starved: " + figures));
        assertTrue(zones.overLimit == 0, () -> "rule LIMIT: " + zones.overLimit);
    }

    @TestFactory
    List<DynamicTest> requestsThatFillTheirServiceLeaveSlotsForTheirNestedCalls() {
        List<DynamicTest> tests = new ArrayList<>();
        for (int[] size : new int[][] {{2, 1}, {8, 1}, {1, 4}, {8, 4}}) {
            String what = size[0] + " instances with concurrency " + size[1];
            tests.addAll(seeds(what, seed -> {
                SimulatedZones zones = zones(seed);
                add(zones, "desk", size[0], size[1]);
                double capacityPerS = 1000.0 * size[0] * size[1] / WORK_MS;
                load(zones, kind("desk", 1, 1), 2 * capacityPerS);
                checkShares(zones);
                // A parent holds its slot while its call is served beside it.
                int servedPerS = (int) (zones.counts.get("desk priority 1").served * 1000 / OVERLOAD_MS);
                double mostPerS = 1000.0 * size[0] * size[1] / (2 * WORK_MS);
                assertTrue(
                        servedPerS >= mostPerS / 4,
                        () -> servedPerS + " of " + mostPerS + " per second: slots are idle while requests wait");
            }));
        }
        return tests;
    }

    @TestFactory
    List<DynamicTest> requestsInAChainOfServicesLeaveSlotsForNestedCalls() {
        List<DynamicTest> tests = new ArrayList<>();
        for (int concurrency : new int[] {1, 4}) {
            tests.addAll(seeds("a chain of three services with concurrency " + concurrency, seed -> {
                SimulatedZones zones = zones(seed);
                int instanceLimit = 8 / concurrency;
                for (String service : List.of("front", "middle", "last")) {
                    add(zones, service, instanceLimit, concurrency);
                    load(zones, kind(service, 1, service.equals("last") ? 0 : 1), 200);
                }
                zones.nestedCalls.put("front", kind("middle", 2, 1));
                zones.nestedCalls.put("middle", kind("last", 2, 0));
                checkShares(zones);
            }));
        }
        return tests;
    }

    @TestFactory
    List<DynamicTest> nestedCallsThatFillAServiceLeaveSlotsForClients() {
        List<DynamicTest> tests = new ArrayList<>();
        for (int concurrency : new int[] {1, 4}) {
            tests.addAll(seeds("a called service with concurrency " + concurrency, seed -> {
                SimulatedZones zones = zones(seed);
                add(zones, "front", 32 / concurrency, concurrency);
                add(zones, "leaf", 4 / concurrency, concurrency);
                zones.nestedCalls.put("front", kind("leaf", 2, 0));
                load(zones, kind("front", 1, 1), 300);
                load(zones, kind("leaf", 1, 0), 20);
                checkShares(zones);
            }));
        }
        return tests;
    }

    @TestFactory
    List<DynamicTest> highPriorityRequestsThatFillAServiceLeaveSlotsForLowerPriorities() {
        List<DynamicTest> tests = new ArrayList<>();
        for (int concurrency : new int[] {1, 4}) {
            tests.addAll(seeds("priorities with concurrency " + concurrency, seed -> {
                SimulatedZones zones = zones(seed);
                add(zones, "desk", 8 / concurrency, concurrency);
                load(zones, kind("desk", 0, 0), 200);
                load(zones, kind("desk", 1, 0), 20);
                load(zones, kind("desk", 2, 0.3), 20);
                checkShares(zones);
            }));
        }
        return tests;
    }

    @TestFactory
    List<DynamicTest> aRequestThatFillsTheOnlyInstanceDoesNotBlockItsNestedCall() {
        return seeds("rare requests with concurrency 1", seed -> {
            SimulatedZones zones = zones(seed);
            zones.add(new ServiceSpec("rare", 128, BOOT_MS, 1, 1_000));
            SimulatedZones.RequestKind rare =
                    new SimulatedZones.RequestKind("rare", 1, 1_000, 5_000, 1, 0.3, WORK_MS, 1);
            load(zones, rare, 0.5);
            checkShares(zones);
            SimulatedZones.Count count = zones.counts.get("rare priority 1");
            assertTrue(count.share() > 0.95, () -> count.served + " of " + count.total);
        });
    }
}
