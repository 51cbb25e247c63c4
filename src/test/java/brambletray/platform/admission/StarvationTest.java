package brambletray.platform.admission;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.function.LongConsumer;
import java.util.stream.LongStream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;

/**
 * Rule STARVED: over a long overload no kind of request, and no kind of call that hosts make, is served less than a
 * quarter as often as
 * all requests. Simulated time; the seed is in the test's name. The tests ask for a third, as a margin.
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

    private static void add(SimulatedZones town, String service, int hosts, int concurrency) {
        town.add(new ServiceSpec(service, 128, BOOT_MS, concurrency, TARGET_MS));
        town.instanceLimits.put(service, hosts);
    }

    private static SimulatedZones.RequestKind kind(String service, int priority, double calls) {
        return new SimulatedZones.RequestKind(service, priority, TARGET_MS, DEADLINE_MS, 1, 0.3, WORK_MS, calls);
    }

    private static void load(SimulatedZones town, SimulatedZones.RequestKind kind, double perS) {
        town.at(1_000, () -> town.arrivals(kind, "east", at -> perS, perS, 1_000 + OVERLOAD_MS));
    }

    /** Plays to the end, and judges each kind of {@code counts} against all requests of clients. */
    private static void checkShares(SimulatedZones town) {
        town.runUntil(1_000 + OVERLOAD_MS + 2 * DEADLINE_MS);
        int asked = 0;
        int served = 0;
        for (var one : town.counts.entrySet()) {
            if (!one.getKey().startsWith("call of")) {
                asked += one.getValue().total;
                served += one.getValue().served;
            }
        }
        double all = (double) served / asked;
        StringBuilder figures = new StringBuilder(String.format("all %.3f", all));
        town.counts.forEach((name, count) ->
                figures.append(String.format("; %s: %d of %d (%.3f)", name, count.served, count.total, count.share())));
        assertTrue(served > 0, () -> "nothing is served: " + figures);
        town.counts.forEach(
                (name, count) -> assertTrue(count.share() >= MIN_SHARE * all, () -> name + " is starved: " + figures));
        assertTrue(town.overLimit == 0, () -> "rule LIMIT: " + town.overLimit);
    }

    @TestFactory
    List<DynamicTest> requestsThatFillTheirServiceLeaveSlotsForTheirNestedCalls() {
        List<DynamicTest> tests = new ArrayList<>();
        for (int[] size : new int[][] {{2, 1}, {8, 1}, {1, 4}, {8, 4}}) {
            String what = size[0] + " hosts of " + size[1] + " at once";
            tests.addAll(seeds(what, seed -> {
                SimulatedZones town = zones(seed);
                add(town, "desk", size[0], size[1]);
                double capacityPerS = 1000.0 * size[0] * size[1] / WORK_MS;
                load(town, kind("desk", 1, 1), 2 * capacityPerS);
                checkShares(town);
                // A parent holds its slot while its call is served beside it.
                int servedPerS = (int) (town.counts.get("desk rank 1").served * 1000 / OVERLOAD_MS);
                double mostPerS = 1000.0 * size[0] * size[1] / (2 * WORK_MS);
                assertTrue(
                        servedPerS >= mostPerS / 4,
                        () -> servedPerS + " of " + mostPerS + " a second: slots stand still");
            }));
        }
        return tests;
    }

    @TestFactory
    List<DynamicTest> requestsInAChainOfServicesLeaveSlotsForNestedCalls() {
        List<DynamicTest> tests = new ArrayList<>();
        for (int concurrency : new int[] {1, 4}) {
            tests.addAll(seeds("a chain of three at " + concurrency + " at once", seed -> {
                SimulatedZones town = zones(seed);
                int hosts = 8 / concurrency;
                for (String service : List.of("front", "middle", "last")) {
                    add(town, service, hosts, concurrency);
                    load(town, kind(service, 1, service.equals("last") ? 0 : 1), 200);
                }
                town.nestedCalls.put("front", kind("middle", 2, 1));
                town.nestedCalls.put("middle", kind("last", 2, 0));
                checkShares(town);
            }));
        }
        return tests;
    }

    @TestFactory
    List<DynamicTest> nestedCallsThatFillAServiceLeaveSlotsForClients() {
        List<DynamicTest> tests = new ArrayList<>();
        for (int concurrency : new int[] {1, 4}) {
            tests.addAll(seeds("a leaf at " + concurrency + " at once", seed -> {
                SimulatedZones town = zones(seed);
                add(town, "front", 32 / concurrency, concurrency);
                add(town, "leaf", 4 / concurrency, concurrency);
                town.nestedCalls.put("front", kind("leaf", 2, 0));
                load(town, kind("front", 1, 1), 300);
                load(town, kind("leaf", 1, 0), 20);
                checkShares(town);
            }));
        }
        return tests;
    }

    @TestFactory
    List<DynamicTest> highPriorityRequestsThatFillAServiceLeaveSlotsForLowerPriorities() {
        List<DynamicTest> tests = new ArrayList<>();
        for (int concurrency : new int[] {1, 4}) {
            tests.addAll(seeds("ranks at " + concurrency + " at once", seed -> {
                SimulatedZones town = zones(seed);
                add(town, "desk", 8 / concurrency, concurrency);
                load(town, kind("desk", 0, 0), 200);
                load(town, kind("desk", 1, 0), 20);
                load(town, kind("desk", 2, 0.3), 20);
                checkShares(town);
            }));
        }
        return tests;
    }

    @TestFactory
    List<DynamicTest> aRequestThatFillsTheOnlyInstanceDoesNotBlockItsNestedCall() {
        return seeds("rare requests at one at once", seed -> {
            SimulatedZones town = zones(seed);
            town.add(new ServiceSpec("rare", 128, BOOT_MS, 1, 1_000));
            SimulatedZones.RequestKind rare = new SimulatedZones.RequestKind("rare", 1, 1_000, 5_000, 1, 0.3, WORK_MS, 1);
            load(town, rare, 0.5);
            checkShares(town);
            SimulatedZones.Count count = town.counts.get("rare rank 1");
            assertTrue(count.share() > 0.95, () -> count.served + " of " + count.total);
        });
    }
}
