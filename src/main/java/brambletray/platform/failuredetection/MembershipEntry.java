package brambletray.platform.failuredetection;

import java.util.HashSet;
import java.util.Set;

/** What the hub knows of one peer, in this life. */
final class MembershipEntry {
    Peer peer;
    /** Its link to the hub is open. */
    boolean linked;
    /** When the link closed, or the hub began to list it; ms. */
    long sinceMs;
    /** Never heard by this hub, only told of. */
    boolean onlyReported;
    /** Until then the watchers' word alone does not put it out; ms. */
    long immuneUntilMs = Long.MIN_VALUE;

    final Set<String> suspectedBy = new HashSet<>();

    private MembershipEntry(Peer peer, long nowMs) {
        this.peer = peer;
        this.sinceMs = nowMs;
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

    /** Whether nothing speaks against it. */
    boolean isHealthy() {
        return linked && suspectedBy.isEmpty();
    }
}
