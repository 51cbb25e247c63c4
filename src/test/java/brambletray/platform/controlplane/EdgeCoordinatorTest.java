package brambletray.platform.controlplane;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brambletray.common.runtime.Machine;
import brambletray.common.simulation.Simulation;
import brambletray.platform.configuration.ChangeHistory;
import brambletray.platform.configuration.Configuration;
import brambletray.platform.configuration.ConfigurationException;
import brambletray.platform.distribution.ConfigurationPublisher;
import brambletray.platform.distribution.ConfigurationSubscriber;
import brambletray.platform.distribution.CoordinatorHeartbeat;
import brambletray.platform.distribution.DeltaChunk;
import brambletray.platform.distribution.DeltaRequest;
import brambletray.platform.distribution.FrameTypes;
import brambletray.platform.distribution.LinkIntroduction;
import brambletray.platform.distribution.RosterRequest;
import brambletray.platform.failuredetection.EdgeHello;
import brambletray.platform.failuredetection.EdgeWelcome;
import brambletray.platform.failuredetection.Peer;
import brambletray.platform.failuredetection.Roster;
import brambletray.platform.operations.ClaimRelease;
import brambletray.platform.operations.ClaimRequest;
import brambletray.platform.platformstub.PlatformParameters;
import brambletray.platform.platformstub.PlatformStub;
import brambletray.platform.platformstub.PlatformStubServer;
import brambletray.platform.platformstub.ServiceKind;
import brambletray.platform.provisioning.InstanceStarted;
import brambletray.platform.provisioning.StartRefusal;
import brambletray.platform.provisioning.StartRequest;
import brambletray.platform.settings.Address;
import brambletray.platform.settings.NodeSettings;
import brambletray.platform.transport.FrameCodec;
import brambletray.platform.transport.Link;
import brambletray.platform.transport.LinkDialer;
import brambletray.platform.transport.LinkHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * What the coordinator says to edges, and when it holds its tongue: hub, greeter and links of one member, on a
 * simulated network.
 */
class EdgeCoordinatorTest {
    private static final int PORT = 7_400;
    private static final long TERM = 70;
    private static final String ADDRESS = "10.0.0.1:" + PORT;

    @TempDir
    private Path folder;

    private final Simulation simulation = new Simulation(5, 0);
    private final Machine core = simulation.machine(ip("10.0.0.1"));
    private final Machine front = simulation.machine(ip("10.0.0.2"));
    private final Machine cloud = simulation.machine(ip("10.0.0.9"));
    private final PlatformStub stand =
            new PlatformStub(new PlatformParameters(800, 10, 50, 2, 3_000, 2_000, 2_500), 3, ms());
    private final EdgeGreeter greeter = new EdgeGreeter(this::welcome);
    private final List<Object> heard = new ArrayList<>();
    private final ChangeHistory history = new ChangeHistory();
    private Configuration configuration = configuration(9);
    private boolean acts = true;
    private boolean applied = true;
    private boolean inTouch = true;
    private String coordinator = ADDRESS;
    private int fenced;
    private long has;
    private long listed;
    private EdgeCoordinator hub;
    private LinkDialer edge;

    private static InetAddress ip(String text) {
        try {
            return InetAddress.getByName(text);
        } catch (UnknownHostException e) {
            throw new IllegalArgumentException(e);
        }
    }

    private static Configuration configuration(long revision) {
        return Configuration.read(
                ("{\"revision\":" + revision + ",\"routes\":[],\"services\":[{\"name\":\"tea\",\"health-path\":null,"
                                + "\"max-connections\":72,\"memory-mb\":512,\"boot-ms\":750,\"max-concurrency\":4}]}")
                        .getBytes(StandardCharsets.US_ASCII));
    }

    private long ms() {
        return core.clock().nanos() / 1_000_000;
    }

    private void run(long millis) {
        simulation.runUntil(simulation.now() + TimeUnit.MILLISECONDS.toNanos(millis));
    }

    private EdgeWelcome welcome() {
        return new EdgeWelcome(acts ? coordinator : "", acts ? TERM : 0, inTouch, 7, List.of(ADDRESS), 0, 0);
    }

