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
    private final List<String> said = new ArrayList<>();
    private final List<String> taken = new ArrayList<>();
    private final SlotClient slotClient = new SlotClient(new Said(), new Nothing(), () -> 0);

    private final class Said implements SlotClient.Transport {
        @Override
        public String self() {
            return EDGE;
        }

        @Override
        public void requestHere(SlotRequest ask, boolean stay) {
            said.add("here " + ask.id());
        }

        @Override
        public void releaseHere(SlotRelease done) {
            said.add("here " + done);
        }

        @Override
        public void cancelHere(SlotRequestCancel forget) {
            said.add("here " + forget);
        }

        @Override
        public boolean send(String edge, Object frame) {
            said.add(edge + " "
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

    private static final class Nothing implements SlotClient.InstanceTracking {
        @Override
        public void onInstanceAddress(String address) {}

        @Override
        public void onHeldHere(HeldSlots held) {}
    }

    static HomeAssignment homes(long number, String... names) {
        List<Peer> peers = new ArrayList<>();
        for (String name : names) {
            peers.add(new Peer(name, "z", name + ":1", 1, Peer.ACTIVE));
        }
        return new HomeAssignment(new Roster(1, number, peers));
    }

    private static SlotRequest ask(long id) {
        return new SlotRequest(
                id, EDGE, "z", SERVICE, SlotOwner.withoutTenant(1), 60_000, 60_000, false, false, false, List.of());
    }

    private static SlotGrant grant(long id, String host) {
        return new SlotGrant(id, host, "10.0.1.1:80", false);
    }

    private void asks(long id) {
        slotClient.requestSlot(ask(id), new SlotRequester() {
            @Override
            public void onGranted(SlotGrant grant) {
                taken.add(id + " at " + grant.instanceId());
            }

            @Override
            public void onRefused(int comeBackMs) {
                taken.add(id + " refused");
            }
        });
    }

    private List<String> said() {
        List<String> now = List.copyOf(said);
        said.clear();
        return now;
    }

    @Test
    void aGrantThatComesTwiceIsOnePlace() {
        slotClient.onRoster(homes(1, HOME));
        asks(7);
        slotClient.onGranted(HOME, grant(7, "a"));
        said();
        slotClient.onGranted(HOME, grant(7, "a"));
        assertEquals(List.of(), said());
        assertEquals(List.of("7 at a"), taken);
        assertEquals(1, slotClient.heldCount());
    }

    /**
     * The home lost its memory of the first and has granted another: that is free again, and the home knows which is in
     * use.
     */
    @Test
    void aSecondGrantAtAnotherHostIsGivenBack() {
        slotClient.onRoster(homes(1, HOME));
        asks(7);
        slotClient.onGranted(HOME, grant(7, "a"));
        said();
        slotClient.onGranted(HOME, grant(7, "b"));
        assertEquals(List.of("h1 done 7 b UNUSED", "h1 held [a]"), said());
        assertEquals(List.of("7 at a"), taken);
    }

    @Test
    void aGrantForWhatIsOverIsGivenBack() {
        slotClient.onRoster(homes(1, HOME));
        asks(7);
        slotClient.cancelRequest(7);
        said();
        slotClient.onGranted(HOME, grant(7, "a"));
        assertEquals(List.of("h1 done 7 a UNUSED"), said());
        assertEquals(List.of(), taken);
    }

    /** Fencing: the home that was asked before has gone from the roster, but its grant is still on its way. */
    @Test
    void onlyTheHomeThatIsAskedNowGrants() {
        slotClient.onRoster(homes(1, HOME));
        asks(7);
        slotClient.onRoster(homes(2, "h2"));
        assertEquals(List.of("h1 ask 7", "h2 ask 7"), said());
        slotClient.onGranted(HOME, grant(7, "a"));
        assertEquals(List.of("h1 done 7 a UNUSED"), said());
        slotClient.onGranted("h2", grant(7, "b"));
        assertEquals(List.of("7 at b"), taken);
        slotClient.releaseSlot(grant(7, "b"), AttemptOutcome.SERVED, 5);
        assertEquals(List.of("h2 done 7 b SERVED"), said());
    }

    /** Between the grant and the request's end the home goes: the next one is told of the place, and gets it back. */
    @Test
    void aHomeLostBetweenGrantAndSend() {
        slotClient.onRoster(homes(1, HOME));
        asks(7);
        slotClient.onGranted(HOME, grant(7, "a"));
        said();
        slotClient.onRoster(homes(2, "h2"));
        assertEquals(List.of("h2 held [a]"), said());
        slotClient.releaseSlot(grant(7, "a"), AttemptOutcome.SERVED, 5);
        assertEquals(List.of("h2 done 7 a SERVED"), said());
        assertEquals(0, slotClient.heldCount());
    }

    /** On a new link the same ask is said again, and not forgotten first: its grant may be on its way. */
    @Test
    void anAskIsSaidAgainAsItWas() {
        slotClient.onRoster(homes(1, HOME));
        asks(7);
        said();
        slotClient.onHomeReconnected(HOME);
        assertEquals(List.of("h1 ask 7"), said());
    }

    // ---- At random ------------------------------------------------------------------------------
    private static final int HOSTS = 3;
    private static final int MOST = 2;

    /** One scenario: this edge's steward and a home's queues, over links that break while words are on their way. */
    private static final class Walk implements SlotClient.Transport, SlotClient.InstanceTracking, AdmissionActions {
        private record Event(long at, long order, Runnable what) {}

        private final PriorityQueue<Event> events =
                new PriorityQueue<>((a, b) -> a.at != b.at ? Long.compare(a.at, b.at) : Long.compare(a.order, b.order));
        private final SplittableRandom random;
        private final SlotClient slotClient = new SlotClient(this, this, () -> this.now);
        private final ServiceQueues queues =
                new ServiceQueues("z", "n", AdmissionParameters.of(0.2, 100, 10_000, 1), this);
        private final Map<String, Integer> inUse = new HashMap<>();
        private final Set<Long> granted = new HashSet<>();
        private final Set<Long> over = new HashSet<>();
        private long now = 1_000;
        private long order;
        private long ids;
        private long lastToHome;
        private long lastToEdge;
        private int twice;

        Walk(long seed) {
            random = new SplittableRandom(seed);
            slotClient.onRoster(homes(1, HOME));
            queues.onServiceSpec(new ServiceSpec(SERVICE, 512, 700, MOST, 60_000), now);
            queues.takeOver(SERVICE, "z", List.of(), now);
        }

        private void at(long when, Runnable what) {
            events.add(new Event(when, order++, what));
        }

        @Override
        public String self() {
            return EDGE;
        }

        @Override
        public void requestHere(SlotRequest ask, boolean stay) {
            throw new AssertionError("not home");
        }

        @Override
        public void releaseHere(SlotRelease done) {
            throw new AssertionError("not home");
        }

        @Override
        public void cancelHere(SlotRequestCancel forget) {
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
                at(when + random.nextInt(80), () -> hears(frame));
            } else {
                lastToHome = when;
                at(when, () -> hears(frame));
            }
            return true;
        }

        private void hears(Object frame) {
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
        public void onHeldHere(HeldSlots held) {}

        /** Lost while it is waited for, late, or twice. */
        @Override
        public void grant(String edge, SlotGrant grant) {
            boolean waitedFor = !granted.contains(grant.requestId()) && !over.contains(grant.requestId());
            if (waitedFor && random.nextInt(10) == 0) {
                at(now + 30 + random.nextInt(60), () -> slotClient.onHomeReconnected(HOME));
                return;
            }
            lastToEdge = Math.max(lastToEdge, now + 1 + random.nextInt(4));
            at(lastToEdge, () -> slotClient.onGranted(HOME, grant));
            if (random.nextInt(10) == 0) {
                twice++;
                at(lastToEdge + random.nextInt(60), () -> slotClient.onGranted(HOME, grant));
            }
        }

        @Override
        public void refuse(String edge, SlotRefusal refuse) {
            at(now + 1, () -> slotClient.onRefused(HOME, refuse));
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
            at(now + 3, () -> queues.onInstanceList(new InstanceList(SERVICE, "z", hosts), now));
        }

        @Override
        public void probe(String service, String hostId, String address) {
            at(now + 1, () -> queues.onProbed(hostId, true, now));
        }

        void asks(int holdMs) {
            long id = ++ids;
            slotClient.requestSlot(ask(id), new SlotRequester() {
                @Override
                public void onGranted(SlotGrant grant) {
                    assertTrue(
                            granted.add(id) && !over.contains(id), "one word to an ask, and none to one that is over");
                    int used = inUse.merge(grant.instanceId(), 1, Integer::sum);
                    assertTrue(used <= MOST, "host " + grant.instanceId() + " has " + used);
                    at(now + holdMs, () -> {
                        over.add(id);
                        inUse.merge(grant.instanceId(), -1, Integer::sum);
                        slotClient.releaseSlot(grant, AttemptOutcome.SERVED, holdMs);
                    });
                }

                @Override
                public void onRefused(int comeBackMs) {
                    assertTrue(!granted.contains(id) && over.add(id), "one word to an ask");
                }
            });
            if (random.nextInt(12) == 0) {
                at(now + random.nextInt(20), () -> {
                    if (!granted.contains(id) && over.add(id)) {
                        slotClient.cancelRequest(id);
                    }
                });
            }
        }

        void until(long when) {
            for (; now < when; now++) {
                while (!events.isEmpty() && events.peek().at <= now) {
                    events.poll().what.run();
                }
                queues.tick(now);
            }
        }

        void play() {
            until(now + 20);
            for (int i = 0; i < 60; i++) {
                if (random.nextInt(3) == 0) {
                    asks(1 + random.nextInt(60));
                }
                if (random.nextInt(15) == 0) {
                    slotClient.onHomeReconnected(HOME);
                }
                until(now + random.nextInt(20));
            }
            for (int i = 0; i < 20 && slotClient.pendingCount() > 0; i++) {
                until(now + 200);
                slotClient.onHomeReconnected(HOME);
            }
            assertEquals(0, slotClient.pendingCount(), "asks that wait");
            until(now + 400);
            assertEquals(0, slotClient.heldCount(), "places held");
            int before = granted.size();
            for (int i = 0; i < HOSTS * MOST; i++) {
                asks(1_000);
            }
            for (int i = 0; i < 6; i++) {
                until(now + 100);
                slotClient.onHomeReconnected(HOME);
            }
            int late = (int) over.stream()
                    .filter(id -> id > ids - HOSTS * MOST && !granted.contains(id))
                    .count();
            assertEquals(
                    HOSTS * MOST, granted.size() - before + late, "places that are not free though nobody holds them");
        }
    }

    @Test
    void noPlaceIsUsedTwiceOrLost() {
        int twice = 0;
        for (long seed = 1; seed <= 400; seed++) {
            Walk walk = new Walk(seed);
            try {
                walk.play();
            } catch (AssertionError | RuntimeException e) {
                throw new AssertionError("seed " + seed + ": " + e.getMessage(), e);
            }
            twice += walk.twice;
        }
        assertTrue(twice > 400, "grants that came twice: " + twice);
    }
}
