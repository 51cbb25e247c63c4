package brambletray.platform.operations;

/** A change of the {@link OperationRegistry}, in the order of the replicated log. */
public sealed interface OperationCommand {
    /** The claim that is made or ended. */
    ClaimId claim();

    /** The key that it claims or claimed. */
    OperationKey key();

    /**
     * Claims the key unless another claim on it stands.
     *
     * @param edge name of the edge that drew the claim
     */
    record Claim(ClaimId claim, OperationKey key, String edge) implements OperationCommand {}

    /** Ends the claim, if it stands: its request has not run and never will. */
    record Release(ClaimId claim, OperationKey key) implements OperationCommand {}
}
