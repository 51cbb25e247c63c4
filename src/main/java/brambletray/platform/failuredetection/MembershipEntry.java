package brambletray.platform.failuredetection;

import java.util.HashSet;
import java.util.Set;

/** What the coordinator knows of one incarnation of a peer. */
final class MembershipEntry {
    Peer peer;
    /** Its link to the coordinator is open. */
    boolean linked;
    /** When the link closed, or the coordinator began to list it; ms. */
    long statusSinceMs;
    /** Never heard by this coordinator, only listed in a roster of another. */
    boolean onlyReported;
    /** Until then the watchers' reports alone do not remove it; ms. */
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

    /** Whether its link is open and nobody suspects it. */
    boolean isHealthy() {
        return linked && suspectedBy.isEmpty();
    }
}
