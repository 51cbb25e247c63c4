package brambletray.platform.operations;

/** A change to the {@link OperationRegistry}, applied in the order of the replicated log. */
public sealed interface OperationCommand {
    /** The claim that is made or released. */
    ClaimId claim();

    /** The name by tenant of the operation. */
    OperationKey key();

    /**
     * Claims an operation unless another claim on one of its names is active.
     *
     * @param edge name of the edge that makes the claim
     */
    record Claim(ClaimId claim, OperationNames names, String edge) implements OperationCommand {
        @Override
        public OperationKey key() {
            return names.byTenant();
        }
    }

    /** Ends the claim if it is active, under all its names: its request has not run and never will. */
    record Release(ClaimId claim, OperationKey key) implements OperationCommand {}
}
