package brambletray.platform.proxy;

import brambletray.platform.admission.AttemptOutcome;
import java.util.Locale;
import java.util.function.ObjLongConsumer;

/** What has passed through this edge since it began; plain counts, for a log line every few seconds. The loop's. */
public final class RequestCounters {
    private static final AttemptOutcome[] FATES = AttemptOutcome.values();

    /**
     * Requests read whole; answered by a host; 404; 503 of ours; 502; 504; other 4xx of ours; clients gone before their
     * answer.
     */
    public long requests;

    public long passed;
    public long unrouted;
    public long refused;
    public long failed;
    public long late;
    public long wrong;
    public long left;
    /**
     * Asks; sends to hosts; copies among them; copies that answered first; asks for another host after a failed one;
     * copies refused.
     */
    public long asks;

    public long sends;
    public long copies;
    public long copiesWon;
    public long agains;
    public long copiesRefused;
    /**
     * Connections that came up at hosts; tries that did not; kept ones found closed before a byte was sent; surplus
     * answers skipped; answers given on while they came.
     */
    public long dialled;

    public long undialled;
    public long stale;
    public long surplus;
    public long streamed;

    private final long[] fates = new long[FATES.length];

    void fate(AttemptOutcome fate) {
        fates[fate.ordinal()]++;
    }

    /** How often a request at a host had this end. */
    public long of(AttemptOutcome fate) {
        return fates[fate.ordinal()];
    }

    /** Hands over each counter that is not 0, by its name in the log. */
    public void forEachNonZero(ObjLongConsumer<String> consumer) {
        accept(consumer, "requests", requests);
        accept(consumer, "passed", passed);
        accept(consumer, "unrouted", unrouted);
        accept(consumer, "refused", refused);
        accept(consumer, "failed", failed);
        accept(consumer, "late", late);
        accept(consumer, "wrong", wrong);
        accept(consumer, "left", left);
        accept(consumer, "asks", asks);
        accept(consumer, "sends", sends);
        accept(consumer, "copies", copies);
        accept(consumer, "copies_won", copiesWon);
        accept(consumer, "copies_refused", copiesRefused);
        accept(consumer, "agains", agains);
        accept(consumer, "dialled", dialled);
        accept(consumer, "undialled", undialled);
        accept(consumer, "stale", stale);
        accept(consumer, "surplus", surplus);
        accept(consumer, "streamed", streamed);
        for (AttemptOutcome outcome : FATES) {
            accept(consumer, outcome.name().toLowerCase(Locale.ROOT), of(outcome));
        }
    }

    private static void accept(ObjLongConsumer<String> consumer, String name, long count) {
        if (count != 0) {
            consumer.accept(name, count);
        }
    }
}
