package brambletray.platform.edge;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brambletray.platform.admission.AdmissionActions;
import brambletray.platform.admission.AdmissionParameters;
import brambletray.platform.admission.AttemptOutcome;
import brambletray.platform.admission.HeldSlots;
import brambletray.platform.admission.ServiceQueues;
import brambletray.platform.admission.ServiceSpec;
import brambletray.platform.admission.SlotGrant;
import brambletray.platform.admission.SlotOwner;
import brambletray.platform.admission.SlotRedirect;
import brambletray.platform.admission.SlotRefusal;
import brambletray.platform.admission.SlotRelease;
import brambletray.platform.admission.SlotRequest;
import brambletray.platform.admission.SlotRequestCancel;
import brambletray.platform.failuredetection.HomeAssignment;
import brambletray.platform.failuredetection.Peer;
import brambletray.platform.failuredetection.Roster;
import brambletray.platform.provisioning.HomeClaim;
import brambletray.platform.provisioning.InstanceInfo;
import brambletray.platform.provisioning.InstanceList;
import brambletray.platform.provisioning.InstanceUp;
import brambletray.platform.provisioning.StartRequest;
import brambletray.platform.provisioning.StopRequest;
import brambletray.platform.proxy.SlotRequester;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/**
 * Frames between an edge and the home of a service are repeated, delayed or lost: each request must get one slot, and
 * no slot may be leaked.
 */
class SlotClientTest {
    private static final String EDGE = "e1";
    private static final String HOME = "h1";
    private static final String SERVICE = "s";

    // ---- Single frames --------------------------------------------------------------------------
    private final List<String> sentMessages = new ArrayList<>();
    private final List<String> outcomes = new ArrayList<>();
    private final SlotClient slotClient = new SlotClient(new RecordingTransport(), new NoInstanceTracking(), () -> 0);

    private final class RecordingTransport implements SlotClient.Transport {
        @Override
        public String self() {
            return EDGE;
        }

        @Override
        public void requestLocally(SlotRequest request, boolean serveHere) {
            sentMessages.add("here " + request.id());
        }

        @Override
        public void releaseLocally(SlotRelease release) {
            sentMessages.add("here " + release);
        }

        @Override
        public void cancelLocally(SlotRequestCancel cancel) {
            sentMessages.add("here " + cancel);
        }

        @Override
        public boolean send(String edge, Object frame) {
            sentMessages.add(edge + " "
                    + (frame instanceof SlotRequest request
                            ? "request " + request.id()
                            : frame instanceof SlotRelease release
                                    ? "release " + release.requestId() + " " + release.instanceId() + " "
                                            + release.outcome()
                                    : frame instanceof HeldSlots held
                                            ? "held "
                                                    + held.slots().stream()
                                                            .map(SlotGrant::instanceId)
                                                            .toList()
                                            : frame instanceof SlotRequestCancel cancel
                                                    ? "cancel " + cancel.requestId()
                                                    : frame.toString()));
            return true;
        }

        @Override
        public boolean isUnreachable(String edge) {
            return false;
        }

        @Override
        public String zone() {
            return "z";
        }
    }

    private static final class NoInstanceTracking implements SlotClient.InstanceTracking {
        @Override
        public void onInstanceAddress(String address) {}

        @Override
        public void onHeldLocally(HeldSlots held) {}
    }

    static HomeAssignment homes(long number, String... names) {
        List<Peer> peers = new ArrayList<>();
        for (String name : names) {
            peers.add(new Peer(name, "z", name + ":1", 1, Peer.ACTIVE));
        }
        return new HomeAssignment(new Roster(1, number, peers));
    }

    private static SlotRequest slotRequest(long id) {
        return new SlotRequest(
                id, EDGE, "z", SERVICE, SlotOwner.withoutTenant(1), 60_000, 60_000, false, false, false, List.of());
    }

    private static SlotGrant grant(long id, String host) {
        return new SlotGrant(id, host, "10.0.1.1:80", false);
    }