    @BeforeEach
    void begin() throws IOException {
        Path file = Files.writeString(
                folder.resolve("node.conf"),
                "node-name=core-1\nip-address=10.0.0.1\nzone=za\nzones.za=south\n"
                        + "cloud-api.address=10.0.0.9:8240\ncloud-api.rate-per-s=26.0\ncloud-api.duty-rate-s=105.0\ncloud-api.lag-ms=800\n");
        stand.worker("w-1", "za", 4_000, ms());
        stand.service("tea", new ServiceKind(512, 750, 0));
        new PlatformStubServer(cloud, stand).open(new InetSocketAddress("10.0.0.9", 8_240));
        history.advanceTo(configuration);
        hub = new EdgeCoordinator(
                core,
                NodeSettings.read(file),
                TERM,
                () -> configuration,
                new ConfigurationPublisher(history),
                new Authority(),
                new NoClaims(),
                ms());
        Ear ear = new Ear();
        new PeerLinks(
                core,
                new FrameCodec(FrameTypes.ALL),
                new Address("10.0.0.1", PORT),
                new LinkIntroduction("core-1", "10.0.0.1:90", true),
                ear,
                ear);
        core.loop()
                .scheduleWithFixedDelay(
                        () -> {
                            hub.tick(ms());
                            greeter.tick(ms());
                        },
                        50,
                        50,
                        TimeUnit.MILLISECONDS);
    }

    private static final class NoClaims implements ClaimHandler {
        @Override
        public void onClaim(String edge, ClaimRequest request) {
            throw new AssertionError("nobody claims here");
        }

        @Override
        public void onRelease(String edge, ClaimRelease request) {
            throw new AssertionError("nobody claims here");
        }
    }

    private final class Authority implements EdgeCoordinator.Authority {
        @Override
        public boolean mayAct() {
            return acts;
        }

        @Override
        public boolean isSettled() {
            return applied;
        }

        @Override
        public EdgeWelcome welcome() {
            return EdgeCoordinatorTest.this.welcome();
        }

        @Override
        public void onFenced(long term) {
            assertEquals(TERM, term);
            fenced++;
        }
    }

    private final class Ear implements PeerLinks.MemberReceiver, PeerLinks.EdgeReceiver {
        @Override
        public void onMemberMessage(String address, Object frame) {}

        @Override
        public void onMemberDisconnected(String address) {}

        @Override
        public void onEdgeConnected(String name, Link link) {
            greeter.onConnected(name, link);
        }

        @Override
        public void onEdgeMessage(String name, Link link, Object frame) {
            if (frame instanceof EdgeHello hello) {
                greeter.onHello(link, hello);
            }
            hub.receive(name, link, frame, ms());
        }

        @Override
        public void onEdgeDisconnected(String name, Link link) {
            greeter.onDisconnected(link);
            hub.onDisconnected(name, link, ms());
        }
    }

    /** As an edge does: it asks for what a pulse speaks of and it lacks. */
    private void fetch(Link link, CoordinatorHeartbeat pulse) {
        if (pulse.revision() > has) {
            link.send(new DeltaRequest(has, 0, 0, false));
        }
        if (pulse.rosterNumber() > listed) {
            link.send(new RosterRequest(TERM, listed));
        }
    }

    /** An edge dials and says its Hello. */
    private void come() {
        edge = new LinkDialer(
                front,
                new FrameCodec(FrameTypes.ALL),
                new Address("10.0.0.1", PORT),
                new LinkHandler() {
                    @Override
                    public void onLinkUp(Link link) {
                        link.send(new LinkIntroduction("edge-1", "10.0.0.2:" + PORT, false));
                        link.send(new EdgeHello(
                                new Peer("edge-1", "za", "10.0.0.2:" + PORT, 1, Peer.ACTIVE), 0, 0, 0, 0));
                    }

                    @Override
                    public void onFrame(Link link, Object frame) {
                        heard.add(frame);
                        if (frame instanceof CoordinatorHeartbeat pulse) {
                            fetch(link, pulse);
                        } else if (frame instanceof DeltaChunk chunk) {
                            has = chunk.revision();
                            link.send(new DeltaRequest(has, 0, 0, false));
                        } else if (frame instanceof Roster roster) {
                            listed = roster.number();
                        }
                    }

                    @Override
                    public void onLinkDown(Link link, String why) {
                        heard.add("down");
                    }
                },
                1);
    }

