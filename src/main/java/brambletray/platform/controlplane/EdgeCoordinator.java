package brambletray.platform.controlplane;

import brambletray.platform.configuration.Configuration;
import brambletray.platform.configuration.Service;
import brambletray.platform.distribution.ConfigurationPublisher;
import brambletray.platform.distribution.CoordinatorHeartbeat;
import brambletray.platform.distribution.DeltaChunk;
import brambletray.platform.distribution.DeltaRequest;
import brambletray.platform.distribution.RosterRequest;
import brambletray.platform.failuredetection.EdgeHello;
import brambletray.platform.failuredetection.EdgeWelcome;
import brambletray.platform.failuredetection.HomeAssignment;
import brambletray.platform.failuredetection.MembershipRegistry;
import brambletray.platform.failuredetection.Peer;
import brambletray.platform.failuredetection.Roster;
import brambletray.platform.failuredetection.SuspicionReport;
import brambletray.platform.failuredetection.SuspicionWithdrawal;
import brambletray.platform.logging.EventLog;
import brambletray.platform.provisioning.CallResult;
import brambletray.platform.provisioning.HomeClaim;
import brambletray.platform.provisioning.InstanceSize;
import brambletray.platform.provisioning.InstanceUp;
import brambletray.platform.provisioning.KnownInstances;
import brambletray.platform.provisioning.PlatformClient;
import brambletray.platform.provisioning.PlatformTerms;
import brambletray.platform.provisioning.Provisioner;
import brambletray.platform.provisioning.ProvisioningActions;
import brambletray.platform.provisioning.StartRequest;
import brambletray.platform.provisioning.StartResponse;
import brambletray.platform.provisioning.StopRequest;
import brambletray.platform.settings.NodeSettings;
import brambletray.platform.transport.Link;
import brambletray.runtime.Machine;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;

/**
 * What the holder of the helm does in its term: tells edges of each other, of configurations and of hosts, and starts
 * and stops hosts. It begins knowing nothing, and is told by those who knew first. For the loop only.
 */
final class EdgeCoordinator {
    private static final EventLog LOG = EventLog.of("hub");
    /** ms between pulses. */
    private static final int PULSE = 250;
    /**
     * ms without the right to act after which edges are let go: a late tick of this process puts its lease in doubt for
     * one round only.
     */
    static final int DOUBT = 100;

    private static final long NEVER = Long.MIN_VALUE;

    private static final class Edge {
        private Link link;
        private Peer peer;
        /** Has been pulsed on this link, and not been let go since: what is said now is said under this term. */
        private boolean open;
        /** That it serves by, as it says itself. */
        private long revision;
    }

    private final long term;
    private final Supplier<Configuration> configuration;
    private final ConfigurationPublisher publisher;
    private final Map<String, Edge> edges = new HashMap<>();
    private final MembershipRegistry membership;
    private final Provisioner provisioner;
    private final PlatformClient platform;
    private HomeAssignment homes = new HomeAssignment(Roster.NONE);
    private long pulsedAt;
    private CoordinatorHeartbeat pulse;
    /** Since when the newest configuration is on its way to edges, ms; {@link #NEVER}: all have it. */
    private long spreadingSince = NEVER;

    private long lapsedAt = NEVER;
    private final Machine machine;
    private final Authority authority;

    /** What a hub asks before it speaks. */
    interface Authority {
        /** Whether this term may act at this moment. */
        boolean mayAct();

        /**
         * Whether all that was kept before the view in force has been applied here. Until then the configuration that
         * is known here may be older than one that was acknowledged.
         */
        boolean applied();

        /** What this member says to an edge's Hello. */
        EdgeWelcome welcome();

        /** The platform has refused a call under this term, as it has seen a higher one. */
        void fenced(long term);
    }

