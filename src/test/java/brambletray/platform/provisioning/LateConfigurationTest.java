package brambletray.platform.provisioning;

import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brambletray.platform.admission.AdmissionActions;
import brambletray.platform.admission.AdmissionParameters;
import brambletray.platform.admission.AttemptOutcome;
import brambletray.platform.admission.ServiceQueues;
import brambletray.platform.admission.ServiceSpec;
import brambletray.platform.admission.SlotGrant;
import brambletray.platform.admission.SlotOwner;
import brambletray.platform.admission.SlotRedirect;
import brambletray.platform.admission.SlotRefusal;
import brambletray.platform.admission.SlotRelease;
import brambletray.platform.admission.SlotRequest;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestFactory;

/**
 * Rule CONFIG, routes added later: services that come by a later configuration are served as well as the first ones,
 * right after they come and in the calm that follows, also where instances of the first ones fill the workers. A
 * home, the coordinator and the platform in virtual time; the seed is in the test's name.
 */
class LateConfigurationTest {
    private static final int WORKERS = 4;
    private static final int WORKER_MB = 4_000;
    private static final int INSTANCE_MB = 400;
    private static final int FIRST_SERVICES = 39;
    private static final int LATER_SERVICES = 24;
    private static final int BOOT_MS = 500;
    private static final int TARGET_MS = 400;
    private static final int DEADLINE_MS = 2_500;
    private static final int WORK_MS = 80;
    private static final int FIRST_EVERY_MS = 20_000;
    private static final int LATER_EVERY_MS = 4_000;
    private static final long ADDED_AT = 60_000;
    private static final long JUST_ADDED_MS = 8_000;
    private static final long END = 150_000;
    private static final int TRIES = 4;
    /** Of how often the first services are served; the rule says a quarter. */
    private static final double LEAST_SHARE = 0.9;

    /** Requests of some services in some span. */
    private static final class Count {
        private int asked;
        private int served;

        private double share() {
            return (double) served / Math.max(1, asked);
        }

        @Override
        public String toString() {
            return served + " of " + asked;
        }
    }

    private final SimulatedProvisioning scene = new SimulatedProvisioning(26, 26);
    private final Count first = new Count();
    private final Count justAdded = new Count();
    private final Count calm = new Count();
    private Random random;
    private HomeEdge home;
    private long ids;

    @TestFactory
    List<DynamicTest> servicesAddedLaterAreServedAsWellAsTheFirstOnFullWorkers() {
        return seeds(FIRST_SERVICES);
    }

    @TestFactory
    List<DynamicTest> servicesAddedLaterAreServedAsWellAsTheFirstWhereThereIsRoom() {
        return seeds(10);
    }

    /**
     * The platform takes fewer starts than services with long queues ask for: the first start of another service still
     * comes soon.
     */
    @Test
    void aStartForOneRequestIsNotOvertakenForEverByThoseForMany() {
        SimulatedProvisioning slow = new SimulatedProvisioning(5, 5);
        slow.worker("w-0", "north", "upper", 1_000_000);
        slow.service("first", 100, BOOT_MS);
        slow.service("later", 100, BOOT_MS);
        Edge edge = slow.edge("north");
        slow.hubWins();
        slow.wires.every(100, () -> edge.need(new StartRequest("first", "north", "first-" + slow.wires.now(), 200)));
        slow.wires.in(2_000, () -> edge.need(new StartRequest("later", "north", "later", 1)));
        slow.wires.runTo(6_000);
        assertNotNull(edge.host("later"), "no start of it within 4 s");
    }

    private static List<DynamicTest> seeds(int firstServices) {
        List<DynamicTest> tests = new ArrayList<>();
        for (long seed = 1; seed <= 5; seed++) {
            long one = seed;
            tests.add(
                    DynamicTest.dynamicTest("seed " + one, () -> new LateConfigurationTest().play(one, firstServices)));
        }
        return tests;
    }

    private void play(long seed, int firstServices) {
        random = new Random(seed);
        for (int i = 0; i < WORKERS; i++) {
            scene.worker("w-" + i, "north", "upper", WORKER_MB);
        }
        home = new HomeEdge();
        scene.edges.put("north", home);
        scene.hubWins();
        for (int i = 0; i < firstServices; i++) {
            add("first" + i, FIRST_EVERY_MS);
        }
        scene.wires.in(ADDED_AT, () -> {
            for (int i = 0; i < LATER_SERVICES; i++) {
                add("later" + i, LATER_EVERY_MS);
            }
        });
        scene.wires.runTo(END);
        String seen = "seed " + seed + ": first " + first + ", just added " + justAdded + ", later " + calm;
        assertTrue(first.share() > 0.95, seen);
        assertTrue(justAdded.asked >= 20 && justAdded.share() >= LEAST_SHARE * first.share(), seen);
        assertTrue(calm.share() >= LEAST_SHARE * first.share(), seen);
    }

