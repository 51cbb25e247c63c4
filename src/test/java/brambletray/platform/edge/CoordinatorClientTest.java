package brambletray.platform.edge;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brambletray.common.runtime.Machine;
import brambletray.common.simulation.SimNetwork;
import brambletray.common.simulation.Simulation;
import brambletray.platform.distribution.CoordinatorHeartbeat;
import brambletray.platform.distribution.DeltaChunk;
import brambletray.platform.distribution.FrameTypes;
import brambletray.platform.distribution.LinkIntroduction;
import brambletray.platform.distribution.RosterRequest;
import brambletray.platform.failuredetection.EdgeHello;
import brambletray.platform.failuredetection.EdgeWelcome;
import brambletray.platform.failuredetection.Peer;
import brambletray.platform.failuredetection.Roster;
import brambletray.platform.provisioning.InstanceGone;
import brambletray.platform.settings.Address;
import brambletray.platform.transport.FrameCodec;
import brambletray.platform.transport.Link;
import brambletray.platform.transport.LinkHandler;
import brambletray.platform.transport.LinkListener;
import java.net.InetAddress;
import java.net.UnknownHostException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/**
 * How an edge finds the coordinator and keeps to it, against members of the control plane that say what the test has
 * them say, on a simulated network.
 */
class CoordinatorClientTest {
    private static final int PORT = 7_400;

    private final Simulation simulation = new Simulation(3, 0);
    private final Machine machine = simulation.machine(ip("10.0.1.1"));
    private final Map<String, Member> members = new TreeMap<>();
    private final RecordingListener listener = new RecordingListener();
    private CoordinatorClient coordinatorClient;
    private boolean isPaused;

    CoordinatorClientTest() {
        simulation.network().usual(new SimNetwork.Way(TimeUnit.MILLISECONDS.toNanos(2), 0));
    }

    private static InetAddress ip(String text) {
        try {
            return InetAddress.getByName(text);
        } catch (UnknownHostException e) {
            throw new IllegalArgumentException(e);
        }
    }

    private void run(long millis) {
        simulation.runUntil(simulation.now() + TimeUnit.MILLISECONDS.toNanos(millis));
    }

    /** Runs until the edge is attached under this term, at most so long; ms that it took. */
    private long untilAttached(long term, long most) {
        long from = simulation.now();
        assertTrue(
                simulation.runUntil(
                        from + TimeUnit.MILLISECONDS.toNanos(most),
                        () -> coordinatorClient.isAttached() && coordinatorClient.term() == term),
                "not attached under term " + term + " after " + most + " ms: " + listener);
        return TimeUnit.NANOSECONDS.toMillis(simulation.now() - from);
    }

    /** Members a, b, c... at 10.0.0.1, 10.0.0.2, 10.0.0.3... */
    private Member member(String name) {
        return members.computeIfAbsent(name, Member::new);
    }

    private static String addressOf(String name) {
        return "10.0.0." + (name.charAt(0) - 'a' + 1) + ":" + PORT;
    }

    /** The edge starts with these seeds; the first is asked first. */
    private void start(String... seeds) {
        List<Address> addresses = new ArrayList<>();
        for (String seed : seeds) {
            addresses.add(Address.parse(addressOf(seed)));
        }
        coordinatorClient = new CoordinatorClient(
                machine,
                new FrameCodec(FrameTypes.ALL),
                new LinkIntroduction("edge-1", "10.0.1.1:" + PORT, false),
                addresses,
                0,
                listener);
        machine.loop()
                .scheduleWithFixedDelay(
                        () -> {
                            if (!isPaused) {
                                coordinatorClient.tick(machine.clock().nanos() / 1_000_000);
                            }
                        },
                        50,
                        50,
                        TimeUnit.MILLISECONDS);
    }

    /** A member of the control plane that welcomes edges as it is told, and pulses while it is the coordinator. */
    private final class Member implements LinkHandler {
        private final String name;
        private final List<Link> links = new ArrayList<>();
        private final List<EdgeHello> hellos = new ArrayList<>();
        private final List<RosterRequest> rosterRequests = new ArrayList<>();
        private long roster;
        private EdgeWelcome welcome = new EdgeWelcome("", 0, true, 0, List.of(), 0, 0);
        private long term;

