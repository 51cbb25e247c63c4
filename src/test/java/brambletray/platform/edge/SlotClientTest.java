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
 * An edge and the home of a service, between which words come twice, late, or not at all: each ask has one place, and
 * none is lost.
 */
class SlotClientTest {
    private static final String EDGE = "e1";
    private static final String HOME = "h1";
    private static final String SERVICE = "s";

    // ---- Word by word ---------------------------------------------------------------------------
    private final List<String> sentMessages = new ArrayList<>();
    private final List<String> outcomes = new ArrayList<>();
    private final SlotClient slotClient = new SlotClient(new RecordingTransport(), new NoInstanceTracking(), () -> 0);

    private final class RecordingTransport implements SlotClient.Transport {
        @Override
        public String self() {
            return EDGE;
        }

        @Override
        public void requestLocally(SlotRequest ask, boolean stay) {
            sentMessages.add("here " + ask.id());
        }

        @Override
        public void releaseLocally(SlotRelease done) {
            sentMessages.add("here " + done);
        }

        @Override
        public void cancelLocally(SlotRequestCancel forget) {
            sentMessages.add("here " + forget);
        }

        @Override
        public boolean send(String edge, Object frame) {
            sentMessages.add(edge + " "
                    + (frame instanceof SlotRequest ask
                            ? "ask " + ask.id()
                            : frame instanceof SlotRelease done
                                    ? "done " + done.requestId() + " " + done.instanceId() + " " + done.outcome()
                                    : frame instanceof HeldSlots held
                                            ? "held "
                                                    + held.slots().stream()
                                                            .map(SlotGrant::instanceId)
                                                            .toList()
                                            : frame instanceof SlotRequestCancel forget
                                                    ? "forget " + forget.requestId()
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
            public void onRefused(int comeBackMs) {
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
     * The home lost its memory of the first and has granted another: that is free again, and the home knows which is in
     * use.
     */
    @Test
    void secondGrantAtAnotherInstanceIsReleased() {
        slotClient.onRoster(homes(1, HOME));
        requestSlot(7);
        slotClient.onGranted(HOME, grant(7, "a"));
        takeSentMessages();
        slotClient.onGranted(HOME, grant(7, "b"));
        assertEquals(List.of("h1 done 7 b UNUSED", "h1 held [a]"), takeSentMessages());
        assertEquals(List.of("7 at a"), outcomes);
    }

    @Test
    void grantForACancelledRequestIsReleased() {
        slotClient.onRoster(homes(1, HOME));
        requestSlot(7);
        slotClient.cancelRequest(7);
        takeSentMessages();
        slotClient.onGranted(HOME, grant(7, "a"));
        assertEquals(List.of("h1 done 7 a UNUSED"), takeSentMessages());
        assertEquals(List.of(), outcomes);
    }

    /** Fencing: the home that was asked before has gone from the roster, but its grant is still on its way. */
    @Test
    void grantOfAFormerHomeIsReleased() {
        slotClient.onRoster(homes(1, HOME));
        requestSlot(7);
        slotClient.onRoster(homes(2, "h2"));
        assertEquals(List.of("h1 ask 7", "h2 ask 7"), takeSentMessages());
        slotClient.onGranted(HOME, grant(7, "a"));
        assertEquals(List.of("h1 done 7 a UNUSED"), takeSentMessages());
        slotClient.onGranted("h2", grant(7, "b"));
        assertEquals(List.of("7 at b"), outcomes);
        slotClient.releaseSlot(grant(7, "b"), AttemptOutcome.SERVED, 5);
        assertEquals(List.of("h2 done 7 b SERVED"), takeSentMessages());
    }

    /** Between the grant and the request's end the home goes: the next one is told of the place, and gets it back. */
    @Test
    void heldSlotIsReportedToTheNextHome() {
        slotClient.onRoster(homes(1, HOME));
        requestSlot(7);
        slotClient.onGranted(HOME, grant(7, "a"));
        takeSentMessages();
        slotClient.onRoster(homes(2, "h2"));
        assertEquals(List.of("h2 held [a]"), takeSentMessages());
        slotClient.releaseSlot(grant(7, "a"), AttemptOutcome.SERVED, 5);
        assertEquals(List.of("h2 done 7 a SERVED"), takeSentMessages());
        assertEquals(0, slotClient.heldCount());
    }

    /** On a new link the same ask is said again, and not forgotten first: its grant may be on its way. */
    @Test
    void pendingRequestIsResentUnchangedAfterReconnect() {
        slotClient.onRoster(homes(1, HOME));
        requestSlot(7);
        takeSentMessages();
        slotClient.onHomeReconnected(HOME);
        assertEquals(List.of("h1 ask 7"), takeSentMessages());
    }

    // ---- At random ------------------------------------------------------------------------------
    private static final int HOSTS = 3;
    private static final int MAX_CONCURRENCY = 2;

    /** One scenario: this edge's steward and a home's queues, over links that break while words are on their way. */
    private static final class RandomScenario implements SlotClient.Transport, SlotClient.InstanceTracking, AdmissionActions {
        private record Event(long at, long order, Runnable what) {}

        private final PriorityQueue<Event> events =
                new PriorityQueue<>((a, b) -> a.at != b.at ? Long.compare(a.at, b.at) : Long.compare(a.order, b.order));
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

        private void schedule(long when, Runnable what) {
            events.add(new Event(when, order++, what));
        }

        @Override
        public String self() {
            return EDGE;
        }

        @Override
        public void requestLocally(SlotRequest ask, boolean stay) {
            throw new AssertionError("not home");
        }

        @Override
        public void releaseLocally(SlotRelease done) {
            throw new AssertionError("not home");
        }

        @Override
        public void cancelLocally(SlotRequestCancel forget) {
            throw new AssertionError("not home");
        }

        /**
         * Asks are lost at times, or come late on a link that is down already; what gives a place back is not, here.
         */
        @Override
        public boolean send(String edge, Object frame) {
            boolean ask = frame instanceof SlotRequest;
            if (ask && random.nextInt(10) == 0) {
                return true;
            }
            long when = Math.max(lastToHome, now + 1 + random.nextInt(4));
            if (ask && random.nextInt(6) == 0) {
                schedule(when + random.nextInt(80), () -> deliverToHome(frame));
            } else {
                lastToHome = when;
                schedule(when, () -> deliverToHome(frame));
            }
            return true;
        }

        private void deliverToHome(Object frame) {
            if (frame instanceof SlotRequest ask) {
                queues.onSlotRequest(ask, true, now);
            } else if (frame instanceof SlotRelease done) {
                queues.onSlotRelease(EDGE, done, now);
            } else if (frame instanceof SlotRequestCancel forget) {
                queues.onCancel(EDGE, forget, now);
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

        /** Lost while it is waited for, late, or twice. */
        @Override
        public void grant(String edge, SlotGrant grant) {
            boolean waitedFor = !granted.contains(grant.requestId()) && !ended.contains(grant.requestId());
            if (waitedFor && random.nextInt(10) == 0) {
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
        public void refuse(String edge, SlotRefusal refuse) {
            schedule(now + 1, () -> slotClient.onRefused(HOME, refuse));
        }

        @Override
        public void redirect(String edge, SlotRedirect elsewhere) {}

        @Override
        public void requestStart(StartRequest need) {}

        @Override
        public void requestStop(StopRequest quit) {}

        @Override
        public void reportUp(InstanceUp seen) {}

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
                            granted.add(id) && !ended.contains(id), "one word to an ask, and none to one that is over");
                    int used = inUse.merge(grant.instanceId(), 1, Integer::sum);
                    assertTrue(used <= MAX_CONCURRENCY, "host " + grant.instanceId() + " has " + used);
                    schedule(now + holdMs, () -> {
                        ended.add(id);
                        inUse.merge(grant.instanceId(), -1, Integer::sum);
                        slotClient.releaseSlot(grant, AttemptOutcome.SERVED, holdMs);
                    });
                }

                @Override
                public void onRefused(int comeBackMs) {
                    assertTrue(!granted.contains(id) && ended.add(id), "one word to an ask");
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
                while (!events.isEmpty() && events.peek().at <= now) {
                    events.poll().what.run();
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
            assertEquals(0, slotClient.pendingCount(), "asks that wait");
            runUntil(now + 400);
            assertEquals(0, slotClient.heldCount(), "places held");
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
                    HOSTS * MAX_CONCURRENCY, granted.size() - before + late, "places that are not free though nobody holds them");
        }
    }

    @Test
    void noSlotIsUsedTwiceOrLeaked() {
        int twice = 0;
        for (long seed = 1; seed <= 400; seed++) {
            RandomScenario walk = new RandomScenario(seed);
            try {
                walk.run();
            } catch (AssertionError | RuntimeException e) {
                throw new AssertionError("seed " + seed + ": " + e.getMessage(), e);
            }
            twice += walk.repeatedGrants;
        }
        assertTrue(twice > 400, "grants that came twice: " + twice);
    }
}
