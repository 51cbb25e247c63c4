package brambletray.relay.control;

import brambletray.relay.control.Relay.Effect;
import brambletray.relay.control.Relay.Settings;
import brambletray.relay.control.State.Attempt;
import brambletray.relay.control.State.Dest;
import brambletray.relay.control.State.Health;
import brambletray.relay.control.State.Msg;
import brambletray.relay.control.State.Route;

/** Copies (the design's speculative executions): when one goes out and where, after {@link CopyDelay}. */
record Copies(Settings set, SendGate gate, Turn turn) {
    /** Extra executions of one message; the source's example uses one. */
    private static final int EXTRAS = 1;
    /** Calls that a limit must have left for a copy. */
    private static final double COPY_ROOM = 2;
    /** Copies earned by each call that is sent, so that copies cannot pile up. */
    private static final double COPY_SHARE = 0.05;
    /** Earned copies that are saved at most. */
    private static final double COPY_SAVED = 2;

    /** A message went out that is no copy. */
    void earned(Dest d) {
        d.copies = Math.min(COPY_SAVED, d.copies + COPY_SHARE);
    }

    /** The delay has passed with no answer: a copy to another endpoint, if there is room for one. */
    void consider(Attempt a) {
        Msg m = a.msg;
        if (a.done) {
            return;
        }
        if (!a.overdue) {
            a.overdue = true;
            a.route.overdue++;
            m.dest.overdue++;
        }
        if (m.ended
                || m.extras >= EXTRAS
                || m.cls.effect() == Effect.UNSAFE
                || !set.allowed().copies()) {
            return;
        }
        Route choice = null;
        // Unsent messages go first; and copies are held to a share of sends, lest an overload, in which every
        // call trips the delay, pile them onto a full destination.
        if (m.dest.waiting == 0 && m.dest.copies >= 1 && !AnswerTimes.slow(m.dest)) {
            double least = Double.MAX_VALUE;
            for (Route r : m.dest.routes.values()) {
                double cost = gate.cost(m, r);
                boolean free = gate.gate(m, r, true) <= turn.now && r.lane.bucket.tokens >= COPY_ROOM;
                if (r != a.route && r.health == Health.GOOD && free && cost < least) {
                    least = cost;
                    choice = r;
                }
            }
        }
        if (choice != null) {
            m.extras++;
            m.dest.copies--;
            gate.send(m, choice);
        }
    }
}