    private void become(Configuration next) {
        configuration = next;
        history.advanceTo(next);
        hub.onConfigurationChanged(ms());
    }

    private <T> List<T> all(Class<T> kind) {
        return heard.stream().filter(kind::isInstance).map(kind::cast).toList();
    }

    /** Nothing that was heard bears authority. */
    private void assertNothingWithAuthority() {
        List<Object> bearing =
                heard.stream().filter(frame -> !(frame instanceof EdgeWelcome)).toList();
        assertEquals(List.of(), bearing);
    }

    @Test
    void anEdgeIsToldAllUnderTheTermAndThePulseComesFirst() {
        come();
        run(1_000);
        List<Object> first = heard.subList(0, 3);
        assertEquals(
                List.of(EdgeWelcome.class, CoordinatorHeartbeat.class, DeltaChunk.class),
                first.stream().map(Object::getClass).toList());
        assertEquals(ADDRESS, all(EdgeWelcome.class).get(0).coordinatorAddress());
        assertEquals(new CoordinatorHeartbeat(TERM, 9, 0), heard.get(1));
        assertEquals(TERM, all(DeltaChunk.class).get(0).term());
        assertEquals(TERM, all(Roster.class).get(0).term());
        assertEquals(9, hub.servedRevision("edge-1"));
    }

    @Test
    void aCoordinatorThatMayNotActSaysThatItIsNoneAndNothingElse() {
        acts = false;
        inTouch = false;
        come();
        run(2_000);
        become(configuration(12));
        run(1_000);
        assertNothingWithAuthority();
        assertEquals("", all(EdgeWelcome.class).get(0).coordinatorAddress());
        assertFalse(all(EdgeWelcome.class).get(0).inActiveView());
        acts = true;
        run(400);
        Object pulse = heard.stream()
                .filter(frame -> !(frame instanceof EdgeWelcome))
                .findFirst()
                .orElseThrow();
        assertEquals(
                new CoordinatorHeartbeat(TERM, 12, 1),
                pulse,
                "the lease is back: the link is opened by a pulse, and the newest follows");
        assertEquals(
                List.of(12L),
                all(DeltaChunk.class).stream().map(DeltaChunk::revision).toList());
    }

    @Test
    void edgesAreLetGoWhenTheLeaseRunsOutAndTakenUpAgainByAPulse() {
        come();
        run(1_000);
        heard.clear();
        acts = false;
        configuration = configuration(11);
        hub.onConfigurationChanged(ms());
        run(5);
        assertNothingWithAuthority();
        run(195);
        assertEquals("", all(EdgeWelcome.class).get(0).coordinatorAddress());
        become(configuration(12));
        edge.send(new StartRequest("coffee", "za", "n-1", 1));
        run(3_000);
        assertNothingWithAuthority();
        heard.clear();
        acts = true;
        run(300);
        assertEquals(
                CoordinatorHeartbeat.class,
                heard.stream()
                        .filter(frame -> !(frame instanceof EdgeWelcome))
                        .findFirst()
                        .orElseThrow()
                        .getClass());
        assertEquals(12, all(DeltaChunk.class).get(0).revision());
    }

    /** The edge doesn't know yet that the lease has run out, and is not let go yet. */
    @Test
    void whoFetchesRightAfterTheLeaseRanOutIsHandedNothing() {
        come();
        run(1_000);
        heard.clear();
        acts = false;
        edge.send(new DeltaRequest(0, 0, 0, true));
        edge.send(new RosterRequest(0, 0));
        run(5);
        assertEquals(List.of(), heard);
        acts = true;
        edge.send(new DeltaRequest(0, 0, 0, true));
        run(5);
        assertEquals(TERM, all(DeltaChunk.class).get(0).term());
    }

    @Test
    void nothingIsSaidToAnEdgeThatWasLetGoBeforeThePulseThatTakesItUpAgain() {
        come();
        run(1_000);
        acts = false;
        run(200);
        heard.clear();
        acts = true;
        edge.send(new StartRequest("coffee", "za", "n-1", 1));
        run(5);
        assertEquals(List.of(), heard, "the edge would not take it, and would miss it");
        run(300);
        assertEquals(
                CoordinatorHeartbeat.class,
                heard.stream()
                        .filter(frame -> !(frame instanceof EdgeWelcome))
                        .findFirst()
                        .orElseThrow()
                        .getClass());
    }

