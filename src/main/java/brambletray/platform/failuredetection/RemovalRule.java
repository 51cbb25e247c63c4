package brambletray.platform.failuredetection;

import java.util.Map;
import java.util.Set;

/** Decides whether a peer is removed from the roster. */
final class RemovalRule {
    /** ms without a link after which a peer without a healthy watcher is removed. */
    private static final int UNWATCHED_TIMEOUT_MS = 1_000;

    private static final String NO_PEER = "";

    private final Map<String, MembershipEntry> entries;
    private final WatchRing ring;
    private final long nowMs;
    private final boolean inGracePeriod;

    /** {@code inGracePeriod}: a new coordinator is still waiting for edges that have not contacted it. */
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
        String reporter = suspectedBy.iterator().next();
        return reporter.equals(soleHealthyWatcher(name, reporter))
                ? "suspected by " + reporter + ", its only healthy watcher"
                : null;
    }

    private String reasonToRemoveUnlinked(String name, MembershipEntry entry) {
        if (entry.onlyReported) {
            return "did not contact this coordinator";
        }
        if (!entry.peer.isActive()) {
            return "left";
        }
        return nowMs - entry.statusSinceMs >= UNWATCHED_TIMEOUT_MS && NO_PEER.equals(soleHealthyWatcher(name, NO_PEER))
                ? "link closed, no healthy watcher"
                : null;
    }

    /**
     * The only healthy watcher of a peer, {@link #NO_PEER} if there is none, or null if there are several. A watcher
     * that is suspected itself does not count as healthy, unless only the reporter suspects it: the reporter may have
     * lost contact with all of them.
     */
    private String soleHealthyWatcher(String name, String reporter) {
        String soleWatcher = NO_PEER;
        for (Peer watcher : ring.watchersOf(name)) {
            MembershipEntry entry = entries.get(watcher.name());
            if (entry == null
                    || !entry.linked
                    || entry.suspectedBy.size() > (entry.suspectedBy.contains(reporter) ? 1 : 0)) {
                continue;
            }
            if (!soleWatcher.equals(NO_PEER)) {
                return null;
            }
            soleWatcher = watcher.name();
        }
        return soleWatcher;
    }
}
