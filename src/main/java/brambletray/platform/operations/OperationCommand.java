package brambletray.platform.operations;

/** A change to the {@link OperationRegistry}, applied in the order of the replicated log. */
public sealed interface OperationCommand {
    /** The claim that is made or released. */
    ClaimId claim();

    /** The key of the claim. */
    OperationKey key();

    /**
     * Claims the key unless another claim on it is active.
     *
     * @param edge name of the edge that makes the claim
     */
    record Claim(ClaimId claim, OperationKey key, String edge) implements OperationCommand {}

    /** Ends the claim if it is active: its request has not run and never will. */
    record Release(ClaimId claim, OperationKey key) implements OperationCommand {}
}
