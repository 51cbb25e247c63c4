package brambletray.relay.control;

import static brambletray.relay.control.Turn.SECOND;

import brambletray.relay.control.Relay.Accepted;
import brambletray.relay.control.Relay.Cancel;
import brambletray.relay.control.Relay.Earlier;
import brambletray.relay.control.Relay.Effect;
import brambletray.relay.control.Relay.Ended;
import brambletray.relay.control.Relay.Fail;
import brambletray.relay.control.Relay.Outcome;
import brambletray.relay.control.Relay.Refuse;
import brambletray.relay.control.Relay.Settings;
import brambletray.relay.control.State.Attempt;
import brambletray.relay.control.State.Band;
import brambletray.relay.control.State.Dest;
import brambletray.relay.control.State.Duty;
import brambletray.relay.control.State.Key;
import brambletray.relay.control.State.Msg;
import brambletray.relay.control.State.Route;

/** The life of a message: taken on, queued, attempted, and ended by exactly one final answer. */
record Messages(
        Settings set, Memory memory, Turn turn, Endpoints endpoints, KeyOrder order, SendGate gate, Outcomes outcomes) {
    /** us; span over which a relay measures its own usual rate to a destination. */
    private static final long RATE_SPAN = 15 * SECOND;
    /** us; shortest time since the start by which that measurement divides. */
    private static final long RATE_AGE = 3 * SECOND;
    /** s; a tenant inside its share may run ahead of it by this much. */
    private static final double SHARE_BURST = 2;

    void accept(Accepted e) {
        if (memory.messages.containsKey(e.id())) {
            return;
        }
        Dest d = endpoints.dest(e.destination());
        d.mark(turn.now, RATE_SPAN, Math.max(RATE_AGE, turn.now - memory.beganAt));
        Msg m = new Msg(e, set.classes().get(e.messageClass()), d, memory.seq++);
        m.halving = set.halvingLate();
        m.aim = aim(m);
        boolean inShare = inShare(e.tenant());
        m.band = e.messageClass() * 3 + (inShare ? 0 : 1);
        m.full = m.cls.worth() * (inShare ? 1 : set.overShareWorth());
        memory.messages.put(m.id, m);
        memory.open++;
        turn.at(m.deadline, Duty.DEADLINE, m);
        if (m.cls.inOrder() && e.key() != null) {
            order.join(m, e.key());
        }
        for (Earlier before : e.earlier()) {
            m.attempts.add(recovered(m, before));
        }
        if (!m.attempts.isEmpty()
                && (m.attempts.size() >= set.allowed().attempts()
                        || m.cls.effect() == Effect.UNSAFE && m.mayHaveRun())) {
            giveUp(m);
        } else if (m.first()) {
            enqueue(m);
        }
        if (memory.open >= set.allowed().open()) {
            shed();
        }
    }

    /**
     * Until when a message has its full worth. Less than the class's time left mostly means that it was
     * handed in before; less than even its aim, that its client never had more to give. Guards short messages
     * against waiting behind all others as if late. It hurts where clients come again for the last time.
     */
    private long aim(Msg m) {
        boolean brief = m.deadline - turn.now <= m.cls.aim();
        return brief ? m.deadline : m.deadline - m.cls.life() + m.cls.aim();
    }

    /** An attempt made before a restart; one that was out then may have run. */
    private Attempt recovered(Msg m, Earlier before) {
        Attempt a = new Attempt(m, new Route(0, before.zone(), 0), before.sent());
        a.done = true;
        a.maybeRan = before.mayHaveRun();
        if (a.maybeRan) {
            order.rest(m);
        }
        return a;
    }

    private boolean inShare(int tenant) {
        if (tenant >= memory.shares.length) {
            return true;
        }
        double rate = set.tenants().get(tenant).quota() / set.relays();
        memory.shares[tenant].fill(rate, rate * SHARE_BURST, turn.now);
        return memory.shares[tenant].take();
    }

    private void enqueue(Msg m) {
        if (m.cls.effect() == Effect.KEYED && m.mayHaveRun()) {
            m.band = m.band / 3 * 3 + 2;
        }
        m.queued = true;
        m.dest.waiting++;
        memory.active.add(m.dest);
        m.dest.bands[m.band].fresh.add(m);
    }

    private boolean mayRefuse(Msg m) {
        return m.cls.effect() == Effect.SAFE || !m.mayHaveRun() || m.cls.effect() == Effect.KEYED && !m.cls.zoneGroup();
    }

    /** Ends a message for want of a better answer: handed back where the rules allow it, else failed. */
    void giveUp(Msg m) {
        if (m.ended) {
            return;
        }
        boolean back = mayRefuse(m) && turn.now < m.deadline;
        turn.add(back ? new Refuse(m.id, comeBack(m.dest)) : new Fail(m.id));
        close(m);
    }

    /** When to hand a refused message in again: once a route is open and those that wait have gone. */
    private long comeBack(Dest d) {
        long longest = set.allowed().longestAdvice();
        long opens = d.routes.values().stream()
                .filter(r -> !r.out)
                .mapToLong(Route::closedUntil)
                .min()
                .orElse(d.routes.isEmpty() ? turn.now : turn.now + longest);
        return Math.min(longest, Math.max(opens - turn.now, (long) queue(d)));
    }

    /** us; how long those that wait for a destination will take. */
    private double queue(Dest d) {
        return d.waiting / d.window * Math.max(d.latest, CopyDelay.FIRST_DELAY);
    }

    /** The message is over: nothing more goes out for it, and copies still out are called off. */
    void close(Msg m) {
        memory.open -= m.ended ? 0 : 1;
        m.ended = true;
        m.dest.waiting -= m.queued ? 1 : 0;
        m.queued = false;
        for (int i = 0; i < m.attempts.size(); i++) {
            Attempt a = m.attempts.get(i);
            if (!a.done && !a.cancelled && set.allowed().cancel()) {
                a.cancelled = true;
                turn.add(new Cancel(m.id, i));
            }
        }
        settle(m);
    }

    /** Forgets an ended message once its last attempt is known, and lets the next of its key go. */
    private void settle(Msg m) {
        if (!m.ended || m.open > 0) {
            return;
        }
        memory.messages.remove(m.id);
        if (m.key != null) {
            advance(m.key);
        }
    }

    void advance(Key key) {
        Msg next = order.advance(key);
        if (next != null) {
            enqueue(next);
        }
    }

    void attemptEnded(Ended e) {
        Msg m = memory.messages.get(e.id());
        if (m == null || e.attempt() < 0 || e.attempt() >= m.attempts.size() || m.attempts.get(e.attempt()).done) {
            return;
        }
        Attempt a = m.attempts.get(e.attempt());
        a.done = true;
        a.maybeRan = !e.outcome().neverRan();
        gate.free(a);
        outcomes.observe(a, e);
        if (e.outcome() == Outcome.TIMEOUT || e.outcome() == Outcome.RESET || e.outcome() == Outcome.CANCELLED) {
            order.rest(m);
        }
        if (!m.ended && (e.over() || e.outcome() == Outcome.OK)) {
            close(m);
        } else if (!m.ended && m.open == 0) {
            afterFailure(m);
        } else {
            settle(m);
        }
    }

    /** No attempt is out and none has delivered: wait for another, or end. */
    private void afterFailure(Msg m) {
        boolean spent = m.attempts.size() >= set.allowed().attempts() || turn.now >= m.deadline;
        if (spent || m.cls.effect() == Effect.UNSAFE && m.mayHaveRun()) {
            giveUp(m);
        } else {
            enqueue(m);
        }
    }

    /** Handed back only if it has not been sent: its client may come again with it. */
    void recalled(Msg m) {
        if (m.queued && m.attempts.isEmpty()) {
            giveUp(m);
        }
    }

    /** The hold is full: give back the waiting message that has least left to gain. */
    private void shed() {
        Msg worst = null;
        double least = Double.MAX_VALUE;
        for (Dest d : memory.dests.values()) {
            if (d.waiting == 0) {
                continue;
            }
            long gone = turn.now + (long) queue(d);
            for (Band band : d.bands) {
                Msg m = band.firstLate() != null ? band.firstLate() : band.lastFresh();
                double left = m != null && mayRefuse(m) ? m.worth(gone) : least;
                if (left < least) {
                    least = left;
                    worst = m;
                }
            }
        }
        if (worst != null) {
            giveUp(worst);
        }
    }
}
