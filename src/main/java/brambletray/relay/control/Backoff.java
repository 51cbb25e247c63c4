package brambletray.relay.control;

import static brambletray.relay.control.Turn.MS;
import static brambletray.relay.control.Turn.SECOND;

import brambletray.relay.control.Relay.Settings;
import brambletray.relay.control.State.Attempt;
import brambletray.relay.control.State.Dest;
import brambletray.relay.control.State.Lane;
import brambletray.relay.control.State.Route;
import java.util.SplittableRandom;

/** Refusals: told waits, and back-off by own usual gaps, so that a fleet's tries fit together. */
record Backoff(Settings set, Memory memory, SplittableRandom random, Turn turn, Pace pace) {
    /** Calls a second: no rate. */
    static final double RATE_LEAST = 1e-6;
    /** Factor from one back-off to the next. */
    private static final double BACKOFF_GROW = 3;
    /** First back-off after a refusal or a failed connect, in usual gaps between own calls. */
    private static final double BACKOFF_GAPS = 0.5;
    /** Shortest back-off in usual gaps between own calls, where that is less than {@link #BACKOFF_LEAST}. */
    private static final double BACKOFF_GAPS_BUSY = 2;
    /** Longest back-off, in usual gaps between own calls. */
    private static final double BACKOFF_MOST_GAPS = 10;
    /** us; upper bound of the first back-off. */
    private static final long BACKOFF = 500 * MS;
    /** us; upper bound of the shortest back-off. */
    private static final long BACKOFF_LEAST = 150 * MS;
    /** us; upper bound of a first back-off by the even part of a relay, and lower bound of the longest one. */
    private static final long BACKOFF_MID = 2 * SECOND;
    /** us; longest back-off. */
    static final long BACKOFF_MOST = 8 * SECOND;
    /** Least share of calls after a refusal that counts as being let in. */
    private static final double EASE_LEAST = 0.03;
    /** Weight of a new call in that share. */
    private static final double EASE_WEIGHT = 0.1;
    /** Share at which back-offs are not lengthened. */
    private static final double EASE_USUAL = 0.3;
    /** us; a host that states a longer wait than this is shut rather than full, as no limit spans so long. */
    private static final long SHUT_TOLD = 5 * SECOND / 2;
    /** Back-offs in a row after which a host counts as shut rather than full. */
    private static final long SHUT_RUN = 5;

    /** A call was refused for want of room. True if the place seems shut rather than full. */
    boolean refused(Attempt a, long told) {
        Lane lane = a.route.lane;
        Dest d = a.route.dest;
        pace.refused(lane);
        lane.waitUntil = Math.max(lane.waitUntil, turn.now + told);
        if (a.sent >= d.refusedAt) {
            d.refusals++;
        }
        lane.refusals += a.sent >= lane.refusedAt ? 1 : 0;
        d.refusedAt = turn.now;
        lane.refusedAt = turn.now;
        long spread = (long) (Math.min(told, BACKOFF_GAPS * SECOND / d.usualRate) * random.nextDouble());
        // Its own refusals, and no sooner than an even part of a told limit lets all ask: where limits count
        // refused calls, a fleet that goes on asking keeps a place shut while its siblings answer.
        double gap = SECOND * set.relays() / Math.max(RATE_LEAST, lane.weight);
        double even = lane.told ? BACKOFF_GAPS * gap : 0;
        spread = Math.max(spread, span(d, lane.refusals - (told > even ? 1 : 0), even));
        lane.backoffUntil = Math.max(lane.backoffUntil, turn.now + told + spread);
        // Once all routes refused in a row, the back-off is for all: a shut place is not asked by turns.
        d.backoffUntil = d.refusals >= d.routes.size() ? lane.backoffUntil : d.backoffUntil;
        lane.bucket.tokens = Math.min(lane.bucket.tokens, 1);
        return told > SHUT_TOLD || d.refusals >= SHUT_RUN;
    }

    void answered(Route r) {
        r.dest.refusals = 0;
        r.lane.refusals = 0;
    }

    /** A wait binds whatever it came with: an answer to several messages may take some and tell one. */
    void waits(Lane lane, long told) {
        lane.waitUntil = told > 0 ? Math.max(lane.waitUntil, turn.now + told) : lane.waitUntil;
    }

    /** An earlier module was told to wait so much longer. */
    void remembered(Lane lane, long told) {
        waits(lane, told);
        long apart = (long) (BACKOFF * random.nextDouble());
        lane.backoffUntil = Math.max(lane.backoffUntil, lane.waitUntil + apart);
    }

    /** Where limits count refused calls too, few calls after a refusal get in. */
    void learn(Attempt a, boolean in) {
        double[] eases = memory.eases;
        eases[a.route.kind] += EASE_WEIGHT * ((in ? 1 : 0) - eases[a.route.kind]);
    }

    /** After so many failures in a row. {@code even}: us; the first is no shorter, up to the middle one. */
    long span(Dest d, int failures, double even) {
        double gap = SECOND / Math.max(RATE_LEAST, d.usualRate);
        // Guards places that take many calls a second against standing idle for a dozen at each refusal.
        double least = Math.min(BACKOFF_LEAST, BACKOFF_GAPS_BUSY * gap);
        double first = Math.max(least, Math.min(BACKOFF, gap * BACKOFF_GAPS));
        first = Math.max(first, Math.min(BACKOFF_MID, even));
        double most = Math.max(BACKOFF_MID, Math.min(BACKOFF_MOST, gap * BACKOFF_MOST_GAPS));
        // Where limits count refused calls too, asking again keeps them shut: back off longer there.
        double ease = Math.min(1, Math.max(EASE_LEAST, memory.eases[d.kind]) / EASE_USUAL);
        double span = Math.min(most, first * Math.pow(BACKOFF_GROW, failures - 1)) / ease;
        return failures < 1 ? 0 : (long) (span * (0.5 + random.nextDouble()));
    }
}
