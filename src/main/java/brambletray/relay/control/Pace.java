package brambletray.relay.control;

import static brambletray.relay.control.Turn.SECOND;

import brambletray.relay.control.Relay.Settings;
import brambletray.relay.control.Relay.Weights;
import brambletray.relay.control.State.EndpointState;
import brambletray.relay.control.State.LimitScope;
import java.util.SplittableRandom;

/** Rates of limit scopes, and the limits that hosts tell in lists and in answers. */
record Pace(Settings settings, Memory memory, SplittableRandom random, Turn turn) {
    /** Highest pace, as a multiple of the listed rate. */
    private static final double MAX_PACE_FACTOR = 1.4;
    /** Factor of the pace at a refusal. */
    private static final double REFUSAL_FACTOR = 0.75;
    /** Lowest pace, as a multiple of a relay's even part of the rate. */
    private static final double MIN_PACE_FACTOR = 0.5;
    /** First pace, as a multiple of a relay's even part of the rate. */
    private static final double INITIAL_PACE_FACTOR = 2;
    /** Growth of the pace at an answer, in even parts, up to an even part. */
    private static final double GROWTH_BELOW_FAIR_SHARE = 0.15;
    /** The same past an even part. */
    private static final double GROWTH_ABOVE_FAIR_SHARE = 0.03;
    /** Calls a second; pace where no rate is listed, in effect none. */
    private static final double UNPACED_PER_S = 1e6;
    /** Calls a second; slowest pace, as less would be a ban. */
    private static final double MIN_PACE_PER_S = 0.25;
    /** s; a limit scope may send this much of its pace at once. */
    private static final double BURST_S = 0.7;
    /** Share of the limit that is left below which the pace is cut. */
    private static final double LOW_REMAINING_SHARE = 0.15;
    /** Factor of the pace at each such cut. */
    private static final double LOW_REMAINING_FACTOR = 0.9;

    /** Calls a second that a limit scope takes from all relays together, as listed or reported in answers. */
    static double rate(LimitScope limitScope) {
        return limitScope.hasRate ? limitScope.rate : UNPACED_PER_S;
    }

    private static double maxPace(LimitScope limitScope) {
        return MAX_PACE_FACTOR * rate(limitScope);
    }

    private double minPace(LimitScope limitScope) {
        return Math.max(MIN_PACE_PER_S, MIN_PACE_FACTOR * rate(limitScope) / settings.relays());
    }

    /** A limit scope's first endpoint came on the list. */
    void startLimitScope(LimitScope limitScope, double weight) {
        limitScope.rate = weight;
        limitScope.hasRate = settings.weights() != Weights.NONE;
        limitScope.pace = INITIAL_PACE_FACTOR * minPace(limitScope) / MIN_PACE_FACTOR;
    }

    void onListed(LimitScope limitScope, double weight) {
        limitScope.rate = weight > 0 && settings.weights() != Weights.NONE ? weight : limitScope.rate;
        limitScope.pace = Math.min(limitScope.pace, maxPace(limitScope));
    }

    /** The earliest time for another call at the limit scope's pace; 0 for at once. */
    long nextTokenAt(LimitScope limitScope) {
        limitScope.bucket.refill(limitScope.pace, Math.max(2, limitScope.pace * BURST_S), turn.now);
        return limitScope.bucket.tokens >= 1
                ? 0
                : turn.now + (long) ((1 - limitScope.bucket.tokens) / limitScope.pace * SECOND) + 1;
    }

    /** An answer came: a limit scope that uses its pace up gets more. */
    void onAnswered(LimitScope limitScope) {
        if (limitScope.bucket.tokens < 1 && limitScope.pace < maxPace(limitScope)) {
            double even = minPace(limitScope) / MIN_PACE_FACTOR;
            double step = limitScope.pace < even ? GROWTH_BELOW_FAIR_SHARE : GROWTH_ABOVE_FAIR_SHARE;
            limitScope.pace = Math.min(maxPace(limitScope), limitScope.pace + step * even);
        }
    }

    void onRefused(LimitScope limitScope) {
        limitScope.pace = Math.max(minPace(limitScope), limitScope.pace * REFUSAL_FACTOR);
    }

    /** An answer has reported the limit of its scope. */
    void onLimitReported(EndpointState endpoint, double limit, double left) {
        LimitScope limitScope = endpoint.limitScope;
        memory.reportsLimits[endpoint.kind] = true;
        // Where nothing is listed, what answers tell is the first that is known of a limit scope's rate.
        limitScope.pace = limitScope.hasRate
                ? limitScope.pace
                : Math.min(limitScope.pace, INITIAL_PACE_FACTOR * limit / settings.relays());
        limitScope.hasRate = true;
        limitScope.limitReported = true;
        limitScope.rate = limit;
        limitScope.pace = Math.min(limitScope.pace, limit);
        if (left >= 0 && left < LOW_REMAINING_SHARE) {
            limitScope.pace = Math.max(minPace(limitScope), limitScope.pace * LOW_REMAINING_FACTOR);
        }
    }

    /** An earlier module knew this limit, and had this pace. */
    void restore(EndpointState endpoint, double limit, double pace) {
        LimitScope limitScope = endpoint.limitScope;
        limitScope.hasRate = true;
        limitScope.limitReported = true;
        memory.reportsLimits[endpoint.kind] = true;
        limitScope.rate = limit;
        limitScope.pace = Math.max(minPace(limitScope), Math.min(maxPace(limitScope), pace));
        // Relays that were killed at once do not all send at once.
        limitScope.bucket.refill(0, random.nextDouble(), turn.now);
    }
}
