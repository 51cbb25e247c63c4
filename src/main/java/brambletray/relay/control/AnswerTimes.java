package brambletray.relay.control;

import static brambletray.relay.control.Turn.SECOND;

import brambletray.relay.control.Relay.Effect;
import brambletray.relay.control.Relay.Settings;
import brambletray.relay.control.State.Attempt;
import brambletray.relay.control.State.Dest;
import brambletray.relay.control.State.Msg;
import brambletray.relay.control.State.Route;

/** What answers tell of times, and the time-outs that follow from it. */
record AnswerTimes(Settings set, Memory memory) {
    /** A destination is slow when its latest answers take this multiple of the usual. */
    private static final double SLOW = 2.5;
    /** Weight of a new answer in the latest answer time. */
    private static final double LATEST = 0.3;
    /** Weight of a new answer in the usual answer time. */
    private static final double USUAL = 0.03;
    /** Time-out of a call as a multiple of the copy delay. */
    private static final double PATIENCE = 4.5;
    /** us; shortest time-out. */
    private static final long PATIENCE_LEAST = 3 * SECOND / 2;
    /** us; longest time-out. */
    private static final long PATIENCE_MOST = 6 * SECOND;
    /** us; time-out until answers are known. */
    private static final long PATIENCE_FIRST = 3 * SECOND;
    /** us; shortest time-out while calls are lost and slots are scarce. */
    private static final double LOST_LEAST = SECOND / 2;
    /** Time-out as a multiple of the copy delay while calls are lost and slots are scarce. */
    private static final double LOST_PATIENCE = 2;
    /** Share of the slots in use from which on slots are scarce. */
    private static final double SLOTS_SCARCE = 0.9;
    /** Share of timed-out messages answered in the usual time at their next call above which calls count as lost. */
    private static final double LOST_SHARE = 0.5;
    /** Weight of a new message in that share. */
    private static final double LOST_WEIGHT = 0.3;
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
