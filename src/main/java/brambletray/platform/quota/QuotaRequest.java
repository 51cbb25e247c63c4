package brambletray.platform.quota;

/** From an edge to the coordinator: requests the right to send one request of a tenant. */
public record QuotaRequest(long id, String tenant) {}
