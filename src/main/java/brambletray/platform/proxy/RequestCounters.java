package brambletray.platform.proxy;

import brambletray.platform.admission.AttemptOutcome;
import java.util.Locale;
import java.util.function.ObjLongConsumer;

/**
 * Counts of the requests of this edge since its start, for a log line every few seconds. To be used on the loop only.
 */
public final class RequestCounters {
    private static final AttemptOutcome[] OUTCOMES = AttemptOutcome.values();

    /**
     * Complete requests read; answered by an instance; 404; 401; 429; 503 of this edge; 502; 504; other 4xx of this
     * edge; clients gone before their answer.
     */
    public long requests;

    public long answeredByInstances;
    public long unrouted;
    public long unauthenticated;
    public long overQuota;
    public long unavailable;
    public long failed;
    public long timedOut;
    public long clientErrors;
    public long clientsGone;
    /** Repeats of an operation that had the first attempt's answer; 409. */
    public long repeatsAnswered;

    public long repeatsInWork;
    /**
     * Slot requests; requests sent to hosts; hedged ones among them; hedged ones that answered first; retries;
     * copies refused.
     */
    public long slotRequests;

    public long sends;
    public long hedges;
    public long hedgesWon;
    public long retries;
    public long hedgesRefused;
    /**
     * Connections opened to hosts; failed connection attempts; pooled ones found closed before a byte was sent;
     * surplus responses skipped; responses streamed.
     */
    public long connectionsOpened;

    public long connectFailures;
    public long staleConnections;
    public long surplusResponses;
    public long streamedResponses;

    private final long[] outcomes = new long[OUTCOMES.length];

    void countOutcome(AttemptOutcome outcome) {
        outcomes[outcome.ordinal()]++;
    }

    /** How often a request at a host had this end. */
    public long outcomeCount(AttemptOutcome outcome) {
        return outcomes[outcome.ordinal()];
    }

    /** Hands over each counter that is not 0, by its name in the log. */
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
