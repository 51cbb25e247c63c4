package brambletray.platform.quota;

import brambletray.platform.configuration.Tenant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The quotas of all tenants at the coordinator, which alone grants rights during its term. It starts with empty
 * buckets, as it does not know what the previous coordinator has just granted. Pure: callers pass the time, as ms of a
 * monotonic clock.
 */
public final class TenantQuotas {
    /** Retry delay in refusals for unknown tenants, ms. */
    private static final int UNKNOWN_TENANT_RETRY_AFTER_MS = 1_000;
    /** Run-ahead of tenants without a limit: their requests need no rights, with or without a coordinator. */
    private static final int UNLIMITED_RUN_AHEAD = 1_000;

    private final QuotaParameters parameters;
    private Map<String, Tenant> tenants = Map.of();
    /** The quotas of the limited tenants, by name. */
    private final Map<String, TenantQuota> quotas = new HashMap<>();

    /** Starts without tenants. */
    public TenantQuotas(QuotaParameters parameters) {
        this.parameters = parameters;
    }

    /**
     * Replaces the tenants by those of the newest configuration, by name. Changed limits apply at once without
     * refilling a bucket; a tenant that is new, or was unlimited before, starts with an empty bucket.
     */
    public void updateTenants(Map<String, Tenant> newest, long nowMs) {
        tenants = Map.copyOf(newest);
        quotas.keySet().removeIf(name -> !isLimited(name));
        for (Tenant tenant : tenants.values()) {
            if (tenant.isLimited()) {
                TenantQuota quota = quotas.get(tenant.name());
                if (quota == null) {
                    quotas.put(tenant.name(), new TenantQuota(tenant, parameters, nowMs));
                } else {
                    quota.updateLimits(tenant, nowMs);
                }
            }
        }
    }

    private boolean isLimited(String name) {
        Tenant tenant = tenants.get(name);
        return tenant != null && tenant.isLimited();
    }

    /** Answers the request of an edge for the right to send one request. */
    public QuotaResponse onRequest(EdgeIncarnation edge, QuotaRequest request, long nowMs) {
        TenantQuota quota = quotas.get(request.tenant());
        if (quota != null) {
            return quota.onRequest(edge, request.id(), nowMs);
        }
        return tenants.containsKey(request.tenant())
                ? new QuotaGrant(request.id(), UNLIMITED_RUN_AHEAD)
                : new QuotaRefusal(request.id(), UNKNOWN_TENANT_RETRY_AFTER_MS);
    }

    /** Debits requests that an edge has sent without rights. */
    public void onDebit(QuotaDebit debit, long nowMs) {
        TenantQuota quota = quotas.get(debit.tenant());
        if (quota != null && debit.requests() > 0) {
            quota.onDebit(debit.requests(), nowMs);
        }
    }

    /** Credits unspent rights that an edge returns. */
    public void onReturn(QuotaReturn unspent, long nowMs) {
        TenantQuota quota = quotas.get(unspent.tenant());
        if (quota != null && unspent.rights() > 0) {
            quota.onReturn(unspent.rights(), nowMs);
        }
    }

    /** Usage of the limited tenants, for operators. */
    public List<TenantUsage> usages(long nowMs) {
        List<TenantUsage> usages = new ArrayList<>();
        for (TenantQuota quota : quotas.values()) {
            usages.add(quota.usage(nowMs));
        }
        return usages;
    }
}
