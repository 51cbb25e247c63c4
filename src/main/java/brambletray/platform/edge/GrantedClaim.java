package brambletray.platform.edge;

import brambletray.platform.edge.OperationResults.Result;
import brambletray.platform.operations.ClaimId;
import brambletray.platform.operations.OperationKey;
import brambletray.platform.proxy.OperationClaim;
import brambletray.platform.proxy.RecordedAnswer;
import java.util.function.LongSupplier;

/** A claim granted to this edge, as seen by the request that holds it. */
final class GrantedClaim implements OperationClaim {
    private final ClaimId claim;
    private final OperationKey operation;
    private final long usableUntilMs;
    private final OperationResults results;
    private final ClaimClient claimClient;
    private final LongSupplier clock;

    /** {@code usableUntilMs}: until when the request may be sent, monotonic ms; well before the claim expires. */
    GrantedClaim(
            ClaimId claim,
            OperationKey operation,
            long usableUntilMs,
            OperationResults results,
            ClaimClient claimClient,
            LongSupplier clock) {
        this.claim = claim;
        this.operation = operation;
        this.usableUntilMs = usableUntilMs;
        this.results = results;
        this.claimClient = claimClient;
        this.clock = clock;
    }

    @Override
    public boolean isUsable() {
        return clock.getAsLong() < usableUntilMs;
    }

    @Override
    public void complete(RecordedAnswer answer) {
        results.end(claim, Result.done(answer));
    }

    @Override
    public void release() {
        claimClient.release(claim, operation);
        results.end(claim, Result.NOT_RUN);
    }

    @Override
    public void abandon() {
        results.end(claim, Result.UNKNOWN);
    }
}
