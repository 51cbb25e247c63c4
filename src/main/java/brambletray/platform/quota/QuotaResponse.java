package brambletray.platform.quota;

/** From the coordinator: the answer to a {@link QuotaRequest}. */
public sealed interface QuotaResponse permits QuotaGrant, QuotaRefusal {
    /** The id of the {@link QuotaRequest} that this answers. */
    long id();
}
