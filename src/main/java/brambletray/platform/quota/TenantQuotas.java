package brambletray.platform.quota;

import brambletray.platform.configuration.Tenant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The one giver of rights under the quotas of all tenants, in its term. It begins with empty buckets, as it does not
 * know what a former giver gave just before. Pure: time comes in as steady ms.
 */
public final class TenantQuotas {
    /** What a tenant that is not known is told to wait, ms. */
    private static final int UNKNOWN_TENANT_RETRY_AFTER_MS = 1_000;
    /** An unlimited tenant's request needs no right, and none when the coordinator is lost. */
    private static final int UNLIMITED_RUN_AHEAD = 1_000;

    private final QuotaParameters parameters;
    private Map<String, Tenant> tenants = Map.of();
    /** Of the limited tenants. */
    private final Map<String, TenantQuota> quotas = new HashMap<>();

    /** Knows no tenant yet. */
    public TenantQuotas(QuotaParameters terms) {
        this.parameters = terms;
    }

    /**
     * The tenants of the newest configuration, by name. Limits hold at once, and refill nothing; a tenant that is new,
     * or is limited from now on, begins with an empty bucket.
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

    /** An edge asks for the right to send one request. */
    public QuotaResponse onRequest(EdgeIncarnation edge, QuotaRequest request, long nowMs) {
        TenantQuota quota = quotas.get(request.tenant());
        if (quota != null) {
            return quota.onRequest(edge, request.id(), nowMs);
        }
        return tenants.containsKey(request.tenant())
                ? new QuotaGrant(request.id(), UNLIMITED_RUN_AHEAD)
                : new QuotaRefusal(request.id(), UNKNOWN_TENANT_RETRY_AFTER_MS);
    }

    /** An edge has sent requests without rights. */
    public void onDebit(QuotaDebit debit, long nowMs) {
        TenantQuota quota = quotas.get(debit.tenant());
        if (quota != null && debit.requests() > 0) {
            quota.onDebit(debit.requests(), nowMs);
        }
    }

    /** An edge gives back rights that it did not spend. */
    public void onReturn(QuotaReturn unspent, long nowMs) {
        TenantQuota quota = quotas.get(unspent.tenant());
        if (quota != null && unspent.rights() > 0) {
            quota.onReturn(unspent.rights(), nowMs);
        }
    }

    /** Of the limited tenants, for operators. */
    public List<TenantUsage> usages(long nowMs) {
        List<TenantUsage> usages = new ArrayList<>();
        for (TenantQuota quota : quotas.values()) {
            usages.add(quota.usage(nowMs));
        }
        return usages;
    }
}
