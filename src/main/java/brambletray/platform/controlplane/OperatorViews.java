package brambletray.platform.controlplane;

import brambletray.platform.election.LeaseHolder;
import brambletray.platform.failuredetection.Peer;
import brambletray.platform.failuredetection.Roster;
import brambletray.platform.provisioning.InstanceInfo;
import brambletray.platform.quota.TenantUsage;
import brambletray.platform.replication.Member;
import brambletray.platform.replication.ReplicaRole;
import brambletray.platform.replication.ReplicaStatus;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * Read-only status for operators, below {@code /brambletray/system}. Each member answers for itself about its role
 * ({@code views}) and the lease holder ({@code duties}); edges and instances ({@code hosts}) are known at the
 * coordinator, and callers are redirected there by 307. For the event loop only.
 */
final class OperatorViews {
    static final String PATH_PREFIX = "/brambletray/system/";
    /** Instances in one response; {@code known} says how many there are. */
    static final int MAX_INSTANCES = 4_096;

    private static final String COORDINATOR_ROLE = "helm";
    private static final String[] INSTANCE_STATES = {"booting", "up", "leaving"};

    /** What this member knows. */
    interface Source {
        ReplicaStatus status();

        /**
         * Zones, or else regions, that may be lost and hold half of the view or more; empty where the rest would go on.
         */
        List<String> zonesHoldingHalf();

        /** Revision of the configuration that is applied here. */
        long revision();

        /** The holder of the coordinator's lease as far as known here, or null. */
        LeaseHolder coordinator();

        /** Null if the lease is not held here. */
        CoordinatorView coordinatorView();

        /** Steady ms. */
        long nowMs();
    }

    /** What the coordinator knows. */
    interface CoordinatorView {
        Roster roster();

        /** Revision of the configuration that this edge serves by, or -1 if it has no link here. */
        long servedRevision(String edge);

        /** At most {@link #MAX_INSTANCES}; {@code service} null: of all services. */
        List<InstanceInfo> instances(String service);

        /** Instances of all services. */
        int instanceCount();

        /** Quotas of the limited tenants. */
        List<TenantUsage> tenantUsages();
    }

    private final Source source;
    private long term;
    private long holderSinceMs;

    OperatorViews(Source source) {
        this.source = source;
        holderSinceMs = source.nowMs();
    }

    void register(CallRouter<ControlPlaneServer.CallHandler> table) {
        table.route("GET", PATH_PREFIX + "views", (call, wildcard) -> call.respond(200, views()))
                .route("GET", PATH_PREFIX + "duties", (call, wildcard) -> call.respond(200, roles()))
                .route("GET", PATH_PREFIX + "tenants", (call, wildcard) -> atCoordinator(call, this::tenants))
                .route("GET", PATH_PREFIX + "edges", (call, wildcard) -> atCoordinator(call, this::edges))
                .route(
                        "GET",
                        PATH_PREFIX + "hosts",
                        (call, wildcard) -> atCoordinator(call, view -> instances(view, null)))
                .route(
                        "GET",
                        PATH_PREFIX + "hosts/*",
                        (call, wildcard) -> atCoordinator(call, view -> instances(view, wildcard)));
    }

    /** Remembers since when the holder is known. */
    void tick() {
        LeaseHolder coordinator = source.coordinator();
        long currentTerm = coordinator == null ? 0 : coordinator.term();
        if (currentTerm != term) {
            term = currentTerm;
            holderSinceMs = source.nowMs();
        }
    }

    private interface Page {
        byte[] of(CoordinatorView view);
    }

    private void atCoordinator(ControlCall call, Page page) {
        CoordinatorView view = source.coordinatorView();
        LeaseHolder coordinator = source.coordinator();
        if (view != null) {
            call.respond(200, page.of(view));
        } else if (coordinator == null
                || coordinator.member().address().equals(source.status().self().address())) {
            call.reject(503, "controlplane.no-helm", "nobody is known to hold the helm at present");
        } else {
            call.responder()
                    .respond(
                            307,
                            null,
                            Map.of("Location", "http://" + coordinator.member().address() + call.path()));
        }
    }

    private JsonObjectWriter head() {
        return new JsonObjectWriter().text("node", source.status().self().name());
    }

