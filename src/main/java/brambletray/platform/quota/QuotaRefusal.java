package brambletray.platform.quota;

/** No right is granted: the tenant has reached its limit or is unknown. */
public record QuotaRefusal(long id, int retryAfterMs) implements QuotaResponse {}