    @Test
    void whatTheProvisionerSaysWhileTheLeaseIsInDoubtIsNotSaidAndTheEdgeIsLetGoAtOnce() {
        come();
        run(1_000);
        heard.clear();
        edge.send(new StartRequest("coffee", "za", "n-1", 1));
        run(40);
        assertEquals(
                List.of("n-1"),
                all(StartRefusal.class).stream().map(StartRefusal::nonce).toList(),
                "no such service");
        heard.clear();
        acts = false;
        edge.send(new StartRequest("coffee", "za", "n-1", 1));
        run(5);
        assertEquals(0, all(StartRefusal.class).size());
        assertEquals(1, all(EdgeWelcome.class).size(), "the edge knows that it has missed something: " + heard);
        assertEquals("", all(EdgeWelcome.class).get(0).coordinatorAddress());
    }

    @Test
    void aDoubtOfOneRoundSendsNoEdgeAway() {
        come();
        run(1_000);
        heard.clear();
        acts = false;
        run(90);
        acts = true;
        run(1_000);
        assertEquals(0, all(EdgeWelcome.class).size());
        assertTrue(all(CoordinatorHeartbeat.class).size() >= 3);
    }

    @Test
    void aConfigurationIsHandedOutOnceAllThatWasKeptBeforeTheViewIsApplied() {
        applied = false;
        come();
        run(1_000);
        assertTrue(all(CoordinatorHeartbeat.class).stream().allMatch(pulse -> pulse.revision() == 0));
        assertEquals(0, all(DeltaChunk.class).size());
        become(configuration(12));
        applied = true;
        run(100);
        assertEquals(
                List.of(12L),
                all(DeltaChunk.class).stream().map(DeltaChunk::revision).toList());
    }

    @Test
    void whoAsksWhileTheCoordinatorMayNotActIsNotAnswered() {
        come();
        run(1_000);
        heard.clear();
        acts = false;
        edge.send(new DeltaRequest(0, 0, 0, false));
        edge.send(new RosterRequest(0, 0));
        run(10);
        edge.send(new DeltaRequest(0, 0, 0, true));
        run(300);
        assertNothingWithAuthority();
        acts = true;
        edge.send(new DeltaRequest(0, 0, 0, false));
        edge.send(new RosterRequest(0, 0));
        run(300);
        assertEquals(
                CoordinatorHeartbeat.class,
                heard.stream()
                        .filter(frame -> !(frame instanceof EdgeWelcome))
                        .findFirst()
                        .orElseThrow()
                        .getClass(),
                "let go, and not taken up again yet");
    }

    @Test
    void whoAsksBeforeTheConfigurationMayBeHandedOutIsNotAnswered() {
        applied = false;
        come();
        run(1_000);
        edge.send(new DeltaRequest(0, 0, 0, false));
        run(300);
        assertEquals(0, all(DeltaChunk.class).size());
    }

    @Test
    void aChangeIsToldAtOnceAndNotWithTheNextPulse() {
        come();
        run(1_000);
        for (int i = 0; i < 5; i++) {
            run(30);
            heard.clear();
            become(configuration(20 + i));
            run(5);
            assertEquals(
                    List.of(20L + i),
                    all(DeltaChunk.class).stream().map(DeltaChunk::revision).toList());
        }
    }

    @Test
    void whenTheTermEndsEdgesAreLetGoOnTheirLinksAndLearnOfTheNextCoordinatorThere() {
        come();
        run(1_000);
        heard.clear();
        acts = false;
        hub.close();
        run(100);
        assertEquals("", all(EdgeWelcome.class).get(0).coordinatorAddress());
        acts = true;
        coordinator = "10.0.0.3:" + PORT;
        run(100);
        assertEquals(
                coordinator,
                all(EdgeWelcome.class).get(all(EdgeWelcome.class).size() - 1).coordinatorAddress());
        assertNothingWithAuthority();
    }

    @Test
    void aCallThatThePlatformRefusesForItsFenceIsToldTo() {
        come();
        run(1_500);
        edge.send(new StartRequest("tea", "za", "n-1", 1));
        run(1_000);
        assertEquals(1, all(InstanceStarted.class).size());
        assertEquals(0, fenced);
        stand.stopInstance("i-none", TERM + 1, ms());
        edge.send(new StartRequest("tea", "za", "n-2", 1));
        run(1_000);
        assertEquals(1, all(InstanceStarted.class).size());
        assertTrue(fenced >= 1);
    }

