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
 * Back-off after refusals: retry-after times, and delays in multiples of the mean interval between this relay's calls,
 * so that the attempts of all relays together stay within the host's limit.
 */
record Backoff(Settings settings, Memory memory, SplittableRandom random, Turn turn, Pace pace) {
    /** Calls a second; lower bound of rates used as divisors. */
    static final double MIN_RATE_PER_S = 1e-6;
    /** Growth factor from one back-off to the next. */
    private static final double BACKOFF_MULTIPLIER = 3;
    /** First back-off after a refusal or a failed connect, in mean call intervals of this relay. */
    private static final double INITIAL_BACKOFF_INTERVALS = 0.5;
    /** Shortest back-off in mean call intervals, where that is less than {@link #MAX_MIN_BACKOFF_US}. */
    private static final double MIN_BACKOFF_INTERVALS = 2;
    /** Longest back-off, in mean call intervals. */
    private static final double MAX_BACKOFF_INTERVALS = 10;
    /** us; upper bound of the first back-off. */
    private static final long MAX_INITIAL_BACKOFF_US = 500 * MS;
    /** us; upper bound of the shortest back-off. */
    private static final long MAX_MIN_BACKOFF_US = 150 * MS;
    /** us; upper bound of a first back-off derived from a relay's fair share; lower bound of the longest back-off. */
    private static final long MIDDLE_BACKOFF_US = 2 * SECOND;
    /** us; longest back-off. */
    static final long MAX_BACKOFF_US = 8 * SECOND;
    /** Lower bound of the share of calls admitted after a refusal, as used for back-offs. */
    private static final double MIN_ADMISSION_SHARE = 0.03;
    /** Weight of a new call in the moving average of that share. */
    private static final double ADMISSION_WEIGHT = 0.1;
    /** Admission share from which on back-offs are not lengthened. */
    private static final double USUAL_ADMISSION_SHARE = 0.3;
    /** us; a longer retry-after time means that the host is closed rather than at its limit: no limit spans so long. */
    private static final long CLOSED_RETRY_AFTER_US = 5 * SECOND / 2;
    /** Consecutive refusals after which a host counts as closed rather than at its limit. */
    private static final long CLOSED_REFUSALS = 5;

    /** Handles a refusal for lack of capacity; true if the host seems closed rather than at its limit. */
    boolean onRefused(Attempt attempt, long retryAfter) {
        LimitScope limitScope = attempt.endpoint.limitScope;
        Destination destination = attempt.endpoint.destination;
        pace.onRefused(limitScope);
        limitScope.waitUntil = Math.max(limitScope.waitUntil, turn.now + retryAfter);
        if (attempt.sentAt >= destination.refusedAt) {
            destination.refusals++;
        }
        limitScope.refusals += attempt.sentAt >= limitScope.refusedAt ? 1 : 0;
        destination.refusedAt = turn.now;
        limitScope.refusedAt = turn.now;
        long delay = (long) (Math.min(retryAfter, INITIAL_BACKOFF_INTERVALS * SECOND / destination.usualRate)
                * random.nextDouble());
        // Never shorter than a relay's fair share of a reported limit allows: where limits count refused calls too,
        // a fleet that keeps retrying keeps a host closed while its peers answer.
        double fairInterval = SECOND * settings.relays() / Math.max(MIN_RATE_PER_S, limitScope.rate);
        double minBackoff = limitScope.limitReported ? INITIAL_BACKOFF_INTERVALS * fairInterval : 0;
        delay = Math.max(
                delay, backoffDelay(destination, limitScope.refusals - (retryAfter > minBackoff ? 1 : 0), minBackoff));
        limitScope.backoffUntil = Math.max(limitScope.backoffUntil, turn.now + retryAfter + delay);
        // After a refusal by each endpoint in a row the back-off binds all: no round-robin retries of a closed host.
        destination.backoffUntil = destination.refusals >= destination.endpoints.size()
                ? limitScope.backoffUntil
                : destination.backoffUntil;
        limitScope.bucket.tokens = Math.min(limitScope.bucket.tokens, 1);
        return retryAfter > CLOSED_RETRY_AFTER_US || destination.refusals >= CLOSED_REFUSALS;
    }

    void onAnswered(EndpointState endpoint) {
        endpoint.destination.refusals = 0;
        endpoint.limitScope.refusals = 0;
    }

    /** Applies to any outcome: the answer to a batch may accept part of it and refuse the rest. */
    void onRetryAfter(LimitScope limitScope, long retryAfter) {
        limitScope.waitUntil =
                retryAfter > 0 ? Math.max(limitScope.waitUntil, turn.now + retryAfter) : limitScope.waitUntil;
    }

    /** Restores the remaining retry-after time that an earlier process had received. */
    void restore(LimitScope limitScope, long retryAfter) {
        onRetryAfter(limitScope, retryAfter);
        long jitter = (long) (MAX_INITIAL_BACKOFF_US * random.nextDouble());
        limitScope.backoffUntil = Math.max(limitScope.backoffUntil, limitScope.waitUntil + jitter);
    }

    /** Updates the share of calls admitted after a refusal; it is low where limits count refused calls too. */
    void learnAdmission(Attempt attempt, boolean admitted) {
        double[] shares = memory.admissionShares;
        shares[attempt.endpoint.kind] += ADMISSION_WEIGHT * ((admitted ? 1 : 0) - shares[attempt.endpoint.kind]);
    }

    /** Back-off after consecutive failures. {@code minInitial}: us; lower bound of the first, up to the middle one. */
    long backoffDelay(Destination destination, int failures, double minInitial) {
        double interval = SECOND / Math.max(MIN_RATE_PER_S, destination.usualRate);
        // Without the small minimum, an endpoint with many calls a second would idle for a dozen after each refusal.
        double min = Math.min(MAX_MIN_BACKOFF_US, MIN_BACKOFF_INTERVALS * interval);
        double initial = Math.max(min, Math.min(MAX_INITIAL_BACKOFF_US, interval * INITIAL_BACKOFF_INTERVALS));
        initial = Math.max(initial, Math.min(MIDDLE_BACKOFF_US, minInitial));
        double max = Math.max(MIDDLE_BACKOFF_US, Math.min(MAX_BACKOFF_US, interval * MAX_BACKOFF_INTERVALS));
        // Where limits count refused calls too, retries keep them exhausted: back off longer there.
        double admission = Math.min(
                1, Math.max(MIN_ADMISSION_SHARE, memory.admissionShares[destination.kind]) / USUAL_ADMISSION_SHARE);
        double delay = Math.min(max, initial * Math.pow(BACKOFF_MULTIPLIER, failures - 1)) / admission;
        return failures < 1 ? 0 : (long) (delay * (0.5 + random.nextDouble()));
    }
}
