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

/** The current turn: its time, the actions that it requests, and the timers. Makes no decisions. */
final class Turn {
    static final long MS = 1_000L;
    static final long SECOND = 1_000_000L;
    static final long NEVER = Long.MAX_VALUE;
    /** Limit of log lines: operators keep only the first few hundred. */
    private static final int MAX_LOG_LINES = 100;
    /** Endpoints at which a call has ended in this turn. */
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

    void log(EndpointState endpoint, String text) {
        if (memory.loggedLines++ < MAX_LOG_LINES) {
            actions.add(new Log("endpoint " + endpoint.id + ": " + text));
        }
    }

    /** Schedules a timer; those of the same time fire in the order of scheduling. */
    void schedule(long dueAt, TimerKind kind, Serializable subject) {
        memory.timers.add(new Timer(dueAt, memory.nextSequence++, kind, subject));
    }

    /** Removes and returns the next timer that is due; null if there is none. */
    Timer pollDueTimer() {
        return !memory.timers.isEmpty() && memory.timers.peek().dueAt() <= now ? memory.timers.poll() : null;
    }

    /** The timer requested from the caller has fired. */
    void onTimer() {
        wakeAt = wakeAt <= now ? NEVER : wakeAt;
    }

    /** Requests a wake-up for the next timer that is not stale, and returns the actions of the turn. */
    List<Action> end() {
        PriorityQueue<Timer> timers = memory.timers;
        while (!timers.isEmpty() && timers.peek().isStale()) {
            timers.poll();
        }
        if (!timers.isEmpty() && timers.peek().dueAt() < wakeAt) {
            wakeAt = timers.peek().dueAt();
            actions.add(new SetTimer(Math.max(1, wakeAt - now)));
        }
        return actions;
    }
}
