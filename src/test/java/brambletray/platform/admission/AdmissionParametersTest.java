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

/** Each law by itself. */
class AdmissionParametersTest {
    private static final AdmissionParameters PARAMETERS = AdmissionParameters.of(0.2, 50, 10_000, 1);
    private static final ServiceSpec SMALL_SERVICE = new ServiceSpec("s", 128, 900, 1, 1500);
    private static final ServiceSpec LARGE_SERVICE = new ServiceSpec("s", 512, 1400, 4, 300);

    private static SlotRequest request(long id, String zone, String... avoid) {
        return new SlotRequest(id, "a", zone, "s", SlotOwner.withoutTenant(1), 1000, 300, false, false, false, List.of(avoid));
    }

    private static PooledInstance addInstance(PooledInstances posts, String id, String zone, long bornAgo) {
        PooledInstance post = new PooledInstance(
                new InstanceInfo(id, "s", "x", zone, zone, "w", "n", InstanceInfo.UP, bornAgo), true, 10_000);
        posts.add(post);
        return post;
    }

    @Test
    void hedgeDelayIsAboveThe90thPercentileAndForgets() {
        HedgeDelay pace = new HedgeDelay();
        assertEquals(200, pace.delayMs());
        for (int i = 1; i <= 100; i++) {
            pace.add(i);
        }
        assertTrue(pace.delayMs() >= 90 && pace.delayMs() <= 104, "" + pace.delayMs());
        for (int i = 0; i < 4000; i++) {
            pace.add(1000);
        }
        assertTrue(pace.delayMs() >= 1000 && pace.delayMs() <= 1130, "" + pace.delayMs());
        pace.add(Integer.MAX_VALUE);
        assertTrue(pace.sampleCount() <= 512);
    }

    /** Against every window of the past, counted one by one. */
    @Test
    void budgetHoldsInEachSlidingWindow() {
        Random random = new Random(5);
        RetryBudget budget = new RetryBudget(PARAMETERS.retryBudget());
        Deque<Long> requests = new ArrayDeque<>();
        Deque<Long> extra = new ArrayDeque<>();
        int granted = 0;
        for (long now = 0; now < 60_000; now += 1 + random.nextInt(20)) {
            if ((now / 5000) % 2 == 0) {
                budget.onRequest(now);
                requests.add(now);
            }
            boolean copy = random.nextBoolean();
            if (budget.isAllowed(copy, now)) {
                budget.spend(copy, now);
                extra.add(now);
                granted++;
            }
            while (!requests.isEmpty() && requests.peek() <= now - 10_000) {
                requests.poll();
            }
            while (!extra.isEmpty() && extra.peek() <= now - 10_000) {
                extra.poll();
            }
            assertTrue(
                    extra.size() <= 0.2 * requests.size() + 25,
                    "at " + now + ": " + extra.size() + " of " + requests.size());
        }
        assertTrue(granted > 100);
    }

    @Test
    void hedgesLeaveHalfOfTheBudget() {
        RetryBudget budget = new RetryBudget(new AdmissionParameters.RetryBudgetLimits(0, 20, 10_000, 1));
        int copies = 0;
        while (budget.isAllowed(true, 5)) {
            budget.spend(true, 5);
            copies++;
        }
        int others = 0;
        while (budget.isAllowed(false, 5)) {
            budget.spend(false, 5);
            others++;
        }
        assertEquals(10, copies);
        assertEquals(10, others);
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
        PooledInstances posts = new PooledInstances(PARAMETERS.selection());
        PooledInstance old = addInstance(posts, "old", "east", 900);
        PooledInstance young = addInstance(posts, "young", "east", 100);
        PooledInstance far = addInstance(posts, "far", "west", 5000);
        assertEquals(old, posts.choose(request(1, "east"), 4, false, 10_000));
        old.heldSlots = 3;
        assertEquals(young, posts.choose(request(1, "east"), 4, false, 10_000));
        assertEquals(old, posts.choose(request(1, "east", "young"), 4, false, 10_000));
        young.heldSlots = 4;
        old.heldSlots = 4;
        assertEquals(far, posts.choose(request(1, "east"), 4, false, 10_000));
        old.heldSlots = 0;
        posts.onReleased(old, AttemptOutcome.BROKEN, 10, 10_000);
        assertEquals(old, posts.choose(request(1, "east"), 4, false, 10_000));
        posts.onReleased(old, AttemptOutcome.BROKEN, 10, 10_000);
        assertEquals(far, posts.choose(request(1, "east"), 4, false, 10_000));
        assertEquals(old, posts.choose(request(1, "east"), 4, false, 10_201));
        posts.onReleased(old, AttemptOutcome.UNREACHED, 10, 10_300);
        far.state = InstanceInfo.LEAVING;
        assertEquals(null, posts.choose(request(1, "east"), 4, false, 10_300));
    }

    @Test
    void anInstanceSlowerThanTheOthersComesLast() {
        PooledInstances posts = new PooledInstances(PARAMETERS.selection());
        PooledInstance slow = addInstance(posts, "slow", "east", 900);
        PooledInstance one = addInstance(posts, "one", "east", 800);
        PooledInstance two = addInstance(posts, "two", "east", 700);
        for (int i = 0; i < 10; i++) {
            posts.onReleased(slow, AttemptOutcome.SERVED, 300, 10_000);
            posts.onReleased(one, AttemptOutcome.SERVED, 100, 10_000);
            posts.onReleased(two, AttemptOutcome.SERVED, 110, 10_000);
        }
        assertEquals(one, posts.choose(request(1, "east"), 4, false, 10_000));
        one.heldSlots = 4;
        two.heldSlots = 4;
        assertEquals(slow, posts.choose(request(1, "east"), 4, false, 10_000));
    }

