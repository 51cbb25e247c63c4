package brambletray.platform.quota;

/**
 * One right.
 *
 * @param runAhead requests of this tenant that the edge may send without a right once it has lost the coordinator;
 *     replaces what was said before
 */
public record QuotaGrant(long id, int runAhead) implements QuotaResponse {}
