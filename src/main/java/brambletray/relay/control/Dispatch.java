package brambletray.relay.control;

import static brambletray.relay.control.Turn.MS;
import static brambletray.relay.control.Turn.SECOND;

import brambletray.relay.control.Relay.Settings;
import brambletray.relay.control.State.Band;
import brambletray.relay.control.State.Dest;
import brambletray.relay.control.State.Duty;
import brambletray.relay.control.State.Msg;
import brambletray.relay.control.State.Route;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;

/** Dispatch: which waiting message goes next, and by which route. */
record Dispatch(Settings set, Memory memory, Turn turn, SendGate gate, Copies copies) {
    /** Priority: weight of the worth lost by another second of waiting against the worth itself. */
    private static final double URGENCY = 2;
    /** us; a waiting message is looked at again at least this often while its lane is limited. */
    private static final long RECHECK = 500 * MS;

    private record Pick(Msg msg, Route route, double priority) {}

    private double priority(Msg m) {
        long when = turn.now + (long) m.dest.latest;
        double soon = m.worth(when);
        return soon + URGENCY * (soon - m.worth(when + SECOND));
    }

    /** Sends what may go, best first. What cannot go is looked at again in time, or when something ends. */
    void run() {
        int slots = set.allowed().slots();
        List<Pick> picks = new ArrayList<>();
        for (var it = memory.active.iterator(); it.hasNext() && memory.slotsUsed < slots; ) {
            Pick p = pick(it.next());
            if (p != null) {
                picks.add(p);
            } else {
                it.remove();
            }
        }
        while (!picks.isEmpty()) {
            Pick best = Collections.max(picks, Comparator.comparingDouble(Pick::priority));
            picks.remove(best);
            if (gate.gate(best.msg, best.route, false) <= turn.now) {
                gate.send(best.msg, best.route);
                copies.earned(best.msg.dest);
            }
            Pick next = memory.slotsUsed < slots || gate.joins(best.route) ? pick(best.msg.dest) : null;
            if (next != null) {
                picks.add(next);
            }
        }
    }

    /** The best message of a destination that can go now, with its route; else arranges another look. */
    private Pick pick(Dest d) {
        Pick best = null;
        long look = turn.now + RECHECK;
        for (Band band : d.bands) {
            Msg m = d.waiting > 0 ? head(band) : null;
            double priority = m == null ? 0 : priority(m);
            if (m == null || best != null && best.priority >= priority) {
                continue;
            }
            Route choice = null;
            double least = Double.MAX_VALUE;
            for (Route r : d.routes.values()) {
                long when = gate.gate(m, r, false);
                double cost = when <= turn.now ? gate.cost(m, r) : least;
                look = when <= turn.now ? look : Math.min(look, when);
                if (cost < least) {
                    least = cost;
                    choice = r;
                }
            }
            if (choice != null) {
                best = new Pick(m, choice, priority);
            }
        }
        if (best == null && d.waiting > 0 && (d.lookAt <= turn.now || look < d.lookAt)) {
            d.lookAt = look;
            turn.at(look, Duty.LOOK, d);
        }
        return best;
    }

    /** Of those that can make their aim the earliest aim goes first; past it the newest, worth most. */
    private Msg head(Band band) {
        for (Msg m = band.firstFresh(); m != null; m = band.firstFresh()) {
            if (turn.now + (long) m.dest.latest <= m.aim) {
                return m;
            }
            band.late.addLast(band.fresh.pollFirst());
        }
        return band.lastLate();
    }
}