    private void add(String service, int everyMs) {
        scene.service(service, INSTANCE_MB, BOOT_MS);
        scene.coordinator.provisioner.onConfigurationChanged(scene.configuration, scene.wires.now());
        home.add(new ServiceSpec(service, INSTANCE_MB, BOOT_MS, 1, TARGET_MS));
        arrive(service, everyMs);
    }

    private void arrive(String service, int everyMs) {
        scene.wires.in(random.nextInt(2 * everyMs), () -> {
            new Request(service).start();
            arrive(service, everyMs);
        });
    }

    private Count count(String service, long sentAt) {
        if (service.startsWith("first")) {
            return first;
        }
        return sentAt < ADDED_AT + JUST_ADDED_MS ? justAdded : calm;
    }

    /** A request of a client, which comes back as it is told, a few times. */
    private final class Request {
        private final String service;
        private final long sentAt = scene.wires.now();
        private int tries;

        Request(String service) {
            this.service = service;
            if (sentAt < END - DEADLINE_MS) {
                count(service, sentAt).asked++;
            }
        }

        private int left() {
            return (int) (sentAt + DEADLINE_MS - scene.wires.now());
        }

        void start() {
            if (left() > 0 && tries++ < TRIES) {
                home.ask(this);
            }
        }

        void refused(int comeBackMs) {
            scene.wires.in(Math.max(1, Math.min(comeBackMs < 0 ? 200 : comeBackMs, left() / 3)), this::start);
        }

        void served() {
            if (left() > 0 && sentAt < END - DEADLINE_MS) {
                count(service, sentAt).served++;
            }
        }
    }

    /** An edge that is home of all queues, as the program wires it up. */
    private final class HomeEdge extends Edge implements AdmissionActions {
        private final Map<Long, Request> asked = new HashMap<>();
        private final ServiceQueues queues =
                new ServiceQueues("north", "n", AdmissionParameters.of(0.2, 50, 10_000, 1), this);

        HomeEdge() {
            super(scene, "north");
            scene.wires.every(5, () -> {
                if (queues.nextDueMs() <= scene.wires.now()) {
                    queues.tick(scene.wires.now());
                }
            });
        }

        void add(ServiceSpec spec) {
            queues.onServiceSpec(spec, scene.wires.now());
            queues.takeOver(spec.service(), "north", List.of(), scene.wires.now());
        }

        void ask(Request request) {
            asked.put(++ids, request);
            SlotRequest ask = new SlotRequest(
                    ids,
                    name,
                    "north",
                    request.service,
                    SlotOwner.withoutTenant(1),
                    request.left(),
                    TARGET_MS,
                    false,
                    false,
                    false,
                    List.of());
            queues.onSlotRequest(ask, false, scene.wires.now());
        }

        private void later(long ms, Runnable what) {
            scene.wires.in(ms, what);
        }

        @Override
        void heard(Object frame) {
            long now = scene.wires.now();
            if (frame instanceof InstanceStarted born) {
                queues.onInstanceStarted(born, now);
            } else if (frame instanceof InstanceList hosts) {
                queues.onInstanceList(hosts, now);
            } else if (frame instanceof StartRefusal noRoom) {
                queues.onStartRefused(noRoom, now);
            } else if (frame instanceof InstanceDraining leave) {
                queues.onInstanceDraining(leave, now);
            } else if (frame instanceof InstanceGone gone) {
                queues.onInstanceGone(gone, now);
            } else if (frame instanceof ReclaimIdleInstances reclaim) {
                queues.reclaim(reclaim, now);
            }
        }

        @Override
        public void grant(String edge, SlotGrant grant) {
            Request request = asked.remove(grant.requestId());
            SlotRelease done = new SlotRelease(grant.requestId(), grant.instanceId(), AttemptOutcome.SERVED, WORK_MS);
            later(WORK_MS, () -> {
                request.served();
                queues.onSlotRelease(name, done, scene.wires.now());
            });
        }

        @Override
        public void refuse(String edge, SlotRefusal refuse) {
            Request request = asked.remove(refuse.requestId());
            later(1, () -> request.refused(refuse.retryAfterMs()));
        }

        @Override
        public void redirect(String edge, SlotRedirect elsewhere) {
            throw new AssertionError(elsewhere);
        }

        @Override
        public void requestStart(StartRequest need) {
            say(need);
        }

        @Override
        public void requestStop(StopRequest quit) {
            say(quit);
        }

        @Override
        public void reportUp(InstanceUp seen) {
            say(seen);
        }

        @Override
        public void claimHome(HomeClaim claim) {
            say(claim);
        }

        @Override
        public void probe(String service, String host, String address) {
            later(1, () -> queues.onProbed(host, scene.cloud.stand.up(host, scene.wires.now()), scene.wires.now()));
        }
    }
}
