package brambletray.platform.controlplane;

import brambletray.platform.distribution.CoordinatorHeartbeat;
import brambletray.platform.failuredetection.EdgeHello;
import brambletray.platform.failuredetection.EdgeWelcome;
import brambletray.platform.failuredetection.Peer;
import brambletray.platform.logging.EventLog;
import brambletray.platform.transport.Link;
import java.util.HashMap;
import java.util.Map;

/**
 * The edges that follow this coordinator, by name. For the event loop only.
 *
 * <p>Invariant: an edge is sent nothing with authority before a heartbeat of this term was sent on its link, nor after
 * it was released on it.
 */
final class ConnectedEdges {
    private static final EventLog LOG = EventLog.of("coordinator");

    /** One edge and its link. */
    static final class ConnectedEdge {
        private Link link;
        private Peer peer;
        /** A heartbeat was sent on this link, and the edge was not released since. */
        private boolean heartbeatSent;
        /** Revision of the configuration that the edge serves by, as it says itself. */
        private long servedRevision;

        boolean isFollowing() {
            return heartbeatSent;
        }

        String name() {
            return peer.name();
        }

        long incarnation() {
            return peer.incarnation();
        }

        void setServedRevision(long revision) {
            servedRevision = revision;
        }

        void send(Object frame) {
            link.send(frame);
        }

        void sendHeartbeat(CoordinatorHeartbeat heartbeat) {
            heartbeatSent |= link.send(heartbeat);
        }

        private void release(EdgeWelcome welcome) {
            heartbeatSent = false;
            link.send(welcome);
        }
    }

    private final long term;
    private final EdgeCoordinator.Authority authority;
    private final Map<String, ConnectedEdge> edges = new HashMap<>();

    ConnectedEdges(long term, EdgeCoordinator.Authority authority) {
        this.term = term;
        this.authority = authority;
    }

    int size() {
        return edges.size();
    }

    /** The edge of this name on this link; null if it is on another, or unknown. */
    ConnectedEdge find(String name, Link link) {
        ConnectedEdge edge = edges.get(name);
        return edge == null || edge.link != link ? null : edge;
    }

    /** The revision that this edge serves by, or -1 if it has no link here. */
    long servedRevision(String name) {
        ConnectedEdge edge = edges.get(name);
        return edge == null ? -1 : edge.servedRevision;
    }

    boolean allServe(long revision) {
        return edges.values().stream().allMatch(edge -> edge.servedRevision >= revision);
    }

    /** An edge has introduced itself on this link, which replaces a former one. */
    ConnectedEdge onHello(String name, Link link, EdgeHello hello) {
        ConnectedEdge edge = edges.computeIfAbsent(name, none -> new ConnectedEdge());
        edge.heartbeatSent &= edge.link == link;
        edge.link = link;
        edge.peer = hello.self();
        edge.servedRevision = hello.revision();
        return edge;
    }

    /** The link is gone: the peer whose edge it was, or null if that edge has another by now. */
    Peer onDisconnected(String name, Link link) {
        ConnectedEdge edge = find(name, link);
        if (edge == null) {
            return null;
        }
        edges.remove(name);
        return edge.peer;
    }

    void sendHeartbeats(CoordinatorHeartbeat heartbeat) {
        edges.values().forEach(edge -> edge.sendHeartbeat(heartbeat));
    }

    /**
     * Sends a frame to an edge that follows this coordinator; while this term may not act, the edge is released
     * instead. A released edge reports what it knows when it is accepted again, and is notified then of what it has
     * missed.
     */
    void sendWithAuthority(String name, Object frame) {
        ConnectedEdge edge = edges.get(name);
        if (edge == null || !edge.heartbeatSent) {
            return;
        }
        if (authority.mayAct()) {
            edge.send(frame);
        } else {
            edge.release(authority.welcome().withoutCoordinator());
        }
    }

    /** Edges look for another coordinator, until this one sends a heartbeat again. */
    void releaseAll(String reason) {
        int released = 0;
        EdgeWelcome welcome = authority.welcome().withoutCoordinator();
        for (ConnectedEdge edge : edges.values()) {
            if (edge.heartbeatSent) {
                released++;
                edge.release(welcome);
            }
        }
        if (released > 0) {
            LOG.info("edges-released")
                    .with("term", term)
                    .with("why", reason)
                    .with("edges", released)
                    .log();
        }
    }

    void clear() {
        edges.clear();
    }
}