        Member(String name) {
            this.name = name;
            Machine here = simulation.machine(ip(Address.parse(addressOf(name)).host()));
            new LinkListener(here, new FrameCodec(FrameTypes.ALL), Address.parse(addressOf(name)), this);
            here.loop()
                    .scheduleWithFixedDelay(
                            () -> {
                                if (term > 0) {
                                    sendToAll(new CoordinatorHeartbeat(term, 0, roster));
                                }
                            },
                            250,
                            250,
                            TimeUnit.MILLISECONDS);
        }

        /** Names this one as the coordinator from now on, and says so to who waits here. */
        Member announceCoordinator(String coordinator, long under) {
            return updateWelcome(new EdgeWelcome(
                    coordinator.isEmpty() ? "" : addressOf(coordinator),
                    under,
                    true,
                    welcome.viewNumber(),
                    welcome.members(),
                    0,
                    0));
        }

        /** Is out of touch with the others from now on, names nobody and holds nothing. */
        Member isolate() {
            term = 0;
            return updateWelcome(new EdgeWelcome("", 0, false, welcome.viewNumber(), welcome.members(), 0, 0));
        }

        /** Tells a view of these members. */
        Member setView(long number, String... members) {
            List<String> all = new ArrayList<>();
            for (String member : members) {
                all.add(addressOf(member));
            }
            return updateWelcome(new EdgeWelcome(
                    welcome.coordinatorAddress(), welcome.term(), welcome.inActiveView(), number, all, 0, 0));
        }

        private Member updateWelcome(EdgeWelcome next) {
            welcome = next;
            if (!hellos.isEmpty()) {
                sendToAll(welcome);
            }
            return this;
        }

        /** Holds the coordinator from now on. */
        Member becomeCoordinator(long under) {
            term = under;
            return announceCoordinator(name, under);
        }

        void sendToAll(Object frame) {
            links.forEach(link -> link.send(frame));
        }

        void vanish() {
            simulation.network().vanish(ip(Address.parse(addressOf(name)).host()));
        }

        @Override
        public void onLinkUp(Link link) {
            links.add(link);
        }

        @Override
        public void onFrame(Link link, Object frame) {
            if (frame instanceof EdgeHello hello) {
                hellos.add(hello);
                link.send(welcome);
                if (term > 0) {
                    link.send(new CoordinatorHeartbeat(term, 0, 0));
                }
            } else if (frame instanceof RosterRequest fetch) {
                rosterRequests.add(fetch);
            }
        }

        @Override
        public void onLinkDown(Link link, String why) {
            links.remove(link);
        }
    }

    /** What the edge takes. */
    private final class RecordingListener implements CoordinatorClient.Listener {
        private final List<Object> received = new ArrayList<>();
        private long newest;
        private Roster roster = Roster.NONE;
        private final Map<Long, Long> attachedAt = new LinkedHashMap<>();

        @Override
        public Object helloFrame() {
            return new EdgeHello(
                    new Peer("edge-1", "za", "10.0.1.1:" + PORT, 1, Peer.ACTIVE), 0, 0, 0, coordinatorClient.term());
        }

        @Override
        public Roster currentRoster() {
            return roster;
        }

        @Override
        public void onRoster(Roster next) {
            roster = next;
            received.add(next);
        }

        @Override
        public void onTimeoutChanged() {}

        @Override
        public void onNewestRevision(long revision) {
            newest = revision;
        }

        @Override
        public void onChunk(DeltaChunk chunk) {
            received.add(chunk.revision());
        }

        @Override
        public void onFrame(Object frame) {
            received.add(frame);
        }

        @Override
        public void onAttached(long term) {
            attachedAt.put(term, TimeUnit.NANOSECONDS.toMillis(simulation.now()));
        }

        @Override
        public String toString() {
            return "attached " + attachedAt + ", took " + received;
        }
    }

    private static DeltaChunk chunk(long term, long revision) {
        return new DeltaChunk(term, revision, 1, 1, 0, new byte[1]);
    }

