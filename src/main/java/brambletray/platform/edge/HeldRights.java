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

/** The rights that were granted to this edge, until they are spent or go back. For the event loop only. */
final class HeldRights {
    private final LongSupplier clock;
    private final RunAheadAllowances allowances;
    /** In the order in which they came. */
    private final ArrayDeque<HeldRight> rights = new ArrayDeque<>();

    HeldRights(LongSupplier clock, RunAheadAllowances allowances) {
        this.clock = clock;
        this.allowances = allowances;
    }

    /** One right, valid by the steady clock from when it was asked for. */
    final class HeldRight implements QuotaGate.Right {
        private final String tenant;
        private final long askedAtMs;
        private final long validUntilMs;
        private boolean isSpent;
        private boolean isReturned;

        private HeldRight(String tenant, long askedAtMs) {
            this.tenant = tenant;
            this.askedAtMs = askedAtMs;
            validUntilMs = askedAtMs + QuotaParameters.RIGHT_VALIDITY_MS;
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

    /** A right was granted that was asked for at this time. */
    HeldRight add(String tenant, long askedAtMs) {
        HeldRight right = new HeldRight(tenant, askedAtMs);
        rights.add(right);
        return right;
    }

    boolean isEmpty() {
        return rights.isEmpty();
    }

    /** For a request that is sent ahead of its right, and is counted already. */
    QuotaGate.Right sentAhead(long nowMs) {
        HeldRight right = new HeldRight(null, nowMs);
        right.isSpent = true;
        return right;
    }

    /** Rights of another coordinator than this term's go back to nobody. */
    void onTerm(long term) {
        rights.clear();
    }

    /**
     * What goes back, as it was not spent in time. Rights that are older, as this process was frozen, are lost: the
     * giver would take them for newer ones that may be spent still.
     */
    List<QuotaReturn> takeReturns(long nowMs) {
        Map<String, Integer> unspent = new HashMap<>();
        while (!rights.isEmpty() && (rights.peek().isSpent || nowMs >= rights.peek().validUntilMs)) {
            HeldRight right = rights.poll();
            if (!right.isSpent) {
                right.isReturned = true;
            }
            if (!right.isSpent && nowMs - right.askedAtMs <= QuotaParameters.MAX_RETURN_AGE_MS) {
                unspent.merge(right.tenant, 1, Integer::sum);
            }
        }
        List<QuotaReturn> returns = new ArrayList<>();
        unspent.forEach((tenant, count) -> returns.add(new QuotaReturn(tenant, count)));
        return returns;
    }
}
