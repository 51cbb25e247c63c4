package brambletray.platform.proxy;

import brambletray.platform.admission.AttemptOutcome;

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

    /**
     * Names and values in turn, as {@link brambletray.platform.logging.EventLog#tell} takes them; fates that never came
     * are left
     * out.
     */
    public Object[] facts() {
        java.util.List<Object> facts = new java.util.ArrayList<>(64);
        add(
                facts,
                "requests",
                requests,
                "passed",
                passed,
                "unrouted",
                unrouted,
                "refused",
                refused,
                "failed",
                failed,
                "late",
                late,
                "wrong",
                wrong,
                "left",
                left,
                "asks",
                asks,
                "sends",
                sends,
                "copies",
                copies,
                "copies_won",
                copiesWon,
                "copies_refused",
                copiesRefused,
                "agains",
                agains,
                "dialled",
                dialled,
                "undialled",
                undialled,
                "stale",
                stale,
                "surplus",
                surplus,
                "streamed",
                streamed);
        for (AttemptOutcome fate : FATES) {
            add(facts, fate.name().toLowerCase(java.util.Locale.ROOT), of(fate));
        }
        return facts.toArray();
    }

    private static void add(java.util.List<Object> facts, Object... pairs) {
        for (int i = 0; i < pairs.length; i += 2) {
            if ((Long) pairs[i + 1] != 0) {
                facts.add(pairs[i]);
                facts.add(pairs[i + 1]);
            }
        }
    }
}
