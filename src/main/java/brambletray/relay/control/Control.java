package brambletray.relay.control;

import brambletray.relay.control.Relay.Accepted;
import brambletray.relay.control.Relay.Action;
import brambletray.relay.control.Relay.Due;
import brambletray.relay.control.Relay.Ended;
import brambletray.relay.control.Relay.Event;
import brambletray.relay.control.Relay.Excluded;
import brambletray.relay.control.Relay.Known;
import brambletray.relay.control.Relay.Listed;
import brambletray.relay.control.Relay.Recalled;
import brambletray.relay.control.Relay.Remembered;
import brambletray.relay.control.Relay.Settings;
import brambletray.relay.control.Relay.Withdrawn;
import brambletray.relay.control.State.Attempt;
import brambletray.relay.control.State.Dest;
import brambletray.relay.control.State.Entry;
import brambletray.relay.control.State.Key;
import brambletray.relay.control.State.Msg;
import brambletray.relay.control.State.Route;
import java.util.List;
import java.util.Objects;
import java.util.SplittableRandom;

/**
 * The module: all decisions of one relay. The interface (settings, events, actions) is in Relay.java.
 *
 * <p>Feed {@link #turn} with the time and events; carry out what it returns, in order. One thread.
 *
 * <p>One file a concern, each with its tuned values; here they are put together. The ordinary path is
 * speculative execution: docs/design.md tells what is kept, added and excepted, and which file does what.
 */
public final class Control {
    private final Memory memory;
    private final Turn turn;
    private final Connections connections;
    private final Endpoints endpoints;
    private final Copies copies;
    private final Dispatch dispatch;
    private final Messages messages;

    /** A relay that knows nothing yet but its settings. */
    public Control(long seed, Settings settings) {
        this(
                seed,
                settings,
                new Memory(settings.tenants().size(), settings.kinds().size()));
        connections.start();
    }

    /**
     * One that goes on where another ended, under the same settings and on the same clock; what was out then
     * is out still. The connections are not handed on.
     */
    public Control(long seed, Settings settings, Memory left) {
        Settings set = Objects.requireNonNull(settings, "settings");
        SplittableRandom random = new SplittableRandom(seed);
        memory = left;
        turn = new Turn(memory);
        AnswerTimes times = new AnswerTimes(set, memory);
        Window window = new Window(set);
        Pace pace = new Pace(set, memory, random, turn);
        Backoff backoff = new Backoff(set, memory, random, turn, pace);
        connections = new Connections(set, memory, random, turn);
        Outages outages = new Outages(set, random, turn, pace, backoff, connections);
        endpoints = new Endpoints(set, memory, turn, pace, backoff, outages);
        SendGate gate = new SendGate(set, memory, random, turn, times, window, connections, outages);
        copies = new Copies(set, gate, turn);
        dispatch = new Dispatch(set, memory, turn, gate, copies);
        messages = new Messages(
                set,
                memory,
                turn,
                endpoints,
                new KeyOrder(set, memory, turn),
                gate,
                new Outcomes(times, window, pace, backoff, connections, outages));
        memory.routes.values().forEach(r -> r.idle.clear());
    }

    /** What it remembers, between turns; it must not be told anything more. */
    public Memory memory() {
        return memory;
    }

    /** One turn: the time, which never goes back, and the events since the last. Returns what to do. */
    public List<Action> turn(long time, List<Event> events) {
        Objects.requireNonNull(events, "events");
        turn.begin(time);
        for (Event event : events) {
            take(Objects.requireNonNull(event, "event"));
        }
        for (Entry due = turn.nextDue(); due != null; due = turn.nextDue()) {
            doDuty(due);
        }
        dispatch.run();
        turn.freed.forEach(connections::release);
        turn.freed.clear();
        return turn.end();
    }

    private void take(Event event) {
        if (event instanceof Accepted e) {
            messages.accept(e);
        } else if (event instanceof Ended e) {
            messages.attemptEnded(e);
        } else if (event instanceof Listed e) {
            endpoints.listed(e);
        } else if (event instanceof Withdrawn e && memory.messages.containsKey(e.id())) {
            messages.close(memory.messages.get(e.id()));
        } else if (event instanceof Recalled e && memory.messages.containsKey(e.id())) {
            messages.recalled(memory.messages.get(e.id()));
        } else if (event instanceof Excluded e) {
            endpoints.excluded(e);
        } else if (event instanceof Remembered e && memory.routes.containsKey(e.endpoint())) {
            endpoints.remembered(memory.routes.get(e.endpoint()), e.known());
        } else if (event instanceof Due) {
            turn.woke();
        }
    }

    private void doDuty(Entry entry) {
        switch (entry.duty()) {
            case DEADLINE -> messages.giveUp((Msg) entry.of());
            case COPY -> copies.consider((Attempt) entry.of());
            case LOOK -> memory.active.add((Dest) entry.of());
            case FORGET -> endpoints.forget((Route) entry.of());
            case KEY -> messages.advance((Key) entry.of());
        }
    }

    /** What another module would have to learn again of an endpoint; null where it is not held. */
    public Known known(long endpoint) {
        return memory.known(endpoint);
    }

    /** Listed endpoints that get no ordinary traffic now: out by hand, or held to fail. */
    public int avoided() {
        return memory.avoided();
    }
}