    @Test
    void edgesThatWaitAtAMemberAreHeardByItsCoordinatorAsSoonAsItHasOne() {
        EdgeCoordinator later = hub;
        hub = new EdgeCoordinator(
                core,
                nodeSettings(),
                TERM - 1,
                () -> configuration,
                new ConfigurationPublisher(history),
                new Authority(),
                new NoClaims(),
                ms());
        acts = false;
        come();
        run(300);
        assertNothingWithAuthority();
        hub.close();
        hub = later;
        acts = true;
        greeter.onCoordinatorStarted(hub, ms());
        run(10);
        assertEquals(
                new CoordinatorHeartbeat(TERM, 9, 0),
                heard.stream()
                        .filter(frame -> !(frame instanceof EdgeWelcome))
                        .findFirst()
                        .orElseThrow());
    }

    /** Bytes a second: 2 Mbit/s, over which 600 kB of a configuration need 2.4 s. */
    @Test
    void pulsesPassBetweenTheChunksOnASlowLink() {
        simulation.network().rate(ip("10.0.0.2"), 250_000);
        List<Long> pulses = new ArrayList<>();
        List<Long> took = new ArrayList<>();
        ConfigurationSubscriber[] subscriber = new ConfigurationSubscriber[1];
        Link[] up = new Link[1];
        subscriber[0] = new ConfigurationSubscriber(new ConfigurationSubscriber.Actions() {
            @Override
            public void sendRequest(DeltaRequest fetch) {
                up[0].send(fetch);
            }

            @Override
            public void onConfiguration(Configuration next, int bytes, long ms) {
                took.add(next.revision());
            }

            @Override
            public void onRejected(ConfigurationException fault) {
                throw new IllegalStateException(fault);
            }
        });
        new LinkDialer(
                front,
                new FrameCodec(FrameTypes.ALL),
                new Address("10.0.0.1", PORT),
                new LinkHandler() {
                    @Override
                    public void onLinkUp(Link link) {
                        up[0] = link;
                        link.send(new LinkIntroduction("edge-1", "10.0.0.2:" + PORT, false));
                        link.send(new EdgeHello(
                                new Peer("edge-1", "za", "10.0.0.2:" + PORT, 1, Peer.ACTIVE), 0, 0, 0, 0));
                    }

                    @Override
                    public void onFrame(Link link, Object frame) {
                        if (frame instanceof CoordinatorHeartbeat pulse) {
                            pulses.add(ms());
                            subscriber[0].onNewestRevision(pulse.revision(), ms());
                        } else if (frame instanceof DeltaChunk chunk) {
                            subscriber[0].onChunk(chunk, ms());
                        }
                    }

                    @Override
                    public void onLinkDown(Link link, String why) {}
                },
                1);
        run(1_000);
        assertEquals(List.of(9L), took);
        pulses.clear();
        long from = ms();
        become(dense(10, 800_000));
        assertTrue(simulation.runUntil(simulation.now() + TimeUnit.SECONDS.toNanos(6), () -> took.contains(10L)));
        assertTrue(ms() - from > 2_000 && ms() - from < 3_500, (ms() - from) + " ms");
        for (int i = 1; i < pulses.size(); i++) {
            assertTrue(pulses.get(i) - pulses.get(i - 1) < 400, "pulses at " + pulses);
        }
        assertTrue(pulses.size() >= 8);
        run(10);
        assertEquals(10, hub.servedRevision("edge-1"));
    }

    private static Configuration dense(long revision, int bytes) {
        Random random = new Random(1);
        StringBuilder filler = new StringBuilder();
        while (filler.length() < bytes) {
            filler.append(Long.toString(random.nextLong() >>> 1, 36));
        }
        return Configuration.read(
                ("{\"revision\":" + revision + ",\"routes\":[],\"services\":[],\"note\":\"" + filler + "\"}")
                        .getBytes(StandardCharsets.US_ASCII));
    }

    private NodeSettings nodeSettings() {
        return NodeSettings.read(folder.resolve("node.conf"));
    }
}
