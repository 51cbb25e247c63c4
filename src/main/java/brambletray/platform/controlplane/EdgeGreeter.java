package brambletray.platform.controlplane;

import brambletray.platform.election.LeaseHolder;
import brambletray.platform.failuredetection.EdgeHello;
import brambletray.platform.failuredetection.EdgeWelcome;
import brambletray.platform.failuredetection.Roster;
import brambletray.platform.replication.Member;
import brambletray.platform.replication.ReplicaRole;
import brambletray.platform.replication.ReplicaStatus;
import brambletray.platform.transport.Link;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.function.Supplier;

/**
 * The edges that have a link to this member, coordinator or not: each learns by an {@link EdgeWelcome} where the
 * coordinator is, and again when that, or the role of this member, has changed. So an edge that waits at a member in
 * touch learns of a new coordinator at once, and one that waits at a member that is cut off learns that it should go
 * on. For the event loop only.
 */
final class EdgeGreeter {
    private static final long NEVER = Long.MIN_VALUE;

    private static final class ConnectedEdge {
        private final String name;
        private EdgeHello hello;
        /** Without the roster, which the welcome to a later hello brings up to date. */
        private EdgeWelcome lastWelcome;

        ConnectedEdge(String name) {
            this.name = name;
        }
    }

    private final Supplier<EdgeWelcome> welcome;
    private final Map<Link, ConnectedEdge> connectedEdges = new LinkedHashMap<>();
    private long noCoordinatorSinceMs = NEVER;

    /** {@code welcome}: the present answer to an edge. */
    EdgeGreeter(Supplier<EdgeWelcome> welcome) {
        this.welcome = welcome;
    }

    /**
     * The welcome of a member with this status. It names itself as the coordinator while its {@link EdgeCoordinator}
     * may act ({@code coordinatorTerm}, 0: it has none), another only while it is in touch itself: a member that is
     * cut off may not know that the other was succeeded. {@code edgeFacingAddress}: where edges reach a member.
     */
    static EdgeWelcome welcome(
            ReplicaStatus status,
            LeaseHolder holder,
            long coordinatorTerm,
            Roster newest,
            Function<Member, String> edgeFacingAddress) {
        boolean inTouch = status.role() == ReplicaRole.MEMBER;
        boolean heldHere =
                holder != null && holder.member().incarnation() == status.self().incarnation();
        boolean named = holder != null && (heldHere ? coordinatorTerm == holder.term() : inTouch);
        List<String> memberAddresses = status.active()
                ? status.members().stream().map(edgeFacingAddress).toList()
                : List.of();
        return new EdgeWelcome(
                named ? edgeFacingAddress.apply(holder.member()) : "",
                named ? holder.term() : 0,
                inTouch,
                status.active() ? status.viewNumber() : 0,
                memberAddresses,
                newest.term(),
                newest.number());
    }

    void onConnected(String name, Link link) {
        connectedEdges.put(link, new ConnectedEdge(name));
    }

    void onDisconnected(Link link) {
        connectedEdges.remove(link);
    }

    /** Answers an edge's hello. */
    void onHello(Link link, EdgeHello hello) {
        ConnectedEdge edge = connectedEdges.get(link);
        if (edge != null) {
            edge.hello = hello;
            sendWelcome(link, edge, welcome.get());
        }
    }

    /** This member is the coordinator from now on: it takes over the connected edges. */
    void onCoordinatorStarted(EdgeCoordinator coordinator, long nowMs) {
        EdgeWelcome current = welcome.get();
        new LinkedHashMap<>(connectedEdges).forEach((link, edge) -> {
            if (edge.hello != null) {
                sendWelcome(link, edge, current);
                coordinator.receive(edge.name, link, edge.hello, nowMs);
            }
        });
    }

    /**
     * To be called every 50 ms; steady ms. That there is no coordinator any more is sent once that has lasted for
     * {@link EdgeCoordinator#LEASE_UNCERTAIN_GRACE_MS}.
     */
    void tick(long nowMs) {
        if (connectedEdges.isEmpty()) {
            return;
        }
        EdgeWelcome current = welcome.get();
        EdgeWelcome key = withoutRoster(current);
        if (!key.coordinatorAddress().isEmpty()) {
            noCoordinatorSinceMs = NEVER;
        } else if (noCoordinatorSinceMs == NEVER) {
            noCoordinatorSinceMs = nowMs;
        }
        boolean inGracePeriod = noCoordinatorSinceMs != NEVER
                && nowMs - noCoordinatorSinceMs < EdgeCoordinator.LEASE_UNCERTAIN_GRACE_MS;
        connectedEdges.forEach((link, edge) -> {
            if (edge.lastWelcome != null
                    && !edge.lastWelcome.equals(key)
                    && !(inGracePeriod && !edge.lastWelcome.coordinatorAddress().isEmpty())) {
                sendWelcome(link, edge, current);
            }
        });
    }

    private void sendWelcome(Link link, ConnectedEdge edge, EdgeWelcome current) {
        link.send(current);
        edge.lastWelcome = withoutRoster(current);
    }

    private static EdgeWelcome withoutRoster(EdgeWelcome welcome) {
        return new EdgeWelcome(
                welcome.coordinatorAddress(),
                welcome.term(),
                welcome.inActiveView(),
                welcome.viewNumber(),
                welcome.members(),
                0,
                0);
    }
}
