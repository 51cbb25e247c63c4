package brambletray.platform.edge;

import brambletray.platform.edge.OperationResults.Result;
import brambletray.platform.operations.ClaimId;
import brambletray.platform.operations.OperationState;
import brambletray.platform.operations.ResultQuery;
import brambletray.platform.operations.ResultResponse;
import brambletray.platform.proxy.RecordedAnswer;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Queries to other edges for the result of a claim that one of them holds. An edge that cannot be reached, has left the
 * roster or runs as another incarnation can no longer answer: the claim is {@link OperationState#UNKNOWN}. Confined to
 * the event loop.
 */
final class ResultQueries {
    /** Delivers frames to other edges. */
    interface Transport {
        /** Whether this incarnation of an edge is in the roster and its link has not been down for too long. */
        boolean isReachable(String edge, long incarnation);

        /** The frame is lost if the link is not up. */
        void sendToEdge(String edge, Object frame);
    }

    private static final class PendingQuery {
        private final ClaimId holder;
        private final String edge;
        private final Consumer<Result> listener;
        private boolean isRunning;

        PendingQuery(ClaimId holder, String edge, Consumer<Result> listener) {
            this.holder = holder;
            this.edge = edge;
            this.listener = listener;
        }

        /** False for a response to a query of the former process of this edge, which had the same ids. */
        boolean isAnsweredBy(String respondingEdge, ResultResponse response) {
            return edge.equals(respondingEdge) && holder.equals(response.holder());
        }
    }

    private final Transport transport;
    private final Map<Long, PendingQuery> pending = new LinkedHashMap<>();
    private long lastId;

    ResultQueries(Transport transport) {
        this.transport = transport;
    }

    /** Queries the result of a claim and returns the query's id; calls the listener only afterwards. */
    long send(ClaimId holder, String edge, Consumer<Result> listener) {
        long id = ++lastId;
        pending.put(id, new PendingQuery(holder, edge, listener));
        transport.sendToEdge(edge, new ResultQuery(id, holder));
        return id;
    }

    /** Drops a query without calling its listener. */
    void cancel(long id) {
        pending.remove(id);
    }

    /** Whether the holder's edge has reported the claim as RUNNING. */
    boolean isRunning(long id) {
        PendingQuery query = pending.get(id);
        return query != null && query.isRunning;
    }

    /** Repeats queries once the link to this edge is up: frames sent before may be lost. */
    void onLinkUp(String edge) {
        pending.forEach((id, query) -> {
            if (query.edge.equals(edge)) {
                transport.sendToEdge(edge, new ResultQuery(id, query.holder));
            }
        });
    }

    void onResponse(String edge, ResultResponse response) {
        PendingQuery query = pending.get(response.queryId());
        if (query == null || !query.isAnsweredBy(edge, response)) {
            return;
        }
        if (response.state() == OperationState.RUNNING) {
            query.isRunning = true;
        } else {
            pending.remove(response.queryId());
            query.listener.accept(result(response));
        }
    }

    private static Result result(ResultResponse response) {
        return switch (response.state()) {
            case RUNNING -> Result.RUNNING;
            case NOT_RUN -> Result.NOT_RUN;
            case UNKNOWN -> Result.UNKNOWN;
            case DONE ->
                Result.done(new RecordedAnswer(
                        response.status(), response.reason(), List.copyOf(response.headers()), response.body()));
        };
    }

    /** The response to a query for a claim with this result. */
    static ResultResponse response(ResultQuery query, Result result) {
        RecordedAnswer answer = result.answer();
        return answer == null
                ? new ResultResponse(query.queryId(), query.holder(), result.state(), 0, "", List.of(), new byte[0])
                : new ResultResponse(
                        query.queryId(),
                        query.holder(),
                        result.state(),
                        answer.status(),
                        answer.reason(),
                        new ArrayList<>(answer.headers()),
                        answer.body());
    }

    boolean isEmpty() {
        return pending.isEmpty();
    }

    /** Ends queries to edges that can no longer answer. */
    void tick() {
        for (Map.Entry<Long, PendingQuery> entry : List.copyOf(pending.entrySet())) {
            PendingQuery query = entry.getValue();
            if (!transport.isReachable(query.edge, query.holder.incarnation())
                    && pending.remove(entry.getKey()) != null) {
                query.listener.accept(Result.UNKNOWN);
            }
        }
    }
}
