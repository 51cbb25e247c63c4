package brambletray.platform.quota;

/** From the coordinator: the answer to a {@link QuotaRequest}. */
public sealed interface QuotaResponse permits QuotaGrant, QuotaRefusal {
    /** Of the request that it answers. */
    long id();
}