    EdgeCoordinator(
            Machine machine,
            NodeSettings nodeSettings,
            long term,
            Supplier<Configuration> configuration,
            ConfigurationPublisher publisher,
            Authority authority,
            long now) {
        this.machine = machine;
        this.authority = authority;
        this.term = term;
        this.configuration = configuration;
        this.publisher = publisher;
        pulse = new CoordinatorHeartbeat(term, 0, 0);
        membership = new MembershipRegistry(term, now, this::roster);
        brambletray.platform.settings.CloudApiSettings told =
                nodeSettings.need("cloud-api.address", nodeSettings.platform());
        platform = new PlatformClient(
                machine,
                new InetSocketAddress(told.address().host(), told.address().port()),
                new PlatformClient.Name(nodeSettings.node(), term),
                told.ratePerS());
        provisioner = new Provisioner(
                new PlatformTerms(nodeSettings.zones(), told.lagMs(), told.ratePerS(), told.dutyRatePerS()),
                new YardHands(),
                this::homeOf,
                now);
        configuration(now);
        LOG.tell("begins", "term", term, "revision", configuration.get().revision());
    }

    long term() {
        return term;
    }

    Roster newest() {
        return membership.newest();
    }

    Provisioner provisioner() {
        return provisioner;
    }

    /** For operators: the revision that this edge says it serves by, or -1: it has no link here. */
    long has(String name) {
        Edge edge = edges.get(name);
        return edge == null ? -1 : edge.revision;
    }

    private String homeOf(String service, String seat) {
        Peer home = homes.homeOf(service, seat);
        return home == null ? null : home.name();
    }

    /** Another configuration is in force. */
    void configuration(long now) {
        Map<String, InstanceSize> sizes = new HashMap<>();
        Configuration current = configuration.get();
        if (current == Configuration.NONE) {
            return;
        }
        for (Service service : current.services().values()) {
            sizes.put(service.name(), new InstanceSize(service.memoryMb(), service.bootMs()));
        }
        provisioner.configuration(sizes, now);
        spreadingSince = now;
        if (authority.mayAct()) {
            pulseAll(now);
        }
    }

    /** For who may act, of what may be handed out: edges fetch what they lack. */
    private void pulseAll(long now) {
        pulsedAt = now;
        pulse = new CoordinatorHeartbeat(term, revision(), membership.roster().number());
        edges.values().forEach(this::pulse);
    }

    private void roster(Roster roster, String why) {
        homes = new HomeAssignment(roster);
        Set<String> names = new HashSet<>();
        for (Peer peer : roster.peers()) {
            names.add(peer.name());
        }
        if (roster.number() == 1) {
            provisioner.expect(names);
        }
        LOG.tell(
                "roster",
                "term",
                roster.term(),
                "number",
                roster.number(),
                "peers",
                roster.peers().size(),
                "why",
                why);
    }

    void heard(String name, Link link, Object frame, long now) {
        if (frame instanceof EdgeHello hello) {
            hello(name, link, hello, now);
            return;
        }
        Edge edge = edges.get(name);
        if (edge == null || edge.link != link) {
            return;
        }
        if (frame instanceof StartRequest need) {
            provisioner.need(name, need, now);
        } else if (frame instanceof StopRequest quit) {
            provisioner.quit(name, quit, now);
        } else if (frame instanceof InstanceUp seen) {
            provisioner.seen(name, seen, now);
        } else if (frame instanceof HomeClaim claim) {
            provisioner.claim(name, claim, now);
        } else if (frame instanceof KnownInstances mine) {
            provisioner.mine(name, mine, now);
        } else if (frame instanceof SuspicionReport suspect) {
            membership.suspect(suspect);
        } else if (frame instanceof SuspicionWithdrawal trust) {
            membership.trust(trust);
        } else if (frame instanceof Roster roster) {
            membership.told(roster, now);
        } else if (frame instanceof DeltaRequest fetch) {
            fetch(edge, fetch, now);
        } else if (frame instanceof RosterRequest
                && edge.open
                && authority.mayAct()
                && membership.roster().number() > 0) {
            edge.link.say(membership.roster());
        }
    }

    private void fetch(Edge edge, DeltaRequest fetch, long now) {
        edge.revision = fetch.revision();
        if (edge.open && authority.mayAct() && revision() > 0) {
            DeltaChunk chunk = publisher.answer(fetch, term);
            if (chunk != null) {
                edge.link.say(chunk);
            }
        }
        spread(now);
    }

    /** Tells once when all edges on the line serve by the newest configuration. */
    private void spread(long now) {
        long newest = revision();
        if (spreadingSince != NEVER
                && newest > 0
                && edges.values().stream().allMatch(edge -> edge.revision >= newest)) {
            LOG.tell("spread", "term", term, "revision", newest, "edges", edges.size(), "ms", now - spreadingSince);
            spreadingSince = NEVER;
        }
    }

