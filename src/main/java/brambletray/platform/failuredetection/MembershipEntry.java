package brambletray.platform.failuredetection;

import java.util.HashSet;
import java.util.Set;

/** What the hub knows of one peer, in this life. */
final class MembershipEntry {
    Peer peer;
    /** Its link to the hub is open. */
    boolean linked;
    /** When the link closed, or the hub began to list it; ms. */
    long since;
    /** Never heard by this hub, only told of. */
    boolean toldOf;
    /** Until then the watchers' word alone does not put it out; ms. */
    long pardonedUntil = Long.MIN_VALUE;

    final Set<String> suspectedBy = new HashSet<>();

    private MembershipEntry(Peer peer, long now) {
        this.peer = peer;
        this.since = now;
    }

    static MembershipEntry heard(Peer peer, long now) {
        MembershipEntry entry = new MembershipEntry(peer, now);
        entry.linked = true;
        return entry;
    }

    static MembershipEntry toldOf(Peer peer, long now) {
        MembershipEntry entry = new MembershipEntry(peer, now);
        entry.toldOf = true;
        return entry;
    }

    /** Whether nothing speaks against it. */
    boolean sound() {
        return linked && suspectedBy.isEmpty();
    }
}
