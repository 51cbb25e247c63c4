/**
 * Quotas of tenants, counted over all edges. The coordinator gives out rights, each for one request and for a short
 * time, from one token bucket a tenant; edges spend only rights that they hold, so that the error is bounded by
 * construction. Pure: time comes in as an argument.
 */
package brambletray.platform.quota;
