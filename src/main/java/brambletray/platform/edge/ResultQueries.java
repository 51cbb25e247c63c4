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
 * Questions to other edges: what became of a claim that one of them holds. An edge that cannot be reached, has left the
 * roster or runs as another incarnation gives no answer any more: the claim is {@link OperationState#UNKNOWN}. For the
 * event loop only.
 */
final class ResultQueries {
    /** How it reaches other edges. */
    interface Transport {
        /** Whether this incarnation of an edge is in the roster, and its link not down for long. */
        boolean isReachable(String edge, long incarnation);

        /** Lost where the link is not up yet. */
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
    }

    private final Transport transport;
    private final Map<Long, PendingQuery> pending = new LinkedHashMap<>();
    private long lastId;

    ResultQueries(Transport transport) {
        this.transport = transport;
    }

    /** Asks for the end of a claim, and returns the id of the query; the listener is not called before this returns. */
    long send(ClaimId holder, String edge, Consumer<Result> listener) {
        long id = ++lastId;
        pending.put(id, new PendingQuery(holder, edge, listener));
        transport.sendToEdge(edge, new ResultQuery(id, holder));
        return id;
    }

    /** Nobody waits for it any more. */
    void cancel(long id) {
        pending.remove(id);
    }

    /** Whether the holder's edge has said that the claim's request is in work. */
    boolean isRunning(long id) {
        PendingQuery query = pending.get(id);
        return query != null && query.isRunning;
    }

    /** The link to this edge is up: what was sent before may be lost. */
    void onLinkUp(String edge) {
        pending.forEach((id, query) -> {
            if (query.edge.equals(edge)) {
                transport.sendToEdge(edge, new ResultQuery(id, query.holder));
            }
        });
    }

    void onResponse(String edge, ResultResponse response) {
        PendingQuery query = pending.get(response.queryId());
        if (query == null || !query.edge.equals(edge)) {
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

    /** The answer to a query about a claim that has come so far. */
    static ResultResponse response(long queryId, Result result) {
        RecordedAnswer answer = result.answer();
        return answer == null
                ? new ResultResponse(queryId, result.state(), 0, "", List.of(), new byte[0])
                : new ResultResponse(
                        queryId,
                        result.state(),
                        answer.status(),
                        answer.reason(),
                        new ArrayList<>(answer.headers()),
                        answer.body());
    }

    boolean isEmpty() {
        return pending.isEmpty();
    }

    /** Gives up queries to edges that cannot answer any more. */
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
