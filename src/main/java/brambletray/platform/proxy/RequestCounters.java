package brambletray.platform.proxy;

import brambletray.platform.admission.AttemptOutcome;
import java.util.Locale;
import java.util.function.ObjLongConsumer;

/**
 * Counts of the requests of this edge since its start, for a log line every few seconds. Used on the event loop only.
 */
public final class RequestCounters {
    private static final AttemptOutcome[] OUTCOMES = AttemptOutcome.values();

    /** Complete requests read. */
    public long requests;
    /** Responses of an instance passed to a client. */
    public long answeredByInstances;
    /** Responses 404 of this edge. */
    public long unrouted;
    /** Responses 401. */
    public long unauthenticated;
    /** Responses 429. */
    public long overQuota;
    /** 503 responses that this edge generated. */
    public long unavailable;
    /** Responses 502. */
    public long failed;
    /** Responses 504. */
    public long timedOut;
    /** Other 4xx responses of this edge. */
    public long clientErrors;
    /** Clients that disconnected before their response. */
    public long clientsGone;
    /** Attempts at instances that were cancelled because the client disconnected. */
    public long attemptsCancelledForClient;
    /** Attempts at instances that were left running although the client disconnected. */
    public long attemptsLeftRunning;
    /** Times that reading from a client was paused, as enough input waited behind the request in progress. */
    public long clientReadsPaused;
    /** Repeats of an operation that got the response of its first attempt. */
    public long repeatsAnswered;
    /** Responses 409: repeats of an operation whose first attempt was still in progress. */
    public long repeatsInWork;
    /** Slot requests. */
    public long slotRequests;
    /** Requests sent to instances. */
    public long sends;
    /** Hedged requests among those sent. */
    public long hedges;
    /** Hedged requests whose response came first. */
    public long hedgesWon;
    /** Slot requests for retries. */
    public long retries;
    /** Refused slot requests for hedged requests. */
    public long hedgesRefused;
    /** Connections opened to instances. */
    public long connectionsOpened;
    /** Failed connection attempts. */
    public long connectFailures;
    /** Pooled connections found closed before a byte was sent. */
    public long staleConnections;
    /** Surplus responses skipped. */
    public long surplusResponses;
    /** Responses streamed. */
    public long streamedResponses;

    private final long[] outcomes = new long[OUTCOMES.length];

    /** A client disconnected while {@code sent} attempts were at instances; {@code running} of them were left there. */
    void countClientGone(int sent, int running) {
        clientsGone++;
        attemptsCancelledForClient += sent - running;
        attemptsLeftRunning += running;
    }

    void countOutcome(AttemptOutcome outcome) {
        outcomes[outcome.ordinal()]++;
    }

    /** Number of attempts with this outcome. */
    public long outcomeCount(AttemptOutcome outcome) {
        return outcomes[outcome.ordinal()];
    }

    /** Passes each nonzero counter to {@code consumer}, under its name in the log. */
    public void forEachNonZero(ObjLongConsumer<String> consumer) {
        accept(consumer, "requests", requests);
        accept(consumer, "passed", answeredByInstances);
        accept(consumer, "unrouted", unrouted);
        accept(consumer, "unauthenticated", unauthenticated);
        accept(consumer, "over_quota", overQuota);
        accept(consumer, "refused", unavailable);
        accept(consumer, "failed", failed);
        accept(consumer, "late", timedOut);
        accept(consumer, "wrong", clientErrors);
        accept(consumer, "left", clientsGone);
        accept(consumer, "left_cancelled", attemptsCancelledForClient);
        accept(consumer, "left_running", attemptsLeftRunning);
        accept(consumer, "reads_paused", clientReadsPaused);
        accept(consumer, "repeats_answered", repeatsAnswered);
        accept(consumer, "repeats_in_work", repeatsInWork);
        accept(consumer, "asks", slotRequests);
        accept(consumer, "sends", sends);
        accept(consumer, "copies", hedges);
        accept(consumer, "copies_won", hedgesWon);
        accept(consumer, "copies_refused", hedgesRefused);
        accept(consumer, "agains", retries);
        accept(consumer, "dialled", connectionsOpened);
        accept(consumer, "undialled", connectFailures);
        accept(consumer, "stale", staleConnections);
        accept(consumer, "surplus", surplusResponses);
        accept(consumer, "streamed", streamedResponses);
        for (AttemptOutcome outcome : OUTCOMES) {
            accept(consumer, outcome.name().toLowerCase(Locale.ROOT), outcomeCount(outcome));
        }
    }

    private static void accept(ObjLongConsumer<String> consumer, String name, long count) {
        if (count != 0) {
            consumer.accept(name, count);
        }
    }
}
