package brambletray.platform.controlplane;

import brambletray.common.runtime.Machine;
import brambletray.platform.configuration.Configuration;
import brambletray.platform.configuration.Service;
import brambletray.platform.controlplane.ConnectedEdges.ConnectedEdge;
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
import brambletray.platform.operations.ClaimRelease;
import brambletray.platform.operations.ClaimRequest;
import brambletray.platform.provisioning.HomeClaim;
import brambletray.platform.provisioning.InstanceSize;
import brambletray.platform.provisioning.InstanceUp;
import brambletray.platform.provisioning.KnownInstances;
import brambletray.platform.provisioning.PlatformClient;
import brambletray.platform.provisioning.PlatformTerms;
import brambletray.platform.provisioning.Provisioner;
import brambletray.platform.provisioning.ProvisioningActions;
import brambletray.platform.provisioning.StartRequest;
import brambletray.platform.provisioning.StopRequest;
import brambletray.platform.quota.QuotaParameters;
import brambletray.platform.quota.TenantUsage;
import brambletray.platform.settings.CloudApiSettings;
import brambletray.platform.settings.NodeSettings;
import brambletray.platform.transport.Link;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;

/**
 * The coordinator in its term: announces edges, configurations and instances to the edges, and starts and stops
 * instances. It begins without any state and gets it from the edges. For the event loop only.
 */
final class EdgeCoordinator {
    private static final EventLog LOG = EventLog.of("coordinator");
    /** ms between heartbeats to an edge. */
    private static final int HEARTBEAT_INTERVAL_MS = 250;
    /**
     * ms without authority after which edges are released: a late tick of this process makes its lease uncertain for
     * one round only.
     */
    static final int LEASE_UNCERTAIN_GRACE_MS = 100;

    private static final long NEVER = Long.MIN_VALUE;

    private final Machine machine;
    private final Authority authority;
    private final ClaimHandler claims;
    private final long term;
    private final Supplier<Configuration> configuration;
    private final ConfigurationPublisher publisher;
    private final ConnectedEdges edges;
    private final EdgeQuotas quotas;
    private final MembershipRegistry membership;
    private final Provisioner provisioner;
    private final PlatformClient platform;
    private final FencedPlatformClient fencedPlatform;
    private HomeAssignment homeAssignment = new HomeAssignment(Roster.NONE);
    private long heartbeatsSentAtMs;
    private CoordinatorHeartbeat heartbeat;
    /** Since when the newest configuration is being rolled out to edges, ms; {@link #NEVER}: all have it. */
    private long rolloutSinceMs = NEVER;

    private long authorityLostAtMs = NEVER;

    /** What the coordinator checks before it sends anything. */
    interface Authority {
        /** Whether this term may act at this moment. */
        boolean mayAct();

        /**
         * Whether everything that was committed before the active view has been applied here. Until then the
         * configuration that is known here may be older than one that was acknowledged.
         */
        boolean isSettled();

        /** This member's answer to an {@link EdgeHello}. */
        EdgeWelcome welcome();

        /** The platform has refused a call under this term, as it has seen a higher one. */
        void onFenced(long term);
    }

    EdgeCoordinator(
            Machine machine,
            NodeSettings nodeSettings,
            long term,
            Supplier<Configuration> configuration,
            ConfigurationPublisher publisher,
            Authority authority,
            ClaimHandler claims,
            long nowMs) {
        this.machine = machine;
        this.authority = authority;
        this.claims = claims;
        this.term = term;
        this.configuration = configuration;
        this.publisher = publisher;
        edges = new ConnectedEdges(term, authority);
        quotas = new EdgeQuotas(authority, QuotaParameters.from(nodeSettings.bounds()));
        heartbeat = new CoordinatorHeartbeat(term, 0, 0);
        membership = new MembershipRegistry(term, nowMs, this::onRoster);
        CloudApiSettings cloudApi = nodeSettings.require("cloud-api.address", nodeSettings.cloudApi());
        platform = platformClient(nodeSettings, cloudApi);
        fencedPlatform = new FencedPlatformClient(machine, platform, term, authority);
        provisioner =
                new Provisioner(platformTerms(nodeSettings, cloudApi), new ProvisionerOutput(), this::homeOf, nowMs);
        onConfigurationChanged(nowMs);
        LOG.info("coordinator-started")
                .with("term", term)
                .with("revision", configuration.get().revision())
                .log();
    }