    private void requestSlot(long id) {
        slotClient.requestSlot(slotRequest(id), new SlotRequester() {
            @Override
            public void onGranted(SlotGrant grant) {
                outcomes.add(id + " at " + grant.instanceId());
            }

            @Override
            public void onRefused(int retryAfterMs) {
                outcomes.add(id + " refused");
            }
        });
    }

    private List<String> takeSentMessages() {
        List<String> now = List.copyOf(sentMessages);
        sentMessages.clear();
        return now;
    }

    @Test
    void repeatedGrantCountsAsOneSlot() {
        slotClient.onRoster(homes(1, HOME));
        requestSlot(7);
        slotClient.onGranted(HOME, grant(7, "a"));
        takeSentMessages();
        slotClient.onGranted(HOME, grant(7, "a"));
        assertEquals(List.of(), takeSentMessages());
        assertEquals(List.of("7 at a"), outcomes);
        assertEquals(1, slotClient.heldCount());
    }

    /**
     * The home has lost its state and grants a second slot for the request: the edge releases it and reports the slot
     * in use.
     */
    @Test
    void secondGrantAtAnotherInstanceIsReleased() {
        slotClient.onRoster(homes(1, HOME));
        requestSlot(7);
        slotClient.onGranted(HOME, grant(7, "a"));
        takeSentMessages();
        slotClient.onGranted(HOME, grant(7, "b"));
        assertEquals(List.of("h1 release 7 b UNUSED", "h1 held [a]"), takeSentMessages());
        assertEquals(List.of("7 at a"), outcomes);
    }

    @Test
    void grantForACancelledRequestIsReleased() {
        slotClient.onRoster(homes(1, HOME));
        requestSlot(7);
        slotClient.cancelRequest(7);
        takeSentMessages();
        slotClient.onGranted(HOME, grant(7, "a"));
        assertEquals(List.of("h1 release 7 a UNUSED"), takeSentMessages());
        assertEquals(List.of(), outcomes);
    }

    /** Fencing: the former home has left the roster while its grant is in transit. */
    @Test
    void grantOfAFormerHomeIsReleased() {
        slotClient.onRoster(homes(1, HOME));
        requestSlot(7);
        slotClient.onRoster(homes(2, "h2"));
        assertEquals(List.of("h1 request 7", "h2 request 7"), takeSentMessages());
        slotClient.onGranted(HOME, grant(7, "a"));
        assertEquals(List.of("h1 release 7 a UNUSED"), takeSentMessages());
        slotClient.onGranted("h2", grant(7, "b"));
        assertEquals(List.of("7 at b"), outcomes);
        slotClient.releaseSlot(grant(7, "b"), AttemptOutcome.SERVED, 5);
        assertEquals(List.of("h2 release 7 b SERVED"), takeSentMessages());
    }

    /** The home changes while a slot is held: the slot is reported to the next home and released there. */
    @Test
    void heldSlotIsReportedToTheNextHome() {
        slotClient.onRoster(homes(1, HOME));
        requestSlot(7);
        slotClient.onGranted(HOME, grant(7, "a"));
        takeSentMessages();
        slotClient.onRoster(homes(2, "h2"));
        assertEquals(List.of("h2 held [a]"), takeSentMessages());
        slotClient.releaseSlot(grant(7, "a"), AttemptOutcome.SERVED, 5);
        assertEquals(List.of("h2 release 7 a SERVED"), takeSentMessages());
        assertEquals(0, slotClient.heldCount());
    }

    /** The request is repeated on a new link without a cancel before it: its grant may be in transit. */
    @Test
    void pendingRequestIsResentUnchangedAfterReconnect() {
        slotClient.onRoster(homes(1, HOME));
        requestSlot(7);
        takeSentMessages();
        slotClient.onHomeReconnected(HOME);
        assertEquals(List.of("h1 request 7"), takeSentMessages());
    }

    // ---- Random scenarios -----------------------------------------------------------------------
    private static final int HOSTS = 3;
    private static final int MAX_CONCURRENCY = 2;

