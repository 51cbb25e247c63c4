package brambletray.platform.failuredetection;

import java.util.Map;
import java.util.Set;

/** The rule by which a peer is removed from the roster. */
final class RemovalRule {
    /** ms without a link after which a peer that nobody watches is removed. */
    private static final int UNWATCHED_TIMEOUT_MS = 1_000;

    private static final String NO_PEER = "";

    private final Map<String, MembershipEntry> entries;
    private final WatchRing ring;
    private final long nowMs;
    private final boolean inGracePeriod;

    /** {@code inGracePeriod}: a new coordinator still waits for edges that it has not heard. */
    RemovalRule(Map<String, MembershipEntry> entries, WatchRing ring, long nowMs, boolean inGracePeriod) {
        this.entries = entries;
        this.ring = ring;
        this.nowMs = nowMs;
        this.inGracePeriod = inGracePeriod;
    }

    /** Why this peer is to be removed, or null if it is not. */
    String reasonToRemove(String name) {
        MembershipEntry entry = entries.get(name);
        Set<String> suspectedBy = entry.suspectedBy;
        if (!entry.linked && !suspectedBy.isEmpty()) {
            return "link closed, suspected by " + String.join(", ", suspectedBy);
        }
        if (!entry.linked && !inGracePeriod) {
            return reasonToRemoveUnlinked(name, entry);
        }
        if (suspectedBy.isEmpty() || nowMs < entry.immuneUntilMs) {
            return null;
        }
        if (suspectedBy.size() >= 2) {
            return "suspected by " + String.join(", ", suspectedBy);
        }
        String accuser = suspectedBy.iterator().next();
        return accuser.equals(soleHealthyWatcher(name, accuser))
                ? "suspected by " + accuser + ", its only healthy watcher"
                : null;
    }

    private String reasonToRemoveUnlinked(String name, MembershipEntry entry) {
        if (entry.onlyReported) {
            return "not heard by this coordinator";
        }
        if (!entry.peer.isActive()) {
            return "left";
        }
        return nowMs - entry.statusSinceMs >= UNWATCHED_TIMEOUT_MS && NO_PEER.equals(soleHealthyWatcher(name, NO_PEER))
                ? "link closed, and nobody watches it"
                : null;
    }

    /**
     * The only healthy watcher of a peer, {@link #NO_PEER} if there is none, or null if there are several. One that
     * somebody suspects may be dead as well; the accuser's own report is no proof of that, as it may have lost touch
     * with all of them.
     */
    private String soleHealthyWatcher(String name, String accuser) {
        String only = NO_PEER;
        for (Peer watcher : ring.watchersOf(name)) {
            MembershipEntry entry = entries.get(watcher.name());
            if (entry == null
                    || !entry.linked
                    || entry.suspectedBy.size() > (entry.suspectedBy.contains(accuser) ? 1 : 0)) {
                continue;
            }
            if (!only.equals(NO_PEER)) {
                return null;
            }
            only = watcher.name();
        }
        return only;
    }
}
