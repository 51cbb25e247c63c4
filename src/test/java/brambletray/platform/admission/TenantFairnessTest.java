package brambletray.platform.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestFactory;

/**
 * Rule STARVED, by tenant: no tenant is served less than a quarter as often as all, and a flood of requests by one
 * tenant does not delay the others. Simulated time; the seed is in the test's name.
 */
class TenantFairnessTest {
    private static final AdmissionParameters PARAMETERS = AdmissionParameters.of(0.2, 52, 10_000, 1);
    private static final int WORK_MS = 80;
    private static final int TARGET_MS = 400;
    private static final int DEADLINE_MS = 4_000;
    private static final int FIRST_MS = 1_000;
    private static final int LOAD_MS = 40_000;
    private static final int TENANTS = 10;
    private static final int INSTANCES = 8;
    /** A third instead of the rule's quarter, as a margin. */
    private static final double MIN_SHARE = 1.0 / 3;

    private static SlotRequest request(long id, String tenant, int priority, int routePriority, int remainingMs) {
        return new SlotRequest(
                id,
                "e",
                "east",
                "s",
                new SlotOwner(tenant, priority, routePriority),
                remainingMs,
                TARGET_MS,
                false,
                false,
                false,
                List.of());
    }

    private static RequestQueue queue() {
        return new RequestQueue(PARAMETERS.queue(), new FairShare());
    }

    private static long first(RequestQueue queue, long now) {
        queue.startRound();
        RequestQueue.Waiter next = queue.next(false, false, WORK_MS, now);
        queue.remove(next);
        return next.request.id();
    }

    @Test
    void routePriorityOrdersRequestsOfEqualTenantPriority() {
        RequestQueue queue = queue();
        queue.add(request(1, "t", 1, 2, DEADLINE_MS), 0);
        queue.add(request(2, "t", 1, 1, DEADLINE_MS), 50);
        assertEquals(2, first(queue, 60));
        assertEquals(1, first(queue, 60));
    }

    @Test
    void tenantPriorityOutranksRoutePriority() {
        RequestQueue queue = queue();
        queue.add(request(1, "b", 1, 0, DEADLINE_MS), 0);
        queue.add(request(2, "a", 0, 1_000_000, DEADLINE_MS), 0);
        assertEquals(2, first(queue, 10));
    }

    @Test
    void aTenantThatFillsTheQueueWaitsBehindTheOthers() {
        RequestQueue queue = queue();
        for (int i = 0; i < 40; i++) {
            queue.add(request(i, "flood", 1, 2, DEADLINE_MS), i);
        }
        queue.add(request(100, "other", 1, 2, DEADLINE_MS), 200);
        assertTrue(queue.countAhead(request(101, "third", 1, 2, DEADLINE_MS), WORK_MS, 200) <= 8);
        int servedBefore = 0;
        while (first(queue, 210) != 100) {
            servedBefore++;
        }
        assertTrue(servedBefore <= 8, () -> "the other tenant's request is queued behind the flood");
    }

    @Test
    void aFullQueueDisplacesARequestOfTheFloodingTenant() {
        RequestQueue queue = queue();
        while (!queue.isFull()) {
            queue.add(request(queue.size(), "flood", 1, 2, DEADLINE_MS), 0);
        }
        assertEquals(
                "flood",
                queue.displace(request(1000, "other", 1, 2, DEADLINE_MS), WORK_MS, 100)
                        .request
                        .owner()
                        .tenant());
    }

    @Test
    void aTenantIsDisadvantagedWhileServedLessThanHalfAsOftenAsAll() {
        FairShare shares = new FairShare();
        for (int i = 0; i < 100; i++) {
            shares.onServed(request(i, "a", 1, 2, DEADLINE_MS), 10 * i);
        }
        SlotRequest rare = request(1000, "b", 1, 2, DEADLINE_MS);
        assertFalse(shares.isDisadvantaged(rare), "no outcomes yet");
        shares.onNotServed(rare, 1_000);
        shares.onNotServed(rare, 1_000);
        assertTrue(shares.isDisadvantaged(rare));
        assertFalse(shares.classOf(rare).isDisadvantaged(), "its request class is not disadvantaged");
        shares.onServed(request(1, "a", 1, 2, DEADLINE_MS), 200_000);
        assertFalse(shares.isDisadvantaged(rare), "outcomes decay");
    }

    @TestFactory
    List<DynamicTest> aFloodOfOneTenantDoesNotHoldUpTheOthers() {
        return LongStream.rangeClosed(1, 3)
                .mapToObj(seed -> DynamicTest.dynamicTest("seed " + seed, () -> flood(seed)))
                .toList();
    }

    private static SimulatedZones.RequestKind kind(String tenant, int priority) {
        return new SimulatedZones.RequestKind("s", priority, TARGET_MS, DEADLINE_MS, 1, 0.3, WORK_MS, 0, tenant);
    }

    private static void load(SimulatedZones zones, SimulatedZones.RequestKind kind, double perS) {
        zones.at(FIRST_MS, () -> zones.arrivals(kind, "east", at -> perS, perS, FIRST_MS + LOAD_MS));
    }

    private static SimulatedZones zones(long seed) {
        SimulatedZones zones = new SimulatedZones(seed, List.of("east"), 1, PARAMETERS);
        zones.add(new ServiceSpec("s", 128, 500, 1, TARGET_MS));
        zones.instanceLimits.put("s", INSTANCES);
        return zones;
    }

    /** One tenant sends twice the requests that the service has capacity for, the others together half of it. */
    private static void flood(long seed) {
        SimulatedZones zones = zones(seed);
        double capacityPerS = 1000.0 * INSTANCES / WORK_MS;
        load(zones, kind("flood", 1), 2 * capacityPerS);
        for (int i = 0; i < TENANTS; i++) {
            load(zones, kind("t" + i, 1), capacityPerS / 2 / TENANTS);
        }
        zones.runUntil(FIRST_MS + LOAD_MS + 2 * DEADLINE_MS);
        StringBuilder figures = new StringBuilder();
        zones.counts.forEach((name, count) -> figures.append(String.format("%s: %.3f; ", name, count.share())));
        double all = served(zones, "");
        double others = served(zones, " of t");
        assertTrue(others >= 0.8, () -> "the other tenants are delayed by the flood: " + others + "; " + figures);
        zones.counts.forEach((name, count) ->
                assertTrue(count.share() >= MIN_SHARE * all, () -> name + " is starved: " + all + "; " + figures));
    }

    private static double served(SimulatedZones zones, String name) {
        double total = 0;
        double served = 0;
        for (var entry : zones.counts.entrySet()) {
            if (entry.getKey().contains(name)) {
                total += entry.getValue().total;
                served += entry.getValue().served;
            }
        }
        return served / total;
    }
}