    private PlatformClient platformClient(NodeSettings nodeSettings, CloudApiSettings cloudApi) {
        return new PlatformClient(
                machine,
                new InetSocketAddress(
                        cloudApi.address().host(), cloudApi.address().port()),
                new PlatformClient.CallerIdentity(nodeSettings.node(), term),
                cloudApi.ratePerS(),
                authority::mayAct);
    }

    private static PlatformTerms platformTerms(NodeSettings nodeSettings, CloudApiSettings cloudApi) {
        return new PlatformTerms(
                nodeSettings.zones(), cloudApi.listLagMs(), cloudApi.ratePerS(), cloudApi.coordinatorRatePerS());
    }

    long term() {
        return term;
    }

    Roster newestRoster() {
        return membership.newest();
    }

    Provisioner provisioner() {
        return provisioner;
    }

    /** For operators: the quotas of the limited tenants. */
    List<TenantUsage> tenantUsages(long nowMs) {
        return quotas.usages(nowMs);
    }

    /** For operators: the revision that this edge serves by, or -1 if it has no link here. */
    long servedRevision(String name) {
        return edges.servedRevision(name);
    }

    private String homeOf(String service, String zone) {
        Peer home = homeAssignment.homeOf(service, zone);
        return home == null ? null : home.name();
    }

    /** Sends to an edge that follows this coordinator; lost where it does not, or this term may not act. */
    void send(String name, Object frame) {
        edges.sendWithAuthority(name, frame);
    }

    /** Another configuration was applied. */
    void onConfigurationChanged(long nowMs) {
        Map<String, InstanceSize> sizes = new HashMap<>();
        Configuration current = configuration.get();
        if (current == Configuration.NONE) {
            return;
        }
        for (Service service : current.services().values()) {
            sizes.put(service.name(), new InstanceSize(service.memoryMb(), service.bootMs()));
        }
        provisioner.onConfigurationChanged(sizes, nowMs);
        quotas.onConfigurationChanged(current, nowMs);
        rolloutSinceMs = nowMs;
        if (authority.mayAct()) {
            sendHeartbeats(nowMs);
        }
    }

    /** Announces what may be handed out: edges fetch what they lack. Only while this term may act. */
    private void sendHeartbeats(long nowMs) {
        heartbeatsSentAtMs = nowMs;
        heartbeat = new CoordinatorHeartbeat(
                term, publishableRevision(), membership.roster().number());
        edges.sendHeartbeats(heartbeat);
    }

    private void onRoster(Roster roster, String why) {
        homeAssignment = new HomeAssignment(roster);
        Set<String> names = new HashSet<>();
        for (Peer peer : roster.peers()) {
            names.add(peer.name());
        }
        if (roster.number() == 1) {
            provisioner.expectReportsFrom(names);
        }
        LOG.info("roster")
                .with("term", roster.term())
                .with("number", roster.number())
                .with("peers", roster.peers().size())
                .with("why", why)
                .log();
    }

    void receive(String name, Link link, Object frame, long nowMs) {
        if (frame instanceof EdgeHello hello) {
            onHello(name, link, hello, nowMs);
            return;
        }
        ConnectedEdge edge = edges.find(name, link);
        if (edge == null || quotas.receive(edge, frame, nowMs)) {
            return;
        }
        if (frame instanceof StartRequest startRequest) {
            provisioner.onStartRequest(name, startRequest, nowMs);
        } else if (frame instanceof StopRequest stopRequest) {
            provisioner.onStopRequest(name, stopRequest, nowMs);
        } else if (frame instanceof InstanceUp instanceUp) {
            provisioner.onInstanceUp(name, instanceUp, nowMs);
        } else if (frame instanceof HomeClaim claim) {
            provisioner.onHomeClaim(name, claim, nowMs);
        } else if (frame instanceof KnownInstances knownInstances) {
            provisioner.onKnownInstances(name, knownInstances, nowMs);
        } else if (frame instanceof SuspicionReport report) {
            membership.onSuspicion(report);
        } else if (frame instanceof SuspicionWithdrawal withdrawal) {
            membership.onWithdrawal(withdrawal);
        } else if (frame instanceof Roster roster) {
            membership.onReportedRoster(roster, nowMs);
        } else if (frame instanceof DeltaRequest request) {
            onDeltaRequest(edge, request, nowMs);
        } else if (frame instanceof RosterRequest) {
            onRosterRequest(edge);
        } else if (frame instanceof ClaimRequest request) {
            claims.onClaim(name, request);
        } else if (frame instanceof ClaimRelease request) {
            claims.onRelease(name, request);
        }
    }

