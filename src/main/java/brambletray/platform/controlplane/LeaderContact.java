package brambletray.platform.controlplane;

import brambletray.platform.replication.ReplicaRole;
import brambletray.platform.replication.ReplicaStatus;
import java.util.Map;

/**
 * Whether this member may evaluate changes itself, and whom it redirects callers to otherwise. For the event loop only.
 */
final class LeaderContact {
    /** ms without a leader after which no call is queued: longer than a view change, so this member is cut off. */
    private static final int DISCONNECTED_REJECT_MS = 1_500;

    private static final long CONNECTED = -1;

    private final OperatorCalls.ReplicaAccess replica;
    /** Since when no leader is heard here, steady ms; {@link #CONNECTED} while one is. */
    private long disconnectedSinceMs = CONNECTED;

    LeaderContact(OperatorCalls.ReplicaAccess replica) {
        this.replica = replica;
    }

    /** To be called every 50 ms; steady ms. */
    void tick(long nowMs) {
        if (isConnected()) {
            disconnectedSinceMs = CONNECTED;
        } else if (disconnectedSinceMs == CONNECTED) {
            disconnectedSinceMs = nowMs;
        }
    }

    /**
     * Whether it may evaluate changes: it leads the active view, hears a majority of it and its disk is healthy. A
     * member that starts a view change, or has promised to one, may not; nor does it name the former leader, as two
     * that name each other would send a caller round in a circle.
     */
    boolean isHealthyLeader() {
        ReplicaStatus status = replica.status();
        return status.isLeader() && status.role() == ReplicaRole.MEMBER;
    }

    /** Control-plane address of the leader, if it is another and heard; else null. */
    String otherLeaderAddress() {
        String successor = replica.successor();
        if (successor != null) {
            return successor;
        }
        ReplicaStatus status = replica.status();
        boolean heard = !status.isLeader() && status.role() == ReplicaRole.MEMBER && status.leader() != null;
        return heard && !status.leader().address().equals(status.self().address())
                ? status.leader().address()
                : null;
    }

    /** Whether this member leads or hears the leader. */
    boolean isConnected() {
        return isHealthyLeader() || otherLeaderAddress() != null;
    }

    /** Whether no leader has been heard for longer than a view change takes. */
    boolean isCutOff(long nowMs) {
        return !isConnected()
                && disconnectedSinceMs != CONNECTED
                && nowMs - disconnectedSinceMs > DISCONNECTED_REJECT_MS;
    }

    /** Ends the call by 307 or 503 unless this member leads; whether it did. */
    boolean redirect(ControlCall call) {
        if (isHealthyLeader()) {
            return false;
        }
        String leader = otherLeaderAddress();
        if (leader == null) {
            call.reject(503, "controlplane.no-leader", "the members of the core are not in touch");
        } else {
            call.responder().respond(307, null, Map.of("Location", "http://" + leader + call.path()));
        }
        return true;
    }

    /** Redirects the call if the others go on without this member; whether it did. */
    boolean redirectToSuccessor(ControlCall call) {
        return replica.successor() != null && redirect(call);
    }
}
