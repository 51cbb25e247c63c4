package brambletray.platform.quota;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;

/**
 * How many requests of one tenant each edge may send without a right once it has lost the coordinator (escrow). What
 * all edges may send so never exceeds the total: a share that was given counts until nothing that was sent by it can
 * fall into the same window as what comes after, whether the edge is heard of again or not.
 */
final class RunAheadShares {
    /** What one edge may hold: by its newest grant, and by a larger one before that it may not have seen replaced. */
    /** What an edge was told it may send ahead, until when that counts. */
    private record Allowance(int amount, long expiresAtMs) {}

    /** The allowances of one edge that still count; each is smaller than those before it, and ends later. */
    private static final class Share {
        private final ArrayDeque<Allowance> allowances = new ArrayDeque<>();

        int reservedAmount(long nowMs) {
            removeExpired(nowMs);
            return allowances.isEmpty() ? 0 : allowances.peekFirst().amount();
        }

        void add(int amount, long untilMs, long nowMs) {
            removeExpired(nowMs);
            while (!allowances.isEmpty() && allowances.peekLast().amount() <= amount) {
                allowances.removeLast();
            }
            allowances.addLast(new Allowance(amount, untilMs));
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

    /** {@code noneBeforeMs}: until then shares of a former giver may be in use, and none are given. */
    RunAheadShares(long noneBeforeMs) {
        this.noSharesBeforeMs = noneBeforeMs;
    }

    /**
     * Renews the share of an edge that has demand, evenly among those that have.
     *
     * @param available what all edges may hold together
     * @param heldUntilMs until when it counts
     */
    int renew(EdgeIncarnation edge, int available, long heldUntilMs, long nowMs) {
        if (nowMs < noSharesBeforeMs) {
            return 0;
        }
        removeExpired(nowMs);
        Share share = shares.computeIfAbsent(edge, none -> new Share());
        int others = total(nowMs) - share.reservedAmount(nowMs);
        int even = Math.max(1, available / shares.size());
        int amount = Math.max(0, Math.min(even, available - others));
        share.add(amount, heldUntilMs, nowMs);
        return amount;
    }

    /** What all edges may hold together now. */
    int total(long nowMs) {
        int total = 0;
        for (Share share : shares.values()) {
            total += share.isExpired(nowMs) ? 0 : share.reservedAmount(nowMs);
        }
        return total;
    }

    private void removeExpired(long nowMs) {
        Iterator<Share> each = shares.values().iterator();
        while (each.hasNext()) {
            if (each.next().isExpired(nowMs)) {
                each.remove();
            }
        }
    }
}
