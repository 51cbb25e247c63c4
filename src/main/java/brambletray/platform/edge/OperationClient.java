package brambletray.platform.edge;

import brambletray.platform.edge.OperationResults.Result;
import brambletray.platform.operations.ClaimId;
import brambletray.platform.operations.ClaimWindow;
import brambletray.platform.operations.OperationIdentity;
import brambletray.platform.operations.OperationKey;
import brambletray.platform.operations.ResultQuery;
import brambletray.platform.operations.ResultResponse;
import brambletray.platform.proxy.OperationGate;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;

/**
 * Runs each operation at most once (rule TWICE): claims operations at the coordinator for requests of this edge,
 * records the result of each claim, and returns the first attempt's answer to repeated attempts at this and other
 * edges. Confined to the event loop.
 */
final class OperationClient implements OperationGate {
    /** Delay in ms before an operation is claimed again after its holder released it without running it. */
    private static final int RECLAIM_DELAY_MS = 40;

    private static final int MAX_RECLAIMS = 5;
    /** Interval in ms between checks whether queried edges can still answer. */
    private static final int QUERY_CHECK_MS = 50;
    /** Time in ms beyond the window for which results are retained: the log's time lags behind the monotonic clock. */
    private static final int RETENTION_MARGIN_MS = 15_000;

    private static final int MAX_RESULTS = 50_000;
    private static final long MAX_RESULT_BYTES = 16L << 20;
    /** Default retry delay in ms. */
    private static final int RETRY_AFTER_MS = 300;

    private final long incarnation;
    private final int windowMs;
    private final OperationTransport transport;
    private final LongSupplier clock;
    private final OperationResults results;
    private final ClaimClient claimClient;
    private final ResultQueries queries;
    private final Map<Listener, Waiter> waiters = new HashMap<>();

    /** {@code windowMs}: time within which an operation runs at most once. */
    OperationClient(long incarnation, int windowMs, OperationTransport transport, LongSupplier clock) {
        this.incarnation = incarnation;
        this.windowMs = windowMs;
        this.transport = transport;
        this.clock = clock;
        results = new OperationResults(windowMs + RETENTION_MARGIN_MS, MAX_RESULTS, MAX_RESULT_BYTES);
        claimClient = new ClaimClient(incarnation, windowMs, transport, clock);
        queries = new ResultQueries(transport);
    }

    // ---- Attempts at this edge ----------------------------------------------------------------------
    @Override
    public void claim(OperationIdentity operation, int maxWaitMs, Listener listener) {
        Waiter waiter = new Waiter(operation, maxWaitMs, listener);
        waiters.put(listener, waiter);
        waiter.start();
    }

    @Override
    public Progress cancel(Listener listener) {
        Waiter waiter = waiters.remove(listener);
        return waiter == null ? Progress.NOT_CLAIMED : waiter.cancel();
    }

    /** An attempt that waits for its claim, or for the result of the attempt that holds the claim. */
    private final class Waiter implements ClaimClient.Listener {
        private final OperationIdentity operation;
        private final int maxWaitMs;
        private final Listener listener;
        /** The claim requested for this attempt and not answered yet; null: none. */
        private ClaimId requested;
        /** The running claim of this edge whose result this attempt waits for; null: none. */
        private ClaimId watched;
        /** The id of the query to the edge that holds the claim; 0: none. */
        private long queryId;

        private int reclaims;
        /** When the operation is to be claimed again, monotonic ms; 0: not scheduled. */
        private long reclaimAtMs;

        Waiter(OperationIdentity operation, int maxWaitMs, Listener listener) {
            this.operation = operation;
            this.maxWaitMs = maxWaitMs;
            this.listener = listener;
        }

        void start() {
            ClaimId localClaim = results.claimSince(operation.names(), clock.getAsLong() - windowMs);
            Result known = localClaim == null ? Result.NOT_RUN : results.find(localClaim);
            if (known == Result.NOT_RUN) {
                request();
            } else {
                awaitResult(localClaim, known);
            }
        }

        private OperationKey key() {
            return operation.names().byTenant();
        }

        private void request() {
            reclaimAtMs = 0;
            requested = claimClient.claim(operation, maxWaitMs, this);
            if (requested == null) {
                finish(() -> listener.onUnavailable(RETRY_AFTER_MS));
            } else {
                results.onRequested(requested, operation.names(), clock.getAsLong());
            }
        }

        /** Waits for the result of an earlier attempt at this edge. */
        private void awaitResult(ClaimId holder, Result known) {
            if (known == Result.RUNNING) {
                watched = holder;
                results.watch(holder, this::onResult);
            } else {
                onResult(known);
            }
        }

        private void onResult(Result result) {
            watched = null;
            queryId = 0;
            if (!isWaiting()) {
                return;
            }
            switch (result.state()) {
                case DONE -> finish(() -> listener.onAnswered(result.answer()));
                case UNKNOWN -> finish(listener::onUnknown);
                default -> reclaim();
            }
        }

