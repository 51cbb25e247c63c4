package brambletray.platform.failuredetection;

import java.util.HashSet;
import java.util.Set;

/** The coordinator's record of one incarnation of a peer. */
final class MembershipEntry {
    Peer peer;
    /** Whether its link to the coordinator is open. */
    boolean linked;
    /** When its link closed, or the coordinator first listed it; ms. */
    long statusSinceMs;
    /** It is known only from the roster of an earlier coordinator and has not contacted this one. */
    boolean onlyReported;
    /** Until then, reports by watchers alone do not remove it; ms. */
    long immuneUntilMs = Long.MIN_VALUE;

    final Set<String> suspectedBy = new HashSet<>();

    private MembershipEntry(Peer peer, long nowMs) {
        this.peer = peer;
        this.statusSinceMs = nowMs;
    }

    static MembershipEntry connected(Peer peer, long nowMs) {
        MembershipEntry entry = new MembershipEntry(peer, nowMs);
        entry.linked = true;
        return entry;
    }

    static MembershipEntry reported(Peer peer, long nowMs) {
        MembershipEntry entry = new MembershipEntry(peer, nowMs);
        entry.onlyReported = true;
        return entry;
    }

    /** Whether its link is open and no watcher suspects it. */
    boolean isHealthy() {
        return linked && suspectedBy.isEmpty();
    }
}
