package brambletray.relay.control;

import static brambletray.relay.control.Turn.MS;
import static brambletray.relay.control.Turn.NEVER;
import static brambletray.relay.control.Turn.SECOND;

import brambletray.relay.control.Relay.Effect;
import brambletray.relay.control.Relay.Send;
import brambletray.relay.control.Relay.Settings;
import brambletray.relay.control.State.Attempt;
import brambletray.relay.control.State.Call;
import brambletray.relay.control.State.Duty;
import brambletray.relay.control.State.Msg;
import brambletray.relay.control.State.Route;
import java.util.SplittableRandom;

/** The one gate of every send: what may go where and when, and at what cost; and the slots in use. */
record SendGate(
        Settings set,
        Memory memory,
        SplittableRandom random,
        Turn turn,
        AnswerTimes times,
        Window window,
        Connections connections,
        Outages outages) {
    /** us; cost of opening a connection, in the choice of an endpoint. */
    private static final long COST_CONNECT = 400 * MS;
    /** us; cost of one point of fee. */
    private static final long COST_POINT = 50 * MS;
    /** us; cost of each failure in a row. */
    private static final long COST_FAILURE = 2 * SECOND;

    double cost(Msg m, Route r) {
        double latency = r.latency > 0 ? r.latency : Math.max(r.dest.latest, CopyDelay.FIRST_DELAY);
        double points = r.zone == set.zone() ? 0 : set.prices().crossZone();
        if (set.kinds().get(r.kind).apart() && r.zone < set.prices().zoneFee().size()) {
            points += set.prices().zoneFee().get(r.zone);
        }
        int streams = Math.max(1, set.allowed().streams());
        boolean warm = r.warm(turn.now - set.allowed().keepAlive()) || r.inflight % streams != 0;
        return latency * (1 + r.inflight) * (1 + 0.1 * random.nextDouble())
                + (warm ? 0 : COST_CONNECT)
                + points * 100 * COST_POINT
                + (double) (r.failRun + r.overdue + m.tries(r)) * COST_FAILURE;
    }

    /** True when the next message there goes with the call that this turn has made already. */
    boolean joins(Route r) {
        return r.bundleTurn == memory.turns
                && r.bundle.size < set.kinds().get(r.kind).bundle();
    }

    /** The one gate of every send: when this message may go to this route; now or earlier means it may. */
    long gate(Msg m, Route r, boolean copy) {
        if (!r.ready
                || r.out
                || m.ended
                || m.dest != r.dest
                || m.attempts.size() >= set.allowed().attempts()
                || m.deadline <= turn.now
                || !effectAllows(m, r, copy)
                || !m.first()
                || KeyOrder.rests(m, turn.now)) {
            return NEVER;
        }
        boolean joins = joins(r);
        boolean full = memory.slotsUsed >= set.allowed().slots() || r.dest.calls >= window.room(r.dest);
        if (!joins && (full || r.inflight >= r.places)) {
            return NEVER;
        }
        return outages.opens(r, joins);
    }

    /** The rule on effects: where an earlier attempt may have run, only what the class allows. */
    private boolean effectAllows(Msg m, Route r, boolean copy) {
        if (copy ? !set.allowed().copies() || m.cls.effect() == Effect.UNSAFE : m.open > 0) {
            return false;
        }
        if (m.cls.effect() == Effect.SAFE) {
            return true;
        }
        for (Attempt a : m.attempts) {
            if (a.maybeRan
                    && (m.cls.effect() == Effect.UNSAFE
                            || turn.now >= a.sent + m.cls.window()
                            || m.cls.zoneGroup() && a.route.zone != r.zone)) {
                return false;
            }
        }
        return true;
    }

    void send(Msg m, Route r) {
        Attempt a = new Attempt(m, r, turn.now);
        a.again = r.dest.refusals > 0;
        if (!joins(r)) {
            r.bundle = new Call();
            r.bundleTurn = memory.turns;
            memory.slotsUsed++;
            r.dest.calls++;
            r.lane.bucket.tokens--;
            a.idle = connections.take(r);
        }
        a.enter(r.bundle);
        outages.sent(r, a);
        if (m.queued) {
            m.queued = false;
            m.dest.waiting--;
            m.dest.bands[m.band].remove(m);
        }
        turn.add(new Send(m.id, r.id, times.patience(m, turn.now)));
        turn.at(turn.now + m.dest.copyDelay.delay(), Duty.COPY, a);
    }

    /** An attempt has ended: its slot and its connection are free once all of its call have. */
    void free(Attempt a) {
        if (a.leave()) {
            memory.slotsUsed--;
            a.route.idle.addLast(turn.now);
            turn.freed.add(a.route);
        }
        memory.active.add(a.route.dest);
    }
}
