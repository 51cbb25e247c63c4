package brambletray.platform.quota;

/**
 * The right to send one request.
 *
 * @param runAhead requests of this tenant that the edge may send without a right once it has lost the coordinator;
 *     replaces the value of earlier grants
 */
public record QuotaGrant(long id, int runAhead) implements QuotaResponse {}