    @Test
    void lowPriorityRequestsAreServedAfterAging() {
        RequestQueue line = new RequestQueue(PARAMETERS.queue(), new FairShare());
        line.add(
                new SlotRequest(1, "a", "east", "s", SlotOwner.withoutTenant(2), 4000, 60_000, false, false, false, List.of()),
                0);
        long id = 2;
        for (long now = 0; now < 20_000; now += 10) {
            line.add(
                    new SlotRequest(
                            id++, "a", "east", "s", SlotOwner.withoutTenant(0), 4000, 60_000, false, false, false, List.of()),
                    now);
            line.startRound();
            RequestQueue.Waiter next = line.next(false, false, 10, now);
            line.remove(next);
            if (next.request.id() == 1) {
                assertTrue(now >= 3900 && now < 4100, "" + now);
                return;
            }
        }
        throw new AssertionError("starved");
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

    /** Break-even: 0.4 GB-seconds a start. */
    @Test
    void idleInstancesAreKeptWhileCheaperThanAStart() {
        KeepAlivePolicy keepAlive = new KeepAlivePolicy(PARAMETERS.keepAlive());
        assertEquals(3200, keepAlive.breakEvenMs(SMALL_SERVICE, 700), 100);
        assertEquals(800, keepAlive.breakEvenMs(new ServiceSpec("s", 512, 100, 4, 1000), 100), 50);
        assertTrue(keepAlive.breakEvenMs(LARGE_SERVICE, 1400) > 1900, "a start that makes late is worth more");
        KeepAlivePolicy frequent = new KeepAlivePolicy(PARAMETERS.keepAlive());
        KeepAlivePolicy rare = new KeepAlivePolicy(PARAMETERS.keepAlive());
        for (int i = 0; i < 30; i++) {
            frequent.onArrival(true, i * 2000L);
            rare.onArrival(true, i * 30_000L);
        }
        assertTrue(frequent.keepAliveMs(SMALL_SERVICE, 700) > 2000, "kept through gaps of 2 s: " + frequent.keepAliveMs(SMALL_SERVICE, 700));
        assertTrue(rare.keepAliveMs(SMALL_SERVICE, 700) <= 400, "gaps of 30 s pay for nothing: " + rare.keepAliveMs(SMALL_SERVICE, 700));
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
        NestedCallReserve room = new NestedCallReserve(PARAMETERS.nestedCalls());
        assertEquals(0, room.reserved(40, 1000));
        room.onNestedCall(1000);
        assertEquals(0, room.reserved(3, 1001));
        assertEquals(1, room.reserved(4, 1001));
        assertEquals(5, room.reserved(40, 1001));
        assertEquals(0, room.reserved(40, 12_000));
    }

    @Test
    void afterAStallOneOfTwoSlotsIsReserved() {
        NestedCallReserve room = new NestedCallReserve(PARAMETERS.nestedCalls());
        room.onNestedCall(1000);
        assertEquals(0, room.minSlots(1001));
        room.onStalled(1100);
        assertEquals(2, room.minSlots(1101));
        assertEquals(1, room.reserved(2, 1101));
        assertEquals(0, room.reserved(1, 1101), "the only place is for all");
        room.onNestedCall(10_000);
        assertEquals(2, room.minSlots(15_000), "as long as calls come");
        assertEquals(0, room.minSlots(25_000));
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
        assertFalse(shares.classOf(low).isDisadvantaged(), "nothing is known of it");
        shares.onNotServed(low, 1000);
        shares.onNotServed(low, 1000);
        assertTrue(shares.classOf(low).isDisadvantaged());
        shares.onServed(low, 1001);
        assertTrue(shares.classOf(low).isDisadvantaged(), "one of three");
        shares.onServed(low, 1002);
        shares.onServed(low, 1003);
        assertFalse(shares.classOf(low).isDisadvantaged(), "three of five");
        for (int i = 0; i < 5; i++) {
            shares.onNotServed(ranked(1000, 2, true), 1100);
        }
        assertTrue(shares.classOf(ranked(1, 2, true)).isDisadvantaged(), "calls of hosts are a kind of their own");
        assertFalse(shares.classOf(low).isDisadvantaged());
        shares.onServed(ranked(1, 0, false), 80_000);
        assertFalse(shares.classOf(ranked(1, 2, true)).isDisadvantaged(), "outcomes fade");
    }

    @Test
    void aFullQueueDisplacesItsLastRequestForAnEarlierOne() {
        RequestQueue line = new RequestQueue(PARAMETERS.queue(), new FairShare());
        while (!line.isFull()) {
            line.add(ranked(line.size(), 1, false), line.size());
        }
        assertEquals(null, line.displace(ranked(1000, 2, false), 10, 300));
        assertEquals(
                PARAMETERS.queue().maxSize() - 1,
                line.displace(ranked(1001, 1, true), 10, 300).request.id());
        assertFalse(line.isFull());
    }

    @Test
    void noncesAreUniqueAndShort() {
        StartNonces nonces = new StartNonces("node-1.7");
        assertNotEquals(nonces.next(), nonces.next());
        assertTrue(nonces.next().length() <= 64);
        assertThrows(AdmissionException.class, () -> new StartNonces("x".repeat(49)));
    }
}
