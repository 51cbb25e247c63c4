package brambletray.platform.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brambletray.platform.provisioning.InstanceInfo;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Unit tests of the parts of a service queue with the default parameters. */
class AdmissionParametersTest {
    private static final AdmissionParameters PARAMETERS = AdmissionParameters.of(0.2, 50, 10_000, 1);
    private static final ServiceSpec SMALL_SERVICE = new ServiceSpec("s", 128, 900, 1, 1500);
    private static final ServiceSpec LARGE_SERVICE = new ServiceSpec("s", 512, 1400, 4, 300);

    private static SlotRequest request(long id, String zone, String... excluded) {
        return new SlotRequest(
                id, "a", zone, "s", SlotOwner.withoutTenant(1), 1000, 300, false, false, false, List.of(excluded));
    }

    private static PooledInstance addInstance(PooledInstances instances, String id, String zone, long ageMs) {
        PooledInstance instance = new PooledInstance(
                new InstanceInfo(id, "s", "x", zone, zone, "w", "n", InstanceInfo.UP, ageMs), true, 10_000);
        instances.add(instance);
        return instance;
    }

    @Test
    void hedgeDelayIsAboveThe90thPercentileAndForgets() {
        HedgeDelay hedgeDelay = new HedgeDelay();
        assertEquals(200, hedgeDelay.delayMs());
        for (int i = 1; i <= 100; i++) {
            hedgeDelay.add(i);
        }
        assertTrue(hedgeDelay.delayMs() >= 90 && hedgeDelay.delayMs() <= 104, "" + hedgeDelay.delayMs());
        for (int i = 0; i < 4000; i++) {
            hedgeDelay.add(1000);
        }
        assertTrue(hedgeDelay.delayMs() >= 1000 && hedgeDelay.delayMs() <= 1130, "" + hedgeDelay.delayMs());
        hedgeDelay.add(Integer.MAX_VALUE);
        assertTrue(hedgeDelay.sampleCount() <= 512);
    }

    /** Compares the budget with an exact count over the sliding window that ends at each step. */
    @Test
    void budgetHoldsInEachSlidingWindow() {
        Random random = new Random(5);
        RetryBudget budget = new RetryBudget(PARAMETERS.retryBudget());
        Deque<Long> requests = new ArrayDeque<>();
        Deque<Long> retries = new ArrayDeque<>();
        int granted = 0;
        for (long now = 0; now < 60_000; now += 1 + random.nextInt(20)) {
            if ((now / 5000) % 2 == 0) {
                budget.onRequest(now);
                requests.add(now);
            }
            boolean hedge = random.nextBoolean();
            if (budget.isAllowed(hedge, now)) {
                budget.spend(hedge, now);
                retries.add(now);
                granted++;
            }
            while (!requests.isEmpty() && requests.peek() <= now - 10_000) {
                requests.poll();
            }
            while (!retries.isEmpty() && retries.peek() <= now - 10_000) {
                retries.poll();
            }
            assertTrue(
                    retries.size() <= 0.2 * requests.size() + 25,
                    "at " + now + ": " + retries.size() + " of " + requests.size());
        }
        assertTrue(granted > 100);
    }

    @Test
    void hedgesLeaveHalfOfTheBudget() {
        RetryBudget budget = new RetryBudget(new AdmissionParameters.RetryBudgetLimits(0, 20, 10_000, 1));
        int hedges = 0;
        while (budget.isAllowed(true, 5)) {
            budget.spend(true, 5);
            hedges++;
        }
        int retries = 0;
        while (budget.isAllowed(false, 5)) {
            budget.spend(false, 5);
            retries++;
        }
        assertEquals(10, hedges);
        assertEquals(10, retries);
    }

    @Test
    void forecastCountsWhatFreesAndWhatBoots() {
        SlotForecast forecast = new SlotForecast().reset(4, 100, 4, 0);
        assertEquals(25, forecast.waitMs(0));
        assertEquals(250, forecast.waitMs(9));
        forecast.addBoot(100);
        assertEquals(100, forecast.waitMs(7));
        assertTrue(forecast.waitMs(9) < 150);
        assertEquals(SlotForecast.NEVER, new SlotForecast().reset(0, 100, 4, 0).waitMs(0));
        SlotForecast cold = new SlotForecast().reset(0, 100, 1, 0);
        cold.addBoot(900);
        assertEquals(900, cold.waitMs(0));
        assertEquals(1000, cold.waitMs(1));
    }

