package brambletray.relay.control;

import brambletray.relay.control.Relay.Action;
import brambletray.relay.control.Relay.Log;
import brambletray.relay.control.Relay.Wake;
import brambletray.relay.control.State.Duty;
import brambletray.relay.control.State.Entry;
import brambletray.relay.control.State.Route;
import java.io.Serializable;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Set;

/** One turn: its time, the actions that it asks for, and the timers (agenda). It decides nothing. */
final class Turn {
    static final long MS = 1_000L;
    static final long SECOND = 1_000_000L;
    static final long NEVER = Long.MAX_VALUE;
    /** Log lines at most: operators keep only the first few hundred. */
    private static final int LOG_LINES = 100;
    /** Routes whose calls ended in this turn. */
    final Set<Route> freed = new LinkedHashSet<>();

    private final Memory memory;
    private List<Action> out = new ArrayList<>();
    private long wakeAt = NEVER;
    long now;

    Turn(Memory memory) {
        this.memory = memory;
        now = memory.now;
    }

    void begin(long time) {
        if (memory.turns > 0 && time < now) {
            throw new IllegalArgumentException("clock went back from " + now + " to " + time);
        }
        now = time;
        memory.now = time;
        memory.beganAt = memory.turns++ == 0 ? now : memory.beganAt;
        out = new ArrayList<>();
    }

    void add(Action action) {
        out.add(action);
    }

    void log(Route r, String what) {
        if (memory.logged++ < LOG_LINES) {
            out.add(new Log("endpoint " + r.id + ": " + what));
        }
    }

    /** Keeps a duty for its time; those of one time keep their order. */
    void at(long when, Duty duty, Serializable of) {
        memory.agenda.add(new Entry(when, memory.seq++, duty, of));
    }

    /** Takes the next duty whose time has come off the agenda; null if there is none. */
    Entry nextDue() {
        return !memory.agenda.isEmpty() && memory.agenda.peek().at() <= now ? memory.agenda.poll() : null;
    }

    /** A timer rang. */
    void woke() {
        wakeAt = wakeAt <= now ? NEVER : wakeAt;
    }

    /** Asks to be woken for the next duty that is not stale, and ends with what the turn asked for. */
    List<Action> end() {
        PriorityQueue<Entry> agenda = memory.agenda;
        while (!agenda.isEmpty() && agenda.peek().stale()) {
            agenda.poll();
        }
        if (!agenda.isEmpty() && agenda.peek().at() < wakeAt) {
            wakeAt = agenda.peek().at();
            out.add(new Wake(Math.max(1, wakeAt - now)));
        }
        return out;
    }
}
