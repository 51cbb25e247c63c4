package brambletray.platform.quota;

/** From an edge: requests of a tenant that reached an instance without a right of their own (retries, hedges). */
public record QuotaDebit(String tenant, int requests) {}