    private void hello(String name, Link link, EdgeHello hello, long now) {
        Edge edge = edges.computeIfAbsent(name, none -> new Edge());
        edge.open &= edge.link == link;
        edge.link = link;
        edge.peer = hello.self();
        edge.revision = hello.revision();
        membership.hello(hello, now);
        if (authority.mayAct()) {
            pulse = new CoordinatorHeartbeat(
                    term, revision(), membership.roster().number());
            pulse(edge);
        }
    }

    private void pulse(Edge edge) {
        edge.open |= edge.link.say(pulse);
    }

    /** Of the configuration that may be handed out, or 0: none yet. */
    private long revision() {
        return authority.applied() ? publisher.revision() : 0;
    }

    /** Edges look elsewhere, until this hub pulses again. */
    private void letGo(String why) {
        int all = 0;
        EdgeWelcome welcome = authority.welcome().withoutHelm();
        for (Edge edge : edges.values()) {
            if (edge.open) {
                all++;
                letGo(edge, welcome);
            }
        }
        if (all > 0) {
            LOG.tell("edges let go", "term", term, "why", why, "edges", all);
        }
    }

    private void letGo(Edge edge, EdgeWelcome welcome) {
        edge.open = false;
        edge.link.say(welcome);
    }

    void parted(String name, Link link, long now) {
        Edge edge = edges.get(name);
        if (edge != null && edge.link == link) {
            edges.remove(name);
            membership.parted(name, edge.peer.life(), now);
            provisioner.edgeGone(name, now);
        }
    }

    /** Says and does nothing with authority while this term may not act. */
    void tick(long now) {
        if (!authority.mayAct()) {
            if (lapsedAt == NEVER) {
                lapsedAt = now;
            } else if (now - lapsedAt >= DOUBT) {
                letGo("the lease has run out or is in doubt");
            }
            return;
        }
        lapsedAt = NEVER;
        membership.tick(now);
        provisioner.tick(now);
        if (now - pulsedAt >= PULSE
                || revision() != pulse.revision()
                || membership.roster().number() != pulse.roster()) {
            pulseAll(now);
        }
    }

    /**
     * The term is over: nothing more is called, nor said but that. The links stay, by which edges are told of the next
     * helm.
     */
    void end() {
        platform.close();
        letGo("the term is over");
        edges.clear();
        LOG.tell("ends", "term", term);
    }

    private final class YardHands implements ProvisioningActions {
        private long now() {
            return machine.clock().nanos() / 1_000_000;
        }

        @Override
        public void tell(String name, Object frame) {
            Edge edge = edges.get(name);
            // Who is not open tells what its seats know when it is again, and is told then what it has missed.
            if (edge != null && edge.open) {
                if (authority.mayAct()) {
                    edge.link.say(frame);
                } else {
                    letGo(edge, authority.welcome().withoutHelm());
                }
            }
        }

        @Override
        public void begin(String service, String worker, String nonce) {
            if (!authority.mayAct()) {
                machine.loop().execute(() -> provisioner.begun(nonce, StartResponse.of(CallResult.UNKNOWN), now()));
                return;
            }
            platform.begin(service, worker, nonce, begun -> {
                fenced(begun.result());
                provisioner.begun(nonce, begun, now());
            });
        }

        @Override
        public void stop(String id) {
            if (!authority.mayAct()) {
                machine.loop().execute(() -> provisioner.stopped(id, CallResult.UNKNOWN, now()));
                return;
            }
            platform.stop(id, result -> {
                fenced(result);
                provisioner.stopped(id, result, now());
            });
        }

        private void fenced(CallResult result) {
            if (result == CallResult.FENCED) {
                authority.fenced(term);
            }
        }

        @Override
        public void askList() {
            platform.list((hosts, complete) -> provisioner.listed(hosts, complete, now()));
        }

        @Override
        public void askWorkers() {
            platform.workers(workers -> {
                if (workers == null) {
                    provisioner.workersFailed(now());
                } else {
                    provisioner.workers(workers, now());
                }
            });
        }
    }
}
