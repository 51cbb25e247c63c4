package brambletray.tray.ring;

import java.util.HashSet;
import java.util.Set;

/** What the hub knows of one peer, in this life. */
final class Entry {
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

    private Entry(Peer peer, long now) {
        this.peer = peer;
        this.since = now;
    }

    static Entry heard(Peer peer, long now) {
        Entry entry = new Entry(peer, now);
        entry.linked = true;
        return entry;
    }

    static Entry toldOf(Peer peer, long now) {
        Entry entry = new Entry(peer, now);
        entry.toldOf = true;
        return entry;
    }

    /** Whether nothing speaks against it. */
    boolean sound() {
        return linked && suspectedBy.isEmpty();
    }
}
