package brambletray.platform.controlplane;

import brambletray.platform.configuration.Configuration;
import brambletray.platform.quota.EdgeIncarnation;
import brambletray.platform.quota.QuotaDebit;
import brambletray.platform.quota.QuotaParameters;
import brambletray.platform.quota.QuotaRequest;
import brambletray.platform.quota.QuotaReturn;
import brambletray.platform.quota.TenantQuotas;
import brambletray.platform.quota.TenantUsage;
import java.util.List;

/**
 * Gives edges the rights under the quotas of tenants, in the coordinator's term. There is one giver at a time: rights
 * are given only while the term may act, and a new giver begins with nothing. For the event loop only.
 */
final class EdgeQuotas {
    private final EdgeCoordinator.Authority authority;
    private final TenantQuotas quotas;
    /** The newest configuration is known: what is still being applied may hold lower limits. */
    private boolean isInformed;

    EdgeQuotas(EdgeCoordinator.Authority authority, QuotaParameters terms) {
        this.authority = authority;
        quotas = new TenantQuotas(terms);
    }

    /** Another configuration was applied. */
    void onConfigurationChanged(Configuration configuration, long nowMs) {
        isInformed = true;
        quotas.updateTenants(configuration.tenants(), nowMs);
    }

    /** What this edge wants of quotas; false: the frame is not about them. */
    boolean receive(ConnectedEdges.ConnectedEdge edge, Object frame, long nowMs) {
        if (frame instanceof QuotaRequest request) {
            onRequest(edge, request, nowMs);
        } else if (frame instanceof QuotaDebit debit) {
            quotas.onDebit(debit, nowMs);
        } else if (frame instanceof QuotaReturn unspent) {
            quotas.onReturn(unspent, nowMs);
        } else {
            return false;
        }
        return true;
    }

    private void onRequest(ConnectedEdges.ConnectedEdge edge, QuotaRequest request, long nowMs) {
        if (edge.isFollowing() && isInformed && authority.isSettled() && authority.mayAct()) {
            edge.send(quotas.onRequest(new EdgeIncarnation(edge.name(), edge.incarnation()), request, nowMs));
        }
    }

    /** Of the limited tenants, for operators. */
    List<TenantUsage> usages(long nowMs) {
        return quotas.usages(nowMs);
    }
}