    private byte[] views() {
        ReplicaStatus status = source.status();
        List<String> zones = source.zonesHoldingHalf();
        JsonObjectWriter json = head().text("address", status.self().address())
                .text("life", Long.toHexString(status.self().incarnation()))
                .text("standing", shownRole(status.role()))
                .number("view", status.viewNumber())
                .flag("in-force", status.active())
                .flag("settled", status.settled())
                .text("leader", status.leader() == null ? null : status.leader().name())
                .flag("leading", status.isLeader())
                .number("commit", status.commitIndex())
                .number("delivered", status.appliedIndex())
                .flag("ill", status.diskUnhealthy())
                .number("revision", source.revision())
                .text("zones-holding-half", zones.isEmpty() ? null : String.join(" ", zones))
                .list("members");
        for (Member member : status.members()) {
            json.item()
                    .text("name", member.name())
                    .text("address", member.address())
                    .text("life", Long.toHexString(member.incarnation()))
                    .text("zone", member.zone())
                    .end();
        }
        return json.close().bytes();
    }

    /** The words under which operators know the roles; they stay when a constant is renamed. */
    private static String shownRole(ReplicaRole role) {
        return switch (role) {
            case FOUNDING -> "founding";
            case MEMBER -> "member";
            case SUSPENDED -> "stopped";
            case JOINING -> "knocking";
        };
    }

    private byte[] roles() {
        LeaseHolder coordinator = source.coordinator();
        JsonObjectWriter json = head().list("duties")
                .item()
                .text("duty", COORDINATOR_ROLE)
                .text(
                        "holder",
                        coordinator == null ? null : coordinator.member().name())
                .text(
                        "address",
                        coordinator == null ? null : coordinator.member().address())
                .number("term", coordinator == null ? 0 : coordinator.term())
                .number("since-ms", source.nowMs() - holderSinceMs)
                .flag("here", source.coordinatorView() != null);
        return json.end().close().bytes();
    }

    private byte[] edges(CoordinatorView view) {
        Roster roster = view.roster();
        JsonObjectWriter json = head().number("term", roster.term())
                .number("number", roster.number())
                .number("revision", source.revision())
                .list("edges");
        for (Peer peer : roster.peers()) {
            long revision = view.servedRevision(peer.name());
            json.item()
                    .text("name", peer.name())
                    .text("zone", peer.zone())
                    .text("address", peer.address())
                    .text("life", Long.toHexString(peer.incarnation()))
                    .text("state", peer.isActive() ? "in" : "leaving")
                    .flag("linked", revision >= 0)
                    .number("revision", Math.max(0, revision))
                    .end();
        }
        return json.close().bytes();
    }

    private byte[] tenants(CoordinatorView view) {
        JsonObjectWriter json = head().list("tenants");
        for (TenantUsage usage : view.tenantUsages()) {
            json.item()
                    .text("name", usage.tenant())
                    .text("state", usage.state().name().toLowerCase(Locale.ROOT).replace('_', '-'))
                    .number("rate-per-s", Math.round(usage.ratePerS()))
                    .number("burst-size", Math.round(usage.burst()))
                    .number("capacity", (long) Math.floor(usage.capacity()))
                    .number("tokens", (long) Math.floor(usage.tokens()))
                    .number("run-ahead", usage.runAhead())
                    .number("granted", usage.granted())
                    .number("refused", usage.refused())
                    .number("without-right", usage.debited())
                    .number("returned", usage.returned())
                    .end();
        }
        return json.close().bytes();
    }

    private byte[] instances(CoordinatorView view, String service) {
        JsonObjectWriter json = head().number("known", view.instanceCount()).list("hosts");
        for (InstanceInfo host : view.instances(service)) {
            json.item()
                    .text("id", host.id())
                    .text("service", host.service())
                    .text("address", host.address())
                    .text("zone", host.zone())
                    .text("seat", host.homeZone())
                    .text("worker", host.worker())
                    .text(
                            "state",
                            host.state() >= 0 && host.state() < INSTANCE_STATES.length
                                    ? INSTANCE_STATES[host.state()]
                                    : "?")
                    .number("age-ms", host.ageMs())
                    .end();
        }
        return json.close().bytes();
    }
}
