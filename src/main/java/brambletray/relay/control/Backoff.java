package brambletray.relay.control;

import static brambletray.relay.control.Turn.MS;
import static brambletray.relay.control.Turn.SECOND;

import brambletray.relay.control.Relay.Settings;
import brambletray.relay.control.State.Attempt;
import brambletray.relay.control.State.Destination;
import brambletray.relay.control.State.EndpointState;
import brambletray.relay.control.State.LimitScope;
import java.util.SplittableRandom;

/**
 * Refusals: retry-after times, and a back-off in multiples of the usual gap between this relay's own calls, so that the
 * attempts of all relays together fit the host's limit.
 */
record Backoff(Settings settings, Memory memory, SplittableRandom random, Turn turn, Pace pace) {
    /** Calls a second; lower bound of rates that something is divided by. */
    static final double MIN_RATE_PER_S = 1e-6;
    /** Factor from one back-off to the next. */
    private static final double BACKOFF_MULTIPLIER = 3;
    /** First back-off after a refusal or a failed connect, in usual gaps between own calls. */
    private static final double INITIAL_BACKOFF_INTERVALS = 0.5;
    /** Shortest back-off in usual gaps between own calls, where that is less than {@link #MAX_MIN_BACKOFF_US}. */
    private static final double MIN_BACKOFF_INTERVALS = 2;
    /** Longest back-off, in usual gaps between own calls. */
    private static final double MAX_BACKOFF_INTERVALS = 10;
    /** us; upper bound of the first back-off. */
    private static final long MAX_INITIAL_BACKOFF_US = 500 * MS;
    /** us; upper bound of the shortest back-off. */
    private static final long MAX_MIN_BACKOFF_US = 150 * MS;
    /** us; upper bound of a first back-off by the even part of a relay, and lower bound of the longest one. */
    private static final long MIDDLE_BACKOFF_US = 2 * SECOND;
    /** us; longest back-off. */
    static final long MAX_BACKOFF_US = 8 * SECOND;
    /** Least share of calls after a refusal that counts as being admitted. */
    private static final double MIN_ADMISSION_SHARE = 0.03;
    /** Weight of a new call in that share. */
    private static final double ADMISSION_WEIGHT = 0.1;
    /** Share at which back-offs are not lengthened. */
    private static final double USUAL_ADMISSION_SHARE = 0.3;
    /** us; a host with a longer retry-after time than this is closed rather than full, as no limit spans so long. */
    private static final long CLOSED_RETRY_AFTER_US = 5 * SECOND / 2;
    /** Back-offs in a row after which a host counts as closed rather than full. */
    private static final long CLOSED_REFUSALS = 5;

    /** A call was refused for lack of capacity; true if the host seems closed rather than full. */
    boolean onRefused(Attempt attempt, long told) {
        LimitScope limitScope = attempt.endpoint.limitScope;
        Destination destination = attempt.endpoint.destination;
        pace.onRefused(limitScope);
        limitScope.waitUntil = Math.max(limitScope.waitUntil, turn.now + told);
        if (attempt.sentAt >= destination.refusedAt) {
            destination.refusals++;
        }
        limitScope.refusals += attempt.sentAt >= limitScope.refusedAt ? 1 : 0;
        destination.refusedAt = turn.now;
        limitScope.refusedAt = turn.now;
        long spread =
                (long) (Math.min(told, INITIAL_BACKOFF_INTERVALS * SECOND / destination.usualRate) * random.nextDouble());
        // Its own refusals, and no sooner than an even part of a reported limit lets all ask: where limits count
        // refused calls, a fleet that goes on asking keeps a host closed while its peers answer.
        double gap = SECOND * settings.relays() / Math.max(MIN_RATE_PER_S, limitScope.rate);
        double even = limitScope.limitReported ? INITIAL_BACKOFF_INTERVALS * gap : 0;
        spread = Math.max(spread, backoffDelay(destination, limitScope.refusals - (told > even ? 1 : 0), even));
        limitScope.backoffUntil = Math.max(limitScope.backoffUntil, turn.now + told + spread);
        // Once all endpoints refused in a row, the back-off is for all: a closed host is not asked by turns.
        destination.backoffUntil = destination.refusals >= destination.endpoints.size()
                ? limitScope.backoffUntil
                : destination.backoffUntil;
        limitScope.bucket.tokens = Math.min(limitScope.bucket.tokens, 1);
        return told > CLOSED_RETRY_AFTER_US || destination.refusals >= CLOSED_REFUSALS;
    }

    void onAnswered(EndpointState endpoint) {
        endpoint.destination.refusals = 0;
        endpoint.limitScope.refusals = 0;
    }

    /**
     * A retry-after time binds whatever it came with: an answer to a batch may accept some of it and refuse the rest.
     */
    void onRetryAfter(LimitScope limitScope, long told) {
        limitScope.waitUntil = told > 0 ? Math.max(limitScope.waitUntil, turn.now + told) : limitScope.waitUntil;
    }

    /** An earlier module had been given a retry-after time, of which this much is left. */
    void restore(LimitScope limitScope, long told) {
        onRetryAfter(limitScope, told);
        long apart = (long) (MAX_INITIAL_BACKOFF_US * random.nextDouble());
        limitScope.backoffUntil = Math.max(limitScope.backoffUntil, limitScope.waitUntil + apart);
    }

    /** Where limits count refused calls too, few calls after a refusal are admitted. */
    void learnAdmission(Attempt attempt, boolean in) {
        double[] eases = memory.admissionShares;
        eases[attempt.endpoint.kind] += ADMISSION_WEIGHT * ((in ? 1 : 0) - eases[attempt.endpoint.kind]);
    }

    /** After so many failures in a row. {@code even}: us; the first is no shorter, up to the middle one. */
    long backoffDelay(Destination destination, int failures, double even) {
        double gap = SECOND / Math.max(MIN_RATE_PER_S, destination.usualRate);
        // Guards hosts that take many calls a second against standing idle for a dozen at each refusal.
        double least = Math.min(MAX_MIN_BACKOFF_US, MIN_BACKOFF_INTERVALS * gap);
        double first = Math.max(least, Math.min(MAX_INITIAL_BACKOFF_US, gap * INITIAL_BACKOFF_INTERVALS));
        first = Math.max(first, Math.min(MIDDLE_BACKOFF_US, even));
        double most = Math.max(MIDDLE_BACKOFF_US, Math.min(MAX_BACKOFF_US, gap * MAX_BACKOFF_INTERVALS));
        // Where limits count refused calls too, asking again keeps them shut: back off longer there.
        double ease = Math.min(
                1, Math.max(MIN_ADMISSION_SHARE, memory.admissionShares[destination.kind]) / USUAL_ADMISSION_SHARE);
        double span = Math.min(most, first * Math.pow(BACKOFF_MULTIPLIER, failures - 1)) / ease;
        return failures < 1 ? 0 : (long) (span * (0.5 + random.nextDouble()));
    }
}