    @Test
    void instancesAreChosenByZoneAgeAndHealth() {
        PooledInstances instances = new PooledInstances(PARAMETERS.selection());
        PooledInstance old = addInstance(instances, "old", "east", 900);
        PooledInstance young = addInstance(instances, "young", "east", 100);
        PooledInstance far = addInstance(instances, "far", "west", 5000);
        assertEquals(old, instances.choose(request(1, "east"), 4, false, 10_000));
        old.heldSlots = 3;
        assertEquals(young, instances.choose(request(1, "east"), 4, false, 10_000));
        assertEquals(old, instances.choose(request(1, "east", "young"), 4, false, 10_000));
        young.heldSlots = 4;
        old.heldSlots = 4;
        assertEquals(far, instances.choose(request(1, "east"), 4, false, 10_000));
        old.heldSlots = 0;
        instances.onReleased(old, AttemptOutcome.BROKEN, 10, 10_000);
        assertEquals(old, instances.choose(request(1, "east"), 4, false, 10_000));
        instances.onReleased(old, AttemptOutcome.BROKEN, 10, 10_000);
        assertEquals(far, instances.choose(request(1, "east"), 4, false, 10_000));
        assertEquals(old, instances.choose(request(1, "east"), 4, false, 10_201));
        instances.onReleased(old, AttemptOutcome.UNREACHED, 10, 10_300);
        far.state = InstanceInfo.LEAVING;
        assertEquals(null, instances.choose(request(1, "east"), 4, false, 10_300));
    }

    @Test
    void anInstanceSlowerThanTheOthersComesLast() {
        PooledInstances instances = new PooledInstances(PARAMETERS.selection());
        PooledInstance slow = addInstance(instances, "slow", "east", 900);
        PooledInstance one = addInstance(instances, "one", "east", 800);
        PooledInstance two = addInstance(instances, "two", "east", 700);
        for (int i = 0; i < 10; i++) {
            instances.onReleased(slow, AttemptOutcome.SERVED, 300, 10_000);
            instances.onReleased(one, AttemptOutcome.SERVED, 100, 10_000);
            instances.onReleased(two, AttemptOutcome.SERVED, 110, 10_000);
        }
        assertEquals(one, instances.choose(request(1, "east"), 4, false, 10_000));
        one.heldSlots = 4;
        two.heldSlots = 4;
        assertEquals(slow, instances.choose(request(1, "east"), 4, false, 10_000));
    }

    @Test
    void lowPriorityRequestsAreServedAfterAging() {
        RequestQueue queue = new RequestQueue(PARAMETERS.queue(), new FairShare());
        queue.add(
                new SlotRequest(
                        1, "a", "east", "s", SlotOwner.withoutTenant(2), 4000, 60_000, false, false, false, List.of()),
                0);
        long id = 2;
        for (long now = 0; now < 20_000; now += 10) {
            queue.add(
                    new SlotRequest(
                            id++,
                            "a",
                            "east",
                            "s",
                            SlotOwner.withoutTenant(0),
                            4000,
                            60_000,
                            false,
                            false,
                            false,
                            List.of()),
                    now);
            queue.startRound();
            RequestQueue.Waiter next = queue.next(false, false, 10, now);
            queue.remove(next);
            if (next.request.id() == 1) {
                assertTrue(now >= 3900 && now < 4100, "" + now);
                return;
            }
        }
        throw new AssertionError("low-priority request starved");
    }

    @Test
    void demandRisesWithinHalfASecondAndFallsInSeconds() {
        SlotDemand demand = new SlotDemand(PARAMETERS.scaling());
        for (int i = 0; i < 50; i++) {
            demand.onAnswered(60);
        }
        long now = 0;
        for (; now < 10_000; now += 50) {
            demand.onArrival(now);
        }
        double calm = demand.slotsFor(demand.rate(now), LARGE_SERVICE);
        for (; now < 10_600; now += 17) {
            demand.onArrival(now);
        }
        double jumped = demand.slotsFor(demand.rate(now), LARGE_SERVICE);
        assertTrue(calm > 1.2 && calm < 3, "" + calm);
        assertTrue(jumped > 1.3 * calm, calm + " to " + jumped);
        assertTrue(demand.slotsFor(demand.slowRate(now + 2000), LARGE_SERVICE) > 0.5 * calm);
        assertTrue(demand.slotsFor(demand.slowRate(now + 20_000), LARGE_SERVICE) < 0.3 * calm);
    }

    /** A start costs 0.4 GB-seconds, which 128 MB use in 3.2 s. */
    @Test
    void idleInstancesAreKeptWhileCheaperThanAStart() {
        KeepAlivePolicy keepAlive = new KeepAlivePolicy(PARAMETERS.keepAlive());
        assertEquals(3200, keepAlive.breakEvenMs(SMALL_SERVICE, 700), 100);
        assertEquals(800, keepAlive.breakEvenMs(new ServiceSpec("s", 512, 100, 4, 1000), 100), 50);
        assertTrue(keepAlive.breakEvenMs(LARGE_SERVICE, 1400) > 1900, "a start that causes late requests costs more");
        KeepAlivePolicy frequent = new KeepAlivePolicy(PARAMETERS.keepAlive());
        KeepAlivePolicy rare = new KeepAlivePolicy(PARAMETERS.keepAlive());
        for (int i = 0; i < 30; i++) {
            frequent.onArrival(true, i * 2000L);
            rare.onArrival(true, i * 30_000L);
        }
        assertTrue(
                frequent.keepAliveMs(SMALL_SERVICE, 700) > 2000,
                "kept through gaps of 2 s: " + frequent.keepAliveMs(SMALL_SERVICE, 700));
        assertTrue(
                rare.keepAliveMs(SMALL_SERVICE, 700) <= 400,
                "not kept through gaps of 30 s: " + rare.keepAliveMs(SMALL_SERVICE, 700));
    }

