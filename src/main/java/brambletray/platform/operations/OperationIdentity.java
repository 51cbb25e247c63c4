package brambletray.platform.operations;

import brambletray.platform.configuration.KeyDigest;

/**
 * Identifies the operation of a request as an edge sees it. The names depend on the edge's configuration, which may be
 * older than that of the core, so they come with the assignment that they were derived from.
 *
 * @param assignment null if the request has no credential
 */
public record OperationIdentity(OperationNames names, TenantAssignment assignment) {
    /**
     * The operation of a request.
     *
     * @param tenant name of the tenant of the request; empty for an anonymous request
     * @param credential null if the request has none
     * @param operationKey the operation key that the client sent
     */
    public static OperationIdentity of(String tenant, KeyDigest credential, String operationKey) {
        OperationKey byTenant = OperationKey.of(tenant, operationKey);
        if (credential == null) {
            return withoutCredential(byTenant);
        }
        OperationKey byCredential = OperationKey.of(credential, operationKey);
        return new OperationIdentity(
                new OperationNames(byTenant, byCredential), new TenantAssignment(credential, tenant));
    }

    /** The operation of a request without a credential. */
    public static OperationIdentity withoutCredential(OperationKey byTenant) {
        return new OperationIdentity(OperationNames.withoutCredential(byTenant), null);
    }
}