    /** A random scenario: a slot client and a home's queues, over links that break while frames are in transit. */
    private static final class RandomScenario
            implements SlotClient.Transport, SlotClient.InstanceTracking, AdmissionActions {
        private record Event(long atMs, long order, Runnable action) {}

        private final PriorityQueue<Event> events = new PriorityQueue<>(
                (a, b) -> a.atMs != b.atMs ? Long.compare(a.atMs, b.atMs) : Long.compare(a.order, b.order));
        private final SplittableRandom random;
        private final SlotClient slotClient = new SlotClient(this, this, () -> this.now);
        private final ServiceQueues queues =
                new ServiceQueues("z", "n", AdmissionParameters.of(0.2, 100, 10_000, 1), this);
        private final Map<String, Integer> inUse = new HashMap<>();
        private final Set<Long> granted = new HashSet<>();
        private final Set<Long> ended = new HashSet<>();
        private long now = 1_000;
        private long order;
        private long lastId;
        private long lastToHome;
        private long lastToEdge;
        private int repeatedGrants;

        RandomScenario(long seed) {
            random = new SplittableRandom(seed);
            slotClient.onRoster(homes(1, HOME));
            queues.onServiceSpec(new ServiceSpec(SERVICE, 512, 700, MAX_CONCURRENCY, 60_000), now);
            queues.takeOver(SERVICE, "z", List.of(), now);
        }

        private void schedule(long atMs, Runnable action) {
            events.add(new Event(atMs, order++, action));
        }

        @Override
        public String self() {
            return EDGE;
        }

        @Override
        public void requestLocally(SlotRequest request, boolean serveHere) {
            throw new AssertionError("this edge is not the home");
        }

        @Override
        public void releaseLocally(SlotRelease release) {
            throw new AssertionError("this edge is not the home");
        }

        @Override
        public void cancelLocally(SlotRequestCancel cancel) {
            throw new AssertionError("this edge is not the home");
        }

        /** Slot requests may be lost, or delayed on a link that is down already; all other frames arrive in order. */
        @Override
        public boolean send(String edge, Object frame) {
            boolean isRequest = frame instanceof SlotRequest;
            if (isRequest && random.nextInt(10) == 0) {
                return true;
            }
            long when = Math.max(lastToHome, now + 1 + random.nextInt(4));
            if (isRequest && random.nextInt(6) == 0) {
                schedule(when + random.nextInt(80), () -> deliverToHome(frame));
            } else {
                lastToHome = when;
                schedule(when, () -> deliverToHome(frame));
            }
            return true;
        }

        private void deliverToHome(Object frame) {
            if (frame instanceof SlotRequest request) {
                queues.onSlotRequest(request, true, now);
            } else if (frame instanceof SlotRelease release) {
                queues.onSlotRelease(EDGE, release, now);
            } else if (frame instanceof SlotRequestCancel cancel) {
                queues.onCancel(EDGE, cancel, now);
            } else if (frame instanceof HeldSlots held) {
                queues.onHeldSlots(held, now);
            }
        }

        @Override
        public boolean isUnreachable(String edge) {
            return false;
        }

        @Override
        public String zone() {
            return "z";
        }

        @Override
        public void onInstanceAddress(String address) {}

        @Override
        public void onHeldLocally(HeldSlots held) {}

        /** Grants may be delayed or repeated, and lost while they are awaited. */
        @Override
        public void grant(String edge, SlotGrant grant) {
            boolean isAwaited = !granted.contains(grant.requestId()) && !ended.contains(grant.requestId());
            if (isAwaited && random.nextInt(10) == 0) {
                schedule(now + 30 + random.nextInt(60), () -> slotClient.onHomeReconnected(HOME));
                return;
            }
            lastToEdge = Math.max(lastToEdge, now + 1 + random.nextInt(4));
            schedule(lastToEdge, () -> slotClient.onGranted(HOME, grant));
            if (random.nextInt(10) == 0) {
                repeatedGrants++;
                schedule(lastToEdge + random.nextInt(60), () -> slotClient.onGranted(HOME, grant));
            }
        }

        @Override
        public void refuse(String edge, SlotRefusal refusal) {
            schedule(now + 1, () -> slotClient.onRefused(HOME, refusal));
        }

        @Override
        public void redirect(String edge, SlotRedirect redirect) {}

        @Override
        public void requestStart(StartRequest startRequest) {}

        @Override
        public void requestStop(StopRequest stopRequest) {}

        @Override
        public void reportUp(InstanceUp instanceUp) {}

        @Override
        public void claimHome(HomeClaim claim) {
            List<InstanceInfo> hosts = new ArrayList<>();
            for (int i = 0; i < HOSTS; i++) {
                hosts.add(new InstanceInfo(
                        "h" + i, SERVICE, "10.0.1." + i + ":80", "z", "z", "w", "n", InstanceInfo.UP, 5_000));
            }
            schedule(now + 3, () -> queues.onInstanceList(new InstanceList(SERVICE, "z", hosts), now));
        }

        @Override
        public void probe(String service, String hostId, String address) {
            schedule(now + 1, () -> queues.onProbed(hostId, true, now));
        }

        void requestSlot(int holdMs) {
            long id = ++lastId;
            slotClient.requestSlot(slotRequest(id), new SlotRequester() {
                @Override
                public void onGranted(SlotGrant grant) {
                    assertTrue(
                            granted.add(id) && !ended.contains(id),
                            "a request has more than one answer, or one after its end");
                    int used = inUse.merge(grant.instanceId(), 1, Integer::sum);
                    assertTrue(
                            used <= MAX_CONCURRENCY,
                            "host " + grant.instanceId() + " has concurrent requests: " + used);
                    schedule(now + holdMs, () -> {
                        ended.add(id);
                        inUse.merge(grant.instanceId(), -1, Integer::sum);
                        slotClient.releaseSlot(grant, AttemptOutcome.SERVED, holdMs);
                    });
                }

                @Override
                public void onRefused(int retryAfterMs) {
                    assertTrue(!granted.contains(id) && ended.add(id), "a request has more than one answer");
                }
            });
            if (random.nextInt(12) == 0) {
                schedule(now + random.nextInt(20), () -> {
                    if (!granted.contains(id) && ended.add(id)) {
                        slotClient.cancelRequest(id);
                    }
                });
            }
        }

        void runUntil(long when) {
            for (; now < when; now++) {
                while (!events.isEmpty() && events.peek().atMs <= now) {
                    events.poll().action.run();
                }
                queues.tick(now);
            }
        }

        void run() {
            runUntil(now + 20);
            for (int i = 0; i < 60; i++) {
                if (random.nextInt(3) == 0) {
                    requestSlot(1 + random.nextInt(60));
                }
                if (random.nextInt(15) == 0) {
                    slotClient.onHomeReconnected(HOME);
                }
                runUntil(now + random.nextInt(20));
            }
            for (int i = 0; i < 20 && slotClient.pendingCount() > 0; i++) {
                runUntil(now + 200);
                slotClient.onHomeReconnected(HOME);
            }
            assertEquals(0, slotClient.pendingCount(), "pending requests");
            runUntil(now + 400);
            assertEquals(0, slotClient.heldCount(), "held slots");
            int before = granted.size();
            for (int i = 0; i < HOSTS * MAX_CONCURRENCY; i++) {
                requestSlot(1_000);
            }
            for (int i = 0; i < 6; i++) {
                runUntil(now + 100);
                slotClient.onHomeReconnected(HOME);
            }
            int late = (int) ended.stream()
                    .filter(id -> id > lastId - HOSTS * MAX_CONCURRENCY && !granted.contains(id))
                    .count();
            assertEquals(
                    HOSTS * MAX_CONCURRENCY,
                    granted.size() - before + late,
                    "granted or refused requests, one for each free slot");
        }
    }

    @Test
    void noSlotIsUsedTwiceOrLeaked() {
        int repeatedGrants = 0;
        for (long seed = 1; seed <= 400; seed++) {
            RandomScenario scenario = new RandomScenario(seed);
            try {
                scenario.run();
            } catch (AssertionError | RuntimeException e) {
                throw new AssertionError("seed " + seed + ": " + e.getMessage(), e);
            }
            repeatedGrants += scenario.repeatedGrants;
        }
        assertTrue(repeatedGrants > 400, "repeated grants: " + repeatedGrants);
    }
}
