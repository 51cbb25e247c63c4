package brambletray.platform.quota;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;

/**
 * Divides the run-ahead of one tenant among the edges (escrow): how many requests each may send without a right once
 * it has lost the coordinator. The shares never exceed the total: a share stays reserved until no request sent under
 * it can fall into the same window as a later one, whether or not the edge is heard from again.
 */
final class RunAheadShares {
    /** The run-ahead of one grant to an edge, reserved until it expires. */
    private record Allowance(int amount, long expiresAtMs) {}

    /**
     * The reserved allowances of one edge, each smaller than the one before and later to expire. A larger, earlier one
     * stays reserved as the edge may not have received the grant that replaces it.
     */
    private static final class Share {
        private final ArrayDeque<Allowance> allowances = new ArrayDeque<>();

        int reservedAmount(long nowMs) {
            removeExpired(nowMs);
            return allowances.isEmpty() ? 0 : allowances.peekFirst().amount();
        }

        void add(int amount, long expiresAtMs, long nowMs) {
            removeExpired(nowMs);
            while (!allowances.isEmpty() && allowances.peekLast().amount() <= amount) {
                allowances.removeLast();
            }
            allowances.addLast(new Allowance(amount, expiresAtMs));
        }

        private void removeExpired(long nowMs) {
            while (!allowances.isEmpty() && nowMs >= allowances.peekFirst().expiresAtMs()) {
                allowances.removeFirst();
            }
        }

        boolean isExpired(long nowMs) {
            removeExpired(nowMs);
            return allowances.isEmpty();
        }
    }

    private final Map<EdgeIncarnation, Share> shares = new HashMap<>();
    private final long noSharesBeforeMs;

    /** {@code noSharesBeforeMs}: until then, shares of a previous coordinator may be in use and none are given. */
    RunAheadShares(long noSharesBeforeMs) {
        this.noSharesBeforeMs = noSharesBeforeMs;
    }

    /**
     * Renews the share of an edge that has demand: an even part among the edges that have demand.
     *
     * @param available requests that all edges together may hold as shares
     * @param expiresAtMs until when the new share stays reserved
     */
    int renew(EdgeIncarnation edge, int available, long expiresAtMs, long nowMs) {
        if (nowMs < noSharesBeforeMs) {
            return 0;
        }
        removeExpired(nowMs);
        Share share = shares.computeIfAbsent(edge, none -> new Share());
        int heldByOthers = total(nowMs) - share.reservedAmount(nowMs);
        int evenShare = Math.max(1, available / shares.size());
        int amount = Math.max(0, Math.min(evenShare, available - heldByOthers));
        share.add(amount, expiresAtMs, nowMs);
        return amount;
    }

    /** The reserved shares of all edges together. */
    int total(long nowMs) {
        int total = 0;
        for (Share share : shares.values()) {
            total += share.isExpired(nowMs) ? 0 : share.reservedAmount(nowMs);
        }
        return total;
    }

    private void removeExpired(long nowMs) {
        Iterator<Share> iterator = shares.values().iterator();
        while (iterator.hasNext()) {
            if (iterator.next().isExpired(nowMs)) {
                iterator.remove();
            }
        }
    }
}
