package brambletray.relay.control;

import brambletray.relay.control.Relay.Action;
import brambletray.relay.control.Relay.Log;
import brambletray.relay.control.Relay.SetTimer;
import brambletray.relay.control.State.EndpointState;
import brambletray.relay.control.State.Timer;
import brambletray.relay.control.State.TimerKind;
import java.io.Serializable;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Set;

/** One turn: its time, the actions that it asks for, and the timers. It decides nothing. */
final class Turn {
    static final long MS = 1_000L;
    static final long SECOND = 1_000_000L;
    static final long NEVER = Long.MAX_VALUE;
    /** Log lines at most: operators keep only the first few hundred. */
    private static final int MAX_LOG_LINES = 100;
    /** Endpoints whose calls ended in this turn. */
    final Set<EndpointState> freedEndpoints = new LinkedHashSet<>();

    private final Memory memory;
    private List<Action> actions = new ArrayList<>();
    private long wakeAt = NEVER;
    long now;

    Turn(Memory memory) {
        this.memory = memory;
        now = memory.now;
    }

    void begin(long time) {
        if (memory.turnCount > 0 && time < now) {
            throw new IllegalArgumentException("clock went back from " + now + " to " + time);
        }
        now = time;
        memory.now = time;
        memory.startedAt = memory.turnCount++ == 0 ? now : memory.startedAt;
        actions = new ArrayList<>();
    }

    void addAction(Action action) {
        actions.add(action);
    }

    void log(EndpointState endpoint, String what) {
        if (memory.loggedLines++ < MAX_LOG_LINES) {
            actions.add(new Log("endpoint " + endpoint.id + ": " + what));
        }
    }

    /** Schedules a timer; those of one time keep their order. */
    void schedule(long when, TimerKind duty, Serializable of) {
        memory.timers.add(new Timer(when, memory.nextSequence++, duty, of));
    }

    /** Takes the next timer that is due; null if there is none. */
    Timer pollDueTimer() {
        return !memory.timers.isEmpty() && memory.timers.peek().dueAt() <= now ? memory.timers.poll() : null;
    }

    /** The caller's timer has fired. */
    void onTimer() {
        wakeAt = wakeAt <= now ? NEVER : wakeAt;
    }

    /** Asks for a call at the next timer that is not stale, and returns what the turn asked for. */
    List<Action> end() {
        PriorityQueue<Timer> agenda = memory.timers;
        while (!agenda.isEmpty() && agenda.peek().isStale()) {
            agenda.poll();
        }
        if (!agenda.isEmpty() && agenda.peek().dueAt() < wakeAt) {
            wakeAt = agenda.peek().dueAt();
            actions.add(new SetTimer(Math.max(1, wakeAt - now)));
        }
        return actions;
    }
}
