package brambletray.relay.control;

import static brambletray.relay.control.Turn.*;

import brambletray.relay.control.Relay.*;
import brambletray.relay.control.State.*;

/** What answers tell of times, and the time-outs that follow from it. */
record AnswerTimes(Settings set, Memory memory) {
    /** A destination is slow when its latest answers take this multiple of the usual. */
    private static final double SLOW = 2.5;
    /** Weights of a new answer in the latest and the usual time. */
    private static final double LATEST = 0.3, USUAL = 0.03;
    /** us; time-out: a multiple of the copy delay, its bounds, and one until answers are known. */
    private static final double PATIENCE = 4.5;

    private static final long PATIENCE_LEAST = 3 * SECOND / 2, PATIENCE_MOST = 6 * SECOND, PATIENCE_FIRST = 3 * SECOND;
    /** The least (us) and the multiple where calls are lost, and this share of the slots is in use. */
    private static final double LOST_LEAST = SECOND / 2, LOST_PATIENCE = 2, SLOTS_SCARCE = 0.9;
    /** Share of timed-out messages answered in the usual time at their next call: those calls were lost. */
    private static final double LOST_SHARE = 0.5, LOST_WEIGHT = 0.3;
    /** Longer time-outs at each of a message that timed out before: it may just take that long. */
    private static final double PATIENCE_AGAIN = 2;
    /** Longer time-outs where one loses the message. */
    private static final double PATIENCE_UNSAFE = 3;

    static boolean slow(Dest d) {
        return d.usual > 0 && d.latest > SLOW * d.usual;
    }

    void answered(Attempt a, long latency) {
        Route r = a.route;
        Dest d = r.dest;
        if (a.msg.timeouts == 1) {
            memory.lost += LOST_WEIGHT * ((latency <= d.copyDelay.delay() ? 1 : 0) - memory.lost);
        }
        d.copyDelay.add(latency);
        r.latency = r.latency == 0 ? latency : r.latency + LATEST * (latency - r.latency);
        d.latest = d.latest == 0 ? latency : d.latest + LATEST * (latency - d.latest);
        double sample = d.usual == 0 ? latency : Math.min(latency, SLOW * d.usual);
        double weight = d.copyDelay.settled() ? USUAL : LATEST;
        d.usual = d.usual == 0 ? latency : d.usual + weight * (sample - d.usual);
    }

    /** The time-out of a message's next call. */
    long patience(Msg m, long now) {
        CopyDelay copies = m.dest.copyDelay;
        // Guards the slots against calls that are never answered: while they are scarce, none waits for long.
        // It hurts where destinations turn slow after that; a message that timed out gets longer there.
        boolean brief = memory.lost >= LOST_SHARE
                && memory.slotsUsed >= SLOTS_SCARCE * set.allowed().slots();
        double base = brief
                ? Math.max(LOST_LEAST, LOST_PATIENCE * copies.delay())
                : Math.max(PATIENCE_LEAST, PATIENCE * copies.delay());
        base = copies.known() ? Math.min(PATIENCE_MOST, base) : PATIENCE_FIRST;
        base *= m.cls.effect() == Effect.UNSAFE ? PATIENCE_UNSAFE : Math.pow(PATIENCE_AGAIN, m.timeouts);
        return Math.min(m.deadline - now, (long) base);
    }
}
