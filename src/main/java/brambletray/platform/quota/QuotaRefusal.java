package brambletray.platform.quota;

/** The tenant is beyond its limit. */
public record QuotaRefusal(long id, int retryAfterMs) implements QuotaResponse {}