    @Test
    void aZoneReturnsToTheRootWhenItsDemandFalls() {
        ZoneServiceQueue zoneQueue = new ZoneServiceQueue(PARAMETERS.zoneSpread());
        assertTrue(zoneQueue.shouldRedirect(false, 0.01, 0.005, 500, 0));
        assertTrue(zoneQueue.isWarming(100));
        assertFalse(zoneQueue.shouldRedirect(true, 0.01, 0.005, 500, 600));
        assertFalse(zoneQueue.shouldRedirect(true, 0.001, 0.005, 500, 1000));
        assertFalse(zoneQueue.shouldRedirect(true, 0.001, 0.005, 500, 4900));
        assertTrue(zoneQueue.shouldRedirect(true, 0.001, 0.005, 500, 5100));
        assertTrue(zoneQueue.isClosed(5200));
        assertFalse(zoneQueue.isWarming(5200));
    }

    @Test
    void slotsAreReservedOnlyAfterNestedCalls() {
        NestedCallReserve reserve = new NestedCallReserve(PARAMETERS.nestedCalls());
        assertEquals(0, reserve.reserved(40, 1000));
        reserve.onNestedCall(1000);
        assertEquals(0, reserve.reserved(3, 1001));
        assertEquals(1, reserve.reserved(4, 1001));
        assertEquals(5, reserve.reserved(40, 1001));
        assertEquals(0, reserve.reserved(40, 12_000));
    }

    @Test
    void afterAStallOneOfTwoSlotsIsReserved() {
        NestedCallReserve reserve = new NestedCallReserve(PARAMETERS.nestedCalls());
        reserve.onNestedCall(1000);
        assertEquals(0, reserve.minSlots(1001));
        reserve.onStalled(1100);
        assertEquals(2, reserve.minSlots(1101));
        assertEquals(1, reserve.reserved(2, 1101));
        assertEquals(0, reserve.reserved(1, 1101), "a single slot is not reserved");
        reserve.onNestedCall(10_000);
        assertEquals(2, reserve.minSlots(15_000), "extended by each nested call");
        assertEquals(0, reserve.minSlots(25_000));
    }

    private static SlotRequest ranked(long id, int priority, boolean call) {
        return new SlotRequest(
                id, "a", "east", "s", SlotOwner.withoutTenant(priority), 4000, 1000, false, false, call, List.of());
    }

    @Test
    void aRequestClassIsDisadvantagedWhileServedLessThanHalfAsOftenAsAll() {
        FairShare shares = new FairShare();
        for (int i = 0; i < 100; i++) {
            shares.onServed(ranked(i, 0, false), 10 * i);
        }
        SlotRequest low = ranked(1000, 2, false);
        assertFalse(shares.classOf(low).isDisadvantaged(), "no outcomes yet");
        shares.onNotServed(low, 1000);
        shares.onNotServed(low, 1000);
        assertTrue(shares.classOf(low).isDisadvantaged());
        shares.onServed(low, 1001);
        assertTrue(shares.classOf(low).isDisadvantaged(), "one of three served");
        shares.onServed(low, 1002);
        shares.onServed(low, 1003);
        assertFalse(shares.classOf(low).isDisadvantaged(), "three of five served");
        for (int i = 0; i < 5; i++) {
            shares.onNotServed(ranked(1000, 2, true), 1100);
        }
        assertTrue(shares.classOf(ranked(1, 2, true)).isDisadvantaged(), "nested calls are a class of their own");
        assertFalse(shares.classOf(low).isDisadvantaged());
        shares.onServed(ranked(1, 0, false), 80_000);
        assertFalse(shares.classOf(ranked(1, 2, true)).isDisadvantaged(), "outcomes decay");
    }

    @Test
    void aFullQueueDisplacesItsLastRequestForAnEarlierOne() {
        RequestQueue queue = new RequestQueue(PARAMETERS.queue(), new FairShare());
        while (!queue.isFull()) {
            queue.add(ranked(queue.size(), 1, false), queue.size());
        }
        assertEquals(null, queue.displace(ranked(1000, 2, false), 10, 300));
        assertEquals(
                PARAMETERS.queue().maxSize() - 1,
                queue.displace(ranked(1001, 1, true), 10, 300).request.id());
        assertFalse(queue.isFull());
    }

    @Test
    void noncesAreUniqueAndShort() {
        StartNonces nonces = new StartNonces("node-1.7");
        assertNotEquals(nonces.next(), nonces.next());
        assertTrue(nonces.next().length() <= 64);
        assertThrows(AdmissionException.class, () -> new StartNonces("x".repeat(49)));
    }
}
