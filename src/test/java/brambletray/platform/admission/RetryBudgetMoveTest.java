package brambletray.platform.admission;

import static org.junit.jupiter.api.Assertions.assertTrue;

import brambletray.platform.provisioning.HomeClaim;
import brambletray.platform.provisioning.InstanceInfo;
import brambletray.platform.provisioning.InstanceList;
import brambletray.platform.provisioning.InstanceUp;
import brambletray.platform.provisioning.StartRequest;
import brambletray.platform.provisioning.StopRequest;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;

/**
 * Rule BUDGET across moves of a service's home: an edge sends retries all the time, and the home moves up to three
 * times within two windows. Guards against each new home granting the full slack again. Virtual time; the seed is in
 * the test's name.
 */
class RetryBudgetMoveTest {
    private static final double RATIO = 0.2;
    private static final int SLACK = 56;
    private static final int WINDOW_MS = 10_000;
    private static final int LENGTH_MS = 60_000;
    private static final int REQUEST_EVERY_MS = 100;
    private static final int RETRY_EVERY_MS = 10;

    private final List<Long> requests = new ArrayList<>();
    private final List<Long> retries = new ArrayList<>();
    private final List<SlotGrant> granted = new ArrayList<>();
    private ServiceQueues home;
    private long now;
    private long ids;

    @TestFactory
    List<DynamicTest> retriesStayWithinTheBudgetOfEverySlidingWindow() {
        List<DynamicTest> tests = new ArrayList<>();
        for (long seed = 1; seed <= 20; seed++) {
            long testSeed = seed;
            tests.add(DynamicTest.dynamicTest("seed " + testSeed, () -> new RetryBudgetMoveTest().simulate(testSeed)));
        }
        return tests;
    }

    private void simulate(long seed) {
        Random random = new Random(seed);
        moveHome(List.of());
        List<Long> moves = new ArrayList<>();
        while (now < LENGTH_MS) {
            now++;
            home.tick(now);
            releaseSlots();
            boolean recentEnough = moves.size() < 3 || now - moves.get(moves.size() - 3) > 2 * WINDOW_MS;
            if (recentEnough && random.nextInt(1_500) == 0) {
                moves.add(now);
                moveHome(List.of("a"));
            }
            if (now % REQUEST_EVERY_MS == 0) {
                requests.add(now);
                requestSlot(false);
            }
            if (now % RETRY_EVERY_MS == 5) {
                requestSlot(true);
            }
        }
        assertTrue(retries.size() > 50, "seed " + seed + ": too few retries are granted: " + retries.size());
        for (long start : retries) {
            long retryCount = within(retries, start);
            double limit = RATIO * within(requests, start) + SLACK;
            assertTrue(
                    retryCount <= limit,
                    () -> "seed " + seed + ": " + retryCount + " of " + limit + " from " + start + ", moves " + moves);
        }
    }

    private static long within(List<Long> times, long start) {
        return times.stream()
                .filter(at -> at >= start && at < start + WINDOW_MS)
                .count();
    }

    private void requestSlot(boolean retry) {
        SlotRequest request = new SlotRequest(
                ++ids, "a", "east", "s", SlotOwner.withoutTenant(1), 50, 50, false, retry, false, List.of());
        home.onSlotRequest(request, false, now);
    }

    private void releaseSlots() {
        for (SlotGrant grant : granted) {
            home.onSlotRelease(
                    "a", new SlotRelease(grant.requestId(), grant.instanceId(), AttemptOutcome.SERVED, 1), now);
        }
        granted.clear();
    }

    /** Makes another edge the home; {@code previousEdges}: edges that may hold slots granted by the previous one. */
    private void moveHome(List<String> previousEdges) {
        home = new ServiceQueues(
                "east", "n" + now, AdmissionParameters.of(RATIO, SLACK, WINDOW_MS, 1), new EdgeActions());
        home.onServiceSpec(new ServiceSpec("s", 128, 500, 64, 1_000), now);
        home.takeOver("s", "east", previousEdges, now);
        InstanceInfo instance = new InstanceInfo("h1", "s", "a:1", "east", "east", "w", "n", InstanceInfo.UP, 60_000);
        home.onInstanceList(new InstanceList("s", "east", List.of(instance)), now);
        for (String edge : previousEdges) {
            home.onHeldSlots(new HeldSlots(edge, "s", List.of()), now);
        }
    }

    /** Counts granted retries, and remembers all granted slots for release. */
    private final class EdgeActions implements AdmissionActions {
        @Override
        public void grant(String edge, SlotGrant grant) {
            if (now % RETRY_EVERY_MS == 5) {
                retries.add(now);
            }
            granted.add(grant);
        }

        @Override
        public void refuse(String edge, SlotRefusal refusal) {}

        @Override
        public void redirect(String edge, SlotRedirect redirect) {}

        @Override
        public void requestStart(StartRequest request) {}

        @Override
        public void requestStop(StopRequest request) {}

        @Override
        public void reportUp(InstanceUp instance) {}

        @Override
        public void claimHome(HomeClaim claim) {}

        @Override
        public void probe(String service, String instanceId, String address) {}
    }
}
