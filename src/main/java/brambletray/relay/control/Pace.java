package brambletray.relay.control;

import static brambletray.relay.control.Turn.SECOND;

import brambletray.relay.control.Relay.Settings;
import brambletray.relay.control.Relay.Weights;
import brambletray.relay.control.State.EndpointState;
import brambletray.relay.control.State.LimitScope;
import java.util.SplittableRandom;

/** Rate limiting of limit scopes, by the rates that the endpoint list and answers report. */
record Pace(Settings settings, Memory memory, SplittableRandom random, Turn turn) {
    /** Highest pace, as a multiple of the known rate. */
    private static final double MAX_PACE_FACTOR = 1.4;
    /** Factor of the pace at a refusal. */
    private static final double REFUSAL_FACTOR = 0.75;
    /** Lowest pace, as a multiple of a relay's fair share of the rate. */
    private static final double MIN_PACE_FACTOR = 0.5;
    /** First pace, as a multiple of a relay's fair share of the rate. */
    private static final double INITIAL_PACE_FACTOR = 2;
    /** Growth of the pace at an answer, in fair shares, while below the fair share. */
    private static final double GROWTH_BELOW_FAIR_SHARE = 0.15;
    /** The same above the fair share. */
    private static final double GROWTH_ABOVE_FAIR_SHARE = 0.03;
    /** Calls a second; assumed rate where none is known: in effect unlimited. */
    private static final double UNPACED_PER_S = 1e6;
    /** Calls a second; slowest pace: less would amount to a ban. */
    private static final double MIN_PACE_PER_S = 0.25;
    /** s; burst size, as the time in which the pace would fill it. */
    private static final double BURST_S = 0.7;
    /** Remaining share of a reported limit below which the pace is cut. */
    private static final double LOW_REMAINING_SHARE = 0.15;
    /** Factor of the pace at each such cut. */
    private static final double LOW_REMAINING_FACTOR = 0.9;

    /** Calls a second that a limit scope accepts from all relays together, as listed or reported in answers. */
    static double rate(LimitScope limitScope) {
        return limitScope.hasRate ? limitScope.rate : UNPACED_PER_S;
    }

    private static double maxPace(LimitScope limitScope) {
        return MAX_PACE_FACTOR * rate(limitScope);
    }

    private double minPace(LimitScope limitScope) {
        return Math.max(MIN_PACE_PER_S, MIN_PACE_FACTOR * rate(limitScope) / settings.relays());
    }

    /** Initializes a limit scope when its first endpoint is listed. */
    void startLimitScope(LimitScope limitScope, double weight) {
        limitScope.rate = weight;
        limitScope.hasRate = settings.weights() != Weights.NONE;
        limitScope.pace = INITIAL_PACE_FACTOR * minPace(limitScope) / MIN_PACE_FACTOR;
    }

    void onListed(LimitScope limitScope, double weight) {
        limitScope.rate = weight > 0 && settings.weights() != Weights.NONE ? weight : limitScope.rate;
        limitScope.pace = Math.min(limitScope.pace, maxPace(limitScope));
    }

    /** Earliest time at which the pace allows another call; 0 for at once. */
    long nextTokenAt(LimitScope limitScope) {
        limitScope.bucket.refill(limitScope.pace, Math.max(2, limitScope.pace * BURST_S), turn.now);
        return limitScope.bucket.tokens >= 1
                ? 0
                : turn.now + (long) ((1 - limitScope.bucket.tokens) / limitScope.pace * SECOND) + 1;
    }

    /** Raises the pace of a limit scope that uses it up. */
    void onAnswered(LimitScope limitScope) {
        if (limitScope.bucket.tokens < 1 && limitScope.pace < maxPace(limitScope)) {
            double fairShare = minPace(limitScope) / MIN_PACE_FACTOR;
            double step = limitScope.pace < fairShare ? GROWTH_BELOW_FAIR_SHARE : GROWTH_ABOVE_FAIR_SHARE;
            limitScope.pace = Math.min(maxPace(limitScope), limitScope.pace + step * fairShare);
        }
    }

    void onRefused(LimitScope limitScope) {
        limitScope.pace = Math.max(minPace(limitScope), limitScope.pace * REFUSAL_FACTOR);
    }

    /** Takes over the limit of its scope that an answer reported. */
    void onLimitReported(EndpointState endpoint, double limit, double remaining) {
        LimitScope limitScope = endpoint.limitScope;
        memory.reportsLimits[endpoint.kind] = true;
        // Without a listed rate, the reported one is the first known.
        limitScope.pace = limitScope.hasRate
                ? limitScope.pace
                : Math.min(limitScope.pace, INITIAL_PACE_FACTOR * limit / settings.relays());
        limitScope.hasRate = true;
        limitScope.limitReported = true;
        limitScope.rate = limit;
        limitScope.pace = Math.min(limitScope.pace, limit);
        if (remaining >= 0 && remaining < LOW_REMAINING_SHARE) {
            limitScope.pace = Math.max(minPace(limitScope), limitScope.pace * LOW_REMAINING_FACTOR);
        }
    }

    /** Restores the limit and pace that an earlier process had. */
    void restore(EndpointState endpoint, double limit, double pace) {
        LimitScope limitScope = endpoint.limitScope;
        limitScope.hasRate = true;
        limitScope.limitReported = true;
        memory.reportsLimits[endpoint.kind] = true;
        limitScope.rate = limit;
        limitScope.pace = Math.max(minPace(limitScope), Math.min(maxPace(limitScope), pace));
        // A random fill level keeps relays that were restarted together from sending together.
        limitScope.bucket.refill(0, random.nextDouble(), turn.now);
    }
}