        private void reclaim() {
            if (++reclaims > MAX_RECLAIMS) {
                finish(() -> listener.onUnavailable(RETRY_AFTER_MS));
            } else {
                reclaimAtMs = clock.getAsLong() + RECLAIM_DELAY_MS;
                scheduleReclaim();
            }
        }

        private void scheduleReclaim() {
            if (reclaimAtMs != 0) {
                transport.scheduleTick(reclaimAtMs);
            }
        }

        @Override
        public void onGranted(ClaimId claim, long claimedAtMs) {
            requested = null;
            finish(() -> listener.onClaimed(grantedClaim(claim, claimedAtMs)));
        }

        private GrantedClaim grantedClaim(ClaimId claim, long claimedAtMs) {
            return new GrantedClaim(
                    claim, key(), claimedAtMs + ClaimWindow.MAX_SEND_DELAY_MS, results, claimClient, clock);
        }

        @Override
        public void onHeld(ClaimId holder, String holderEdge) {
            endRequested();
            if (holder.incarnation() == incarnation) {
                awaitResult(holder, findLocal(holder, key()));
            } else if (!holderEdge.equals(transport.self())
                    && transport.isReachable(holderEdge, holder.incarnation())) {
                queryId = queries.send(holder, holderEdge, this::onResult);
                transport.scheduleTick(clock.getAsLong() + QUERY_CHECK_MS);
            } else {
                onResult(Result.UNKNOWN);
            }
        }

        @Override
        public void onUnavailable(int retryAfterMs) {
            endRequested();
            finish(() -> listener.onUnavailable(retryAfterMs));
        }

        private void endRequested() {
            ClaimId ended = requested;
            requested = null;
            results.end(ended, Result.NOT_RUN);
        }

        private boolean isWaiting() {
            return waiters.get(listener) == this;
        }

        private void finish(Runnable callback) {
            if (waiters.remove(listener, this)) {
                callback.run();
            }
        }

        Progress cancel() {
            if (requested != null) {
                claimClient.cancel(requested);
                endRequested();
                return Progress.NOT_CLAIMED;
            }
            boolean isRunningLocally = watched != null && !claimClient.isPending(watched);
            boolean isRunning = isRunningLocally || queries.isRunning(queryId);
            boolean isUnanswered = queryId != 0;
            queries.cancel(queryId);
            return isRunning ? Progress.IN_PROGRESS : isUnanswered ? Progress.UNKNOWN : Progress.NOT_CLAIMED;
        }

        void tick(long now) {
            if (reclaimAtMs != 0 && now >= reclaimAtMs) {
                request();
            }
        }
    }

    /** The result of a claim of this process. Releases a claim that will not run again: its release may be lost. */
    private Result findLocal(ClaimId claim, OperationKey operation) {
        Result known = results.find(claim);
        OperationKey key = operation == null ? results.key(claim) : operation;
        if (known == Result.NOT_RUN && key != null) {
            claimClient.release(claim, key);
        }
        return known;
    }

    // ---- Frames of other processes ------------------------------------------------------------------
    /** Handles a frame of the coordinator; returns false if it is not for this class. */
    boolean onCoordinatorFrame(Object frame) {
        return claimClient.onFrame(frame);
    }

    void onAttached() {
        claimClient.onAttached();
    }

    /** Handles a frame of another edge; returns false if it is not for this class. */
    boolean onEdgeFrame(String edge, Object frame) {
        if (frame instanceof ResultQuery query) {
            onQuery(edge, query);
        } else if (frame instanceof ResultResponse response) {
            queries.onResponse(edge, response);
        } else {
            return false;
        }
        return true;
    }

    private void onQuery(String edge, ResultQuery query) {
        ClaimId holder = query.holder();
        Result known = holder.incarnation() == incarnation ? findLocal(holder, null) : Result.UNKNOWN;
        if (known == Result.RUNNING) {
            results.watch(holder, result -> transport.respondToEdge(edge, ResultQueries.response(query, result)));
        }
        transport.respondToEdge(edge, ResultQueries.response(query, known));
    }

    void onLinkUp(String edge) {
        queries.onLinkUp(edge);
    }

    // ---- Timers -------------------------------------------------------------------------------------
    void tick() {
        long now = clock.getAsLong();
        claimClient.tick();
        queries.tick();
        List.copyOf(waiters.values()).forEach(waiter -> waiter.tick(now));
        if (!queries.isEmpty()) {
            transport.scheduleTick(now + QUERY_CHECK_MS);
        }
        waiters.values().forEach(Waiter::scheduleReclaim);
    }

    /** Removes results that no attempt can ask for any more; to be called every few seconds. */
    void removeExpired() {
        results.removeExpired(clock.getAsLong());
    }
}
