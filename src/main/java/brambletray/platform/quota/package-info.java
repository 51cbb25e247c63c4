/**
 * Quotas of tenants over all edges. The coordinator grants rights, each for one request and valid for a short time,
 * from one token bucket per tenant. Edges spend only rights that they hold, so the overage is bounded by construction.
 * An edge that has lost the coordinator may send a limited number of requests without rights: its run-ahead. Pure:
 * callers pass the time.
 */
package brambletray.platform.quota;