    private void onRosterRequest(ConnectedEdge edge) {
        if (edge.isFollowing() && authority.mayAct() && membership.roster().number() > 0) {
            edge.send(membership.roster());
        }
    }

    private void onDeltaRequest(ConnectedEdge edge, DeltaRequest request, long nowMs) {
        edge.setServedRevision(request.revision());
        if (edge.isFollowing() && authority.mayAct() && publishableRevision() > 0) {
            DeltaChunk chunk = publisher.nextChunk(request, term);
            if (chunk != null) {
                edge.send(chunk);
            }
        }
        maybeLogRollout(nowMs);
    }

    /** Logs once when all connected edges serve by the newest configuration. */
    private void maybeLogRollout(long nowMs) {
        long newest = publishableRevision();
        if (rolloutSinceMs != NEVER && newest > 0 && edges.allServe(newest)) {
            LOG.info("configuration-distributed")
                    .with("term", term)
                    .with("revision", newest)
                    .with("edges", edges.size())
                    .with("ms", nowMs - rolloutSinceMs)
                    .log();
            rolloutSinceMs = NEVER;
        }
    }

    private void onHello(String name, Link link, EdgeHello hello, long nowMs) {
        ConnectedEdge edge = edges.onHello(name, link, hello);
        membership.onHello(hello, nowMs);
        if (authority.mayAct()) {
            heartbeat = new CoordinatorHeartbeat(
                    term, publishableRevision(), membership.roster().number());
            edge.sendHeartbeat(heartbeat);
        }
    }

    /** Revision of the configuration that may be handed out, or 0: none yet. */
    private long publishableRevision() {
        return authority.isSettled() ? publisher.revision() : 0;
    }

    void onDisconnected(String name, Link link, long nowMs) {
        Peer peer = edges.onDisconnected(name, link);
        if (peer != null) {
            membership.onDisconnected(name, peer.incarnation(), nowMs);
            provisioner.onEdgeGone(name, nowMs);
        }
    }

    /** To be called every 50 ms. Sends nothing with authority while this term may not act. */
    void tick(long nowMs) {
        if (!authority.mayAct()) {
            if (authorityLostAtMs == NEVER) {
                authorityLostAtMs = nowMs;
            } else if (nowMs - authorityLostAtMs >= LEASE_UNCERTAIN_GRACE_MS) {
                edges.releaseAll("the lease has run out or is uncertain");
            }
            return;
        }
        authorityLostAtMs = NEVER;
        membership.tick(nowMs);
        provisioner.tick(nowMs);
        if (nowMs - heartbeatsSentAtMs >= HEARTBEAT_INTERVAL_MS
                || publishableRevision() != heartbeat.revision()
                || membership.roster().number() != heartbeat.rosterNumber()) {
            sendHeartbeats(nowMs);
        }
    }

    /**
     * The term is over: nothing more is called or sent but that. The links stay; edges learn of the next coordinator
     * by them.
     */
    void close() {
        platform.close();
        edges.releaseAll("the term is over");
        edges.clear();
        LOG.info("coordinator-stopped").with("term", term).log();
    }

    private final class ProvisionerOutput implements ProvisioningActions {
        private long now() {
            return machine.clock().nanos() / 1_000_000;
        }

        @Override
        public void send(String name, Object frame) {
            edges.sendWithAuthority(name, frame);
        }

        @Override
        public void startInstance(String service, String worker, String nonce) {
            fencedPlatform.start(
                    service, worker, nonce, response -> provisioner.onStartAnswered(nonce, response, now()));
        }

        @Override
        public void stopInstance(String id) {
            fencedPlatform.stop(id, result -> provisioner.onStopAnswered(id, result, now()));
        }

        @Override
        public void requestInstanceList() {
            platform.list((hosts, complete) -> provisioner.onInstanceList(hosts, complete, now()));
        }

        @Override
        public void requestWorkerList() {
            platform.workers(workers -> {
                if (workers == null) {
                    provisioner.onWorkerListFailed(now());
                } else {
                    provisioner.onWorkerList(workers, now());
                }
            });
        }
    }
}