    @Test
    void chunksOfTheCurrentTermCountAsHeartbeats() {
        member("a").becomeCoordinator(9);
        start("a");
        untilAttached(9, 300);
        member("a").term = 0;
        for (int i = 0; i < 8; i++) {
            run(400);
            member("a").sendToAll(chunk(9, i));
        }
        assertTrue(coordinatorClient.isAttached(), "the link brings what it can: " + listener);
        for (int i = 0; i < 4; i++) {
            run(400);
            member("a").sendToAll(chunk(8, i));
        }
        assertFalse(coordinatorClient.isAttached());
    }

    @Test
    void rosterIsRequestedOnceUntilTheRetryInterval() {
        member("a").becomeCoordinator(9);
        start("a");
        untilAttached(9, 300);
        member("a").roster = 4;
        run(900);
        assertEquals(List.of(new RosterRequest(0, 0)), member("a").rosterRequests);
        run(700);
        assertEquals(2, member("a").rosterRequests.size(), "it may have been lost");
        member("a").sendToAll(new Roster(9, 4, List.of()));
        member("a").roster = 5;
        run(300);
        assertEquals(new RosterRequest(9, 4), member("a").rosterRequests.get(2));
        member("a").sendToAll(new Roster(9, 5, List.of()));
        run(2_000);
        assertEquals(3, member("a").rosterRequests.size());
    }

    @Test
    void pausedEdgeReadsPendingMessagesBeforeItDetaches() {
        member("a").becomeCoordinator(9);
        start("a");
        untilAttached(9, 300);
        member("a").term = 0;
        isPaused = true;
        run(1_500);
        isPaused = false;
        run(400);
        assertTrue(coordinatorClient.isAttached(), "its own pause says nothing of the helm");
        run(300);
        assertFalse(coordinatorClient.isAttached(), "and it doesn't wait for ever: " + listener);
    }

    @Test
    void messagesBeforeAHeartbeatOrOfAnotherTermAreRejected() {
        member("a");
        start("a");
        run(100);
        member("a").sendToAll(chunk(9, 3));
        member("a").sendToAll(new Roster(9, 1, List.of()));
        member("a").sendToAll(new InstanceGone("i-1", "tea"));
        run(20);
        assertEquals(List.of(), listener.received, "it has not pulsed");
        member("a").becomeCoordinator(9);
        untilAttached(9, 300);
        member("a").sendToAll(chunk(8, 4));
        member("a").sendToAll(new Roster(8, 7, List.of()));
        member("a").sendToAll(chunk(9, 5));
        member("a").sendToAll(new InstanceGone("i-2", "tea"));
        run(20);
        assertEquals(List.of(5L, new InstanceGone("i-2", "tea")), listener.received);
    }

    @Test
    void formerCoordinatorOfALowerTermIsNotAccepted() {
        member("b").becomeCoordinator(9).setView(2, "a", "b", "c");
        member("a").announceCoordinator("b", 9);
        member("c").announceCoordinator("b", 9);
        start("a", "c", "b");
        untilAttached(9, 300);
        // b is gone; a was the coordinator before, wakes, and knows of nothing.
        member("b").vanish();
        member("a").becomeCoordinator(8);
        member("c").announceCoordinator("", 0);
        run(1_600);
        assertFalse(coordinatorClient.isAttached());
        EdgeHello last = member("a").hellos.get(member("a").hellos.size() - 1);
        assertEquals(9, last.term(), "the helm that is asked hears that it has been succeeded");
        member("a").sendToAll(chunk(8, 3));
        member("a").sendToAll(new Roster(8, 40, List.of()));
        member("a").sendToAll(new InstanceGone("i-1", "tea"));
        run(1_000);
        assertFalse(coordinatorClient.isAttached());
        assertEquals(List.of(), listener.received);
        member("c").becomeCoordinator(10);
        untilAttached(10, 1_500);
    }

    @Test
    void redirectToACoordinatorOfALowerTermIsNotFollowed() {
        member("b").becomeCoordinator(9);
        member("a").announceCoordinator("b", 9);
        start("a");
        untilAttached(9, 300);
        member("c").becomeCoordinator(8);
        member("b").announceCoordinator("c", 8);
        run(500);
        assertEquals(0, member("c").hellos.size());
    }

