package brambletray.platform.quota;

/** From an edge: requests of a tenant that reached an instance without a right, such as retries and hedges. */
public record QuotaDebit(String tenant, int requests) {}
