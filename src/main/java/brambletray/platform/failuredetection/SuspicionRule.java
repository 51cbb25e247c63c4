package brambletray.platform.failuredetection;

import java.util.Map;
import java.util.Set;

/** The rule by which a peer is out. */
final class SuspicionRule {
    /** ms without a link after which one that nobody watches is out. */
    private static final int ALONE_MS = 1_000;

    private static final String NOBODY = "";

    private final Map<String, MembershipEntry> entries;
    private final WatchRing ring;
    private final long now;
    private final boolean held;

    /** {@code held}: a new hub still waits for those that it hasn't heard. */
    SuspicionRule(Map<String, MembershipEntry> entries, WatchRing ring, long now, boolean held) {
        this.entries = entries;
        this.ring = ring;
        this.now = now;
        this.held = held;
    }

    /** Why this peer is out, or null if it isn't. */
    String of(String name) {
        MembershipEntry entry = entries.get(name);
        Set<String> by = entry.suspectedBy;
        if (!entry.linked && !by.isEmpty()) {
            return "link closed, suspected by " + String.join(", ", by);
        }
        if (!entry.linked && !held) {
            return unlinked(name, entry);
        }
        if (by.isEmpty() || now < entry.pardonedUntil) {
            return null;
        }
        if (by.size() >= 2) {
            return "suspected by " + String.join(", ", by);
        }
        String accuser = by.iterator().next();
        return accuser.equals(onlyLiving(name, accuser))
                ? "suspected by " + accuser + ", its only watcher that lives"
                : null;
    }

    private String unlinked(String name, MembershipEntry entry) {
        if (entry.toldOf) {
            return "not heard by this hub";
        }
        if (!entry.peer.in()) {
            return "left";
        }
        return now - entry.since >= ALONE_MS && NOBODY.equals(onlyLiving(name, NOBODY))
                ? "link closed, and nobody watches it"
                : null;
    }

    /**
     * The only watcher of a peer that lives, {@link #NOBODY} if there is none, or null if there are several. One that
     * somebody suspects may be dead as well; the accuser's own word is no proof of that, as it may have lost touch with
     * all of them.
     */
    private String onlyLiving(String name, String accuser) {
        String only = NOBODY;
        for (Peer watcher : ring.watchersOf(name)) {
            MembershipEntry entry = entries.get(watcher.name());
            if (entry == null
                    || !entry.linked
                    || entry.suspectedBy.size() > (entry.suspectedBy.contains(accuser) ? 1 : 0)) {
                continue;
            }
            if (!only.equals(NOBODY)) {
                return null;
            }
            only = watcher.name();
        }
        return only;
    }
}