    @Test
    void edgesDetachAtOnceWhenTheLeaseExpires() {
        member("a").becomeCoordinator(9).setView(2, "a", "b");
        member("b").announceCoordinator("a", 9);
        start("a");
        untilAttached(9, 300);
        member("a").isolate();
        run(10);
        assertFalse(coordinatorClient.isAttached());
        assertFalse(coordinatorClient.send(new InstanceGone("i-1", "tea")), "nothing more is asked of it");
        member("b").announceCoordinator("", 0);
        run(300);
        assertEquals(1, member("b").hellos.size());
        member("b").becomeCoordinator(10);
        assertTrue(untilAttached(10, 300) <= 260, "a waiting edge is told");
    }

    @Test
    void waitingEdgeFollowsARedirectWithinMilliseconds() {
        member("a");
        member("b").becomeCoordinator(9);
        start("a");
        run(700);
        assertEquals(1, member("a").hellos.size(), "it waits at a member that is in touch");
        member("a").announceCoordinator("b", 9);
        assertTrue(untilAttached(9, 100) < 20);
    }

    @Test
    void outdatedRedirectToAFormerCoordinatorIsNotFollowed() {
        member("a").becomeCoordinator(9).setView(2, "a", "b", "c");
        member("b").announceCoordinator("a", 9);
        member("c").announceCoordinator("a", 9);
        start("a");
        untilAttached(9, 300);
        int before = member("a").hellos.size();
        member("a").isolate();
        run(500);
        assertEquals(before, member("a").hellos.size(), "b and c still name it");
        member("b").announceCoordinator("c", 10);
        member("c").becomeCoordinator(10);
        untilAttached(10, 900);
    }

    @Test
    void membersMissingFromTheSettingsAreLearnedFromTheView() {
        member("a").becomeCoordinator(9).setView(4, "a", "d", "e");
        member("d").announceCoordinator("", 0);
        member("e").announceCoordinator("", 0);
        start("a", "b", "c");
        untilAttached(9, 300);
        member("a").vanish();
        run(1_100);
        member("e").becomeCoordinator(10);
        member("d").announceCoordinator("e", 10);
        untilAttached(10, 1_000);
    }

    /**
     * The worst way from an isolated coordinator to the real one: five members, of which two are away, one silent and
     * one cut off with the edge's own helm still pulsing until its lease is over; seeds that are all stale by then.
     */
    @Test
    void worstCaseReattachmentTakesLessThanThreeSeconds() {
        long worst = 0;
        for (String first : List.of("b,c,d,e", "b,c,e,d", "b,d,c,e", "c,b,d,e", "d,e,b,c", "e,d,c,b")) {
            CoordinatorClientTest one = new CoordinatorClientTest();
            worst = Math.max(worst, one.worstCaseReattachMs(first.split(",")));
        }
        System.out.println("tether: worst way from an isolated helm to the real one " + worst + " ms");
        assertTrue(worst < 3_000, worst + " ms");
    }

    /** ms from the cut to the new coordinator's first word. */
    private long worstCaseReattachMs(String... order) {
        String[] view = {"a", order[0], order[1], order[2], order[3]};
        member("a").becomeCoordinator(9).setView(5, view);
        for (String other : List.of("c", "d", "e")) {
            member(other).announceCoordinator("a", 9).setView(5, view);
        }
        // Stale seeds: x, y and z are gone for long; b is away.
        start("a", "x", "y", "z");
        untilAttached(9, 300);
        long cut = simulation.now();
        member("c").announceCoordinator("a", 9);
        // a's lease: the last agreement was sent right before the cut, so it acts for 800 ms more; out of touch it is
        // after 350.
        run(800);
        member("a").isolate();
        // The others hold the lease of a to run for 1,200 ms; the next is chosen 250 ms later.
        run(400);
        member("c").announceCoordinator("", 0);
        member("d").announceCoordinator("", 0);
        member("e").announceCoordinator("", 0);
        run(250);
        member("e").becomeCoordinator(10);
        member("c").announceCoordinator("e", 10);
        member("d").announceCoordinator("e", 10);
        untilAttached(10, 10_000);
        return TimeUnit.NANOSECONDS.toMillis(simulation.now() - cut);
    }
}
