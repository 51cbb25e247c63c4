package brambletray.platform.edge;

import brambletray.platform.proxy.QuotaGate;
import brambletray.platform.quota.QuotaParameters;
import brambletray.platform.quota.QuotaReturn;
import brambletray.platform.quota.RunAheadAllowances;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;

/** The rights granted to this edge until they are spent or returned. Confined to the event loop. */
final class HeldRights {
    private final LongSupplier clock;
    private final RunAheadAllowances allowances;
    /** In the order of their grants. */
    private final ArrayDeque<HeldRight> rights = new ArrayDeque<>();

    HeldRights(LongSupplier clock, RunAheadAllowances allowances) {
        this.clock = clock;
        this.allowances = allowances;
    }

    /** A right; its validity is counted from its request, by the monotonic clock. */
    final class HeldRight implements QuotaGate.Right {
        private final String tenant;
        private final long requestedAtMs;
        private final long validUntilMs;
        private boolean isSpent;
        private boolean isReturned;

        private HeldRight(String tenant, long requestedAtMs) {
            this.tenant = tenant;
            this.requestedAtMs = requestedAtMs;
            validUntilMs = requestedAtMs + QuotaParameters.RIGHT_VALIDITY_MS;
        }

        @Override
        public boolean isValid() {
            return !isReturned && clock.getAsLong() < validUntilMs;
        }

        @Override
        public void spend() {
            isSpent = true;
            if (isReturned) {
                allowances.addUnreported(tenant, 1);
            }
        }
    }

    /** Adds a granted right that was requested at this time. */
    HeldRight add(String tenant, long requestedAtMs) {
        HeldRight right = new HeldRight(tenant, requestedAtMs);
        rights.add(right);
        return right;
    }

    boolean isEmpty() {
        return rights.isEmpty();
    }

    /** A right for a request sent on the run-ahead allowance, where it is counted already. */
    QuotaGate.Right runAheadRight(long nowMs) {
        HeldRight right = new HeldRight(null, nowMs);
        right.isSpent = true;
        return right;
    }

    /** Drops all rights: those of a former coordinator are not returned to the next. */
    void onTerm(long term) {
        rights.clear();
    }

    /**
     * Removes rights that were not spent in time, and returns them by tenant. Rights beyond the maximum age for a
     * return, which occur after a pause of this process, are lost: the coordinator would take them for newer ones that
     * may still be spent.
     */
    List<QuotaReturn> takeReturns(long nowMs) {
        Map<String, Integer> unspent = new HashMap<>();
        while (!rights.isEmpty() && (rights.peek().isSpent || nowMs >= rights.peek().validUntilMs)) {
            HeldRight right = rights.poll();
            if (!right.isSpent) {
                right.isReturned = true;
            }
            if (!right.isSpent && nowMs - right.requestedAtMs <= QuotaParameters.MAX_RETURN_AGE_MS) {
                unspent.merge(right.tenant, 1, Integer::sum);
            }
        }
        List<QuotaReturn> returns = new ArrayList<>();
        unspent.forEach((tenant, count) -> returns.add(new QuotaReturn(tenant, count)));
        return returns;
    }
}
