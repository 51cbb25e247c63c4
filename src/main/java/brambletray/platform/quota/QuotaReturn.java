package brambletray.platform.quota;

/** From an edge: returns recently granted rights of a tenant that were not spent and never will be. */
public record QuotaReturn(String tenant, int rights) {}
