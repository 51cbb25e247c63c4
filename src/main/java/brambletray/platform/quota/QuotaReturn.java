package brambletray.platform.quota;

/** From an edge: rights of a tenant that were granted a short time ago, were not spent and never will be. */
public record QuotaReturn(String tenant, int rights) {}
