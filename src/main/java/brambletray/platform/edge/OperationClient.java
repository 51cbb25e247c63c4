package brambletray.platform.edge;

import brambletray.platform.edge.OperationResults.Result;
import brambletray.platform.operations.ClaimId;
import brambletray.platform.operations.ClaimWindow;
import brambletray.platform.operations.OperationKey;
import brambletray.platform.operations.ResultQuery;
import brambletray.platform.operations.ResultResponse;
import brambletray.platform.proxy.OperationGate;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;

/**
 * Operations at this edge (rule TWICE): claims them at the coordinator for requests of this edge, remembers what became
 * of each claim, and gives the first attempt's answer to the attempts that repeat it here or at other edges. For the
 * event loop only.
 */
final class OperationClient implements OperationGate {
    /** ms until an operation whose former claim has not run is claimed again; how often. */
    private static final int RECLAIM_DELAY_MS = 40;

    private static final int MAX_RECLAIMS = 5;
    /** ms between two checks whether other edges can still answer. */
    private static final int QUERY_CHECK_MS = 50;
    /** ms beyond the window for which results are remembered: the log's time is behind the steady clock. */
    private static final int RETENTION_MARGIN_MS = 15_000;

    private static final int MAX_RESULTS = 50_000;
    private static final long MAX_RESULT_BYTES = 16L << 20;
    /** Time to retry in ms where nothing better is known. */
    private static final int RETRY_AFTER_MS = 300;

    private final long incarnation;
    private final int windowMs;
    private final OperationTransport transport;
    private final LongSupplier clock;
    private final OperationResults results;
    private final ClaimClient claimClient;
    private final ResultQueries queries;
    private final Map<Listener, Waiter> waiters = new HashMap<>();

    /** {@code windowMs}: for how long an operation runs at most once. */
    OperationClient(long incarnation, int windowMs, OperationTransport transport, LongSupplier clock) {
        this.incarnation = incarnation;
        this.windowMs = windowMs;
        this.transport = transport;
        this.clock = clock;
        results = new OperationResults(windowMs + RETENTION_MARGIN_MS, MAX_RESULTS, MAX_RESULT_BYTES);
        claimClient = new ClaimClient(incarnation, windowMs, transport, clock);
        queries = new ResultQueries(transport);
    }

    // ---- Attempts of clients here -------------------------------------------------------------------
    @Override
    public void claim(OperationKey operation, int maxWaitMs, Listener listener) {
        Waiter waiter = new Waiter(operation, maxWaitMs, listener);
        waiters.put(listener, waiter);
        waiter.start();
    }

    @Override
    public Progress cancel(Listener listener) {
        Waiter waiter = waiters.remove(listener);
        return waiter == null ? Progress.NOT_CLAIMED : waiter.cancel();
    }

    /** One attempt that waits for its claim, or for the end of the attempt that came first. */
    private final class Waiter implements ClaimClient.Listener {
        private final OperationKey operation;
        private final int maxWaitMs;
        private final Listener listener;
        /** Requested for this attempt and not answered; null: none. */
        private ClaimId requested;
        /** Whether an attempt at this edge came first and is running. */
        /** The claim of this edge whose end is waited for; null: none. */
        private ClaimId watched;
        /** The query to the edge of the attempt that came first; 0: none. */
        private long queryId;

        private int reclaims;
        /** When the operation is claimed again, steady ms; 0: not due. */
        private long reclaimAtMs;

        Waiter(OperationKey operation, int maxWaitMs, Listener listener) {
            this.operation = operation;
            this.maxWaitMs = maxWaitMs;
            this.listener = listener;
        }

        void start() {
            ClaimId here = results.claimSince(operation, clock.getAsLong() - windowMs);
            Result known = here == null ? Result.NOT_RUN : results.find(here);
            if (known == Result.NOT_RUN) {
                request();
            } else {
                follow(here, known);
            }
        }

        private void request() {
            reclaimAtMs = 0;
            requested = claimClient.claim(operation, maxWaitMs, this);
            if (requested == null) {
                finish(() -> listener.onUnavailable(RETRY_AFTER_MS));
            } else {
                results.onRequested(requested, operation, clock.getAsLong());
            }
        }

        /** An attempt at this edge came first. */
        private void follow(ClaimId holder, Result known) {
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
                    claim, operation, claimedAtMs + ClaimWindow.MAX_SEND_DELAY_MS, results, claimClient, clock);
        }

        @Override
        public void onHeld(ClaimId holder, String holderEdge) {
            endRequested();
            if (holder.incarnation() == incarnation) {
                follow(holder, findHere(holder, operation));
            } else if (!holderEdge.equals(transport.self())
                    && transport.isReachable(holderEdge, holder.incarnation())) {
                queryId = queries.ask(holder, holderEdge, this::onResult);
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
            boolean inWorkHere = watched != null && !claimClient.isPending(watched);
            boolean inWork = inWorkHere || queries.isRunning(queryId);
            boolean unanswered = queryId != 0;
            queries.cancel(queryId);
            return inWork ? Progress.IN_WORK : unanswered ? Progress.UNKNOWN : Progress.NOT_CLAIMED;
        }

        void tick(long now) {
            if (reclaimAtMs != 0 && now >= reclaimAtMs) {
                request();
            }
        }
    }

    /** What is known of a claim of this process; one that will not run is released, as its release may be lost. */
    private Result findHere(ClaimId claim, OperationKey operation) {
        Result known = results.find(claim);
        OperationKey key = operation == null ? results.key(claim) : operation;
        if (known == Result.NOT_RUN && key != null) {
            claimClient.release(claim, key);
        }
        return known;
    }

    // ---- Other programs -----------------------------------------------------------------------------
    /** A frame of the coordinator; false: not for this class. */
    boolean onCoordinatorFrame(Object frame) {
        return claimClient.onFrame(frame);
    }

    void onAttached() {
        claimClient.onAttached();
    }

    /** A frame of another edge; false: not for this class. */
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
        Result known = holder.incarnation() == incarnation ? findHere(holder, null) : Result.UNKNOWN;
        if (known == Result.RUNNING) {
            results.watch(
                    holder, result -> transport.respondToEdge(edge, ResultQueries.response(query.queryId(), result)));
        }
        transport.respondToEdge(edge, ResultQueries.response(query.queryId(), known));
    }

    void onLinkUp(String edge) {
        queries.onLinkUp(edge);
    }

    // ---- Time ---------------------------------------------------------------------------------------
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

    /** Forgets results that nobody can ask for any more; to be called every few seconds. */
    void forgetOld() {
        results.forgetOld(clock.getAsLong());
    }
}
