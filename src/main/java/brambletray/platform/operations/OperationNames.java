package brambletray.platform.operations;

/**
 * The names under which an operation is claimed. Two requests that share one of them are attempts of one operation.
 *
 * @param byTenant names it by the tenant of the request and the operation key
 * @param byCredential names it by the credential of the request and the operation key, and so does not change when the
 *     credential is passed on to another tenant; null if the request has no credential
 */
public record OperationNames(OperationKey byTenant, OperationKey byCredential) {
    /** The names of an operation whose request has no credential. */
    public static OperationNames withoutCredential(OperationKey byTenant) {
        return new OperationNames(byTenant, null);
    }
}
