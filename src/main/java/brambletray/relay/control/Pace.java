package brambletray.relay.control;

import static brambletray.relay.control.Turn.SECOND;

import brambletray.relay.control.Relay.Settings;
import brambletray.relay.control.Relay.Weights;
import brambletray.relay.control.State.Lane;
import brambletray.relay.control.State.Route;
import java.util.SplittableRandom;

/** Paces of lanes, and the limits that hosts tell in lists and in answers. */
record Pace(Settings set, Memory memory, SplittableRandom random, Turn turn) {
    /** Highest pace, as a multiple of the listed rate. */
    private static final double PACE_MOST = 1.4;
    /** Factor of the pace at a refusal. */
    private static final double PACE_CUT = 0.75;
    /** Lowest pace, as a multiple of a relay's even part of the rate. */
    private static final double PACE_LEAST = 0.5;
    /** First pace, as a multiple of a relay's even part of the rate. */
    private static final double PACE_START = 2;
    /** Growth of the pace at an answer, in even parts, up to an even part. */
    private static final double PACE_GROW = 0.15;
    /** The same past an even part. */
    private static final double PACE_PROBE = 0.03;
    /** Calls a second; pace where no rate is listed, in effect none. */
    private static final double UNPACED = 1e6;
    /** Calls a second; slowest pace, as less would be a ban. */
    private static final double PACE_SLOWEST = 0.25;
    /** s; a lane may send this much of its pace at once. */
    private static final double PACE_BURST = 0.7;
    /** Share of the limit that is left below which the pace is cut. */
    private static final double LEFT_LOW = 0.15;
    /** Factor of the pace at each such cut. */
    private static final double LEFT_CUT = 0.9;

    /** Calls a second that a lane takes from all relays together, as listed or told in answers. */
    static double rate(Lane lane) {
        return lane.rated ? lane.weight : UNPACED;
    }

    private static double most(Lane lane) {
        return PACE_MOST * rate(lane);
    }

    private double least(Lane lane) {
        return Math.max(PACE_SLOWEST, PACE_LEAST * rate(lane) / set.relays());
    }

    /** A lane's first route came on the list. */
    void start(Lane lane, double weight) {
        lane.weight = weight;
        lane.rated = set.weights() != Weights.NONE;
        lane.pace = PACE_START * least(lane) / PACE_LEAST;
    }

    void listed(Lane lane, double weight) {
        lane.weight = weight > 0 && set.weights() != Weights.NONE ? weight : lane.weight;
        lane.pace = Math.min(lane.pace, most(lane));
    }

    /** The earliest time for another call at the lane's pace; 0 for at once. */
    long tokenAt(Lane lane) {
        lane.bucket.fill(lane.pace, Math.max(2, lane.pace * PACE_BURST), turn.now);
        return lane.bucket.tokens >= 1 ? 0 : turn.now + (long) ((1 - lane.bucket.tokens) / lane.pace * SECOND) + 1;
    }

    /** An answer came: a lane that uses its pace up gets more. */
    void answered(Lane lane) {
        if (lane.bucket.tokens < 1 && lane.pace < most(lane)) {
            double even = least(lane) / PACE_LEAST;
            double step = lane.pace < even ? PACE_GROW : PACE_PROBE;
            lane.pace = Math.min(most(lane), lane.pace + step * even);
        }
    }

    void refused(Lane lane) {
        lane.pace = Math.max(least(lane), lane.pace * PACE_CUT);
    }

    /** An answer told the limit of its lane. */
    void told(Route r, double limit, double left) {
        Lane lane = r.lane;
        memory.tells[r.kind] = true;
        // Where nothing is listed, what answers tell is the first that is known of a lane's rate.
        lane.pace = lane.rated ? lane.pace : Math.min(lane.pace, PACE_START * limit / set.relays());
        lane.rated = true;
        lane.told = true;
        lane.weight = limit;
        lane.pace = Math.min(lane.pace, limit);
        if (left >= 0 && left < LEFT_LOW) {
            lane.pace = Math.max(least(lane), lane.pace * LEFT_CUT);
        }
    }

    /** An earlier module was told this limit, and had this pace. */
    void remembered(Route r, double limit, double pace) {
        Lane lane = r.lane;
        lane.rated = true;
        lane.told = true;
        memory.tells[r.kind] = true;
        lane.weight = limit;
        lane.pace = Math.max(least(lane), Math.min(most(lane), pace));
        // Relays that were killed at once do not all send at once.
        lane.bucket.fill(0, random.nextDouble(), turn.now);
    }
}
