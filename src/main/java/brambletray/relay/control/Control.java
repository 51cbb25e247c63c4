package brambletray.relay.control;

import brambletray.relay.control.Relay.Accepted;
import brambletray.relay.control.Relay.Action;
import brambletray.relay.control.Relay.TimerFired;
import brambletray.relay.control.Relay.AttemptEnded;
import brambletray.relay.control.Relay.Event;
import brambletray.relay.control.Relay.EndpointExclusion;
import brambletray.relay.control.Relay.EndpointKnowledge;
import brambletray.relay.control.Relay.EndpointsListed;
import brambletray.relay.control.Relay.Recalled;
import brambletray.relay.control.Relay.EndpointRestored;
import brambletray.relay.control.Relay.Settings;
import brambletray.relay.control.Relay.Withdrawn;
import brambletray.relay.control.State.Attempt;
import brambletray.relay.control.State.Destination;
import brambletray.relay.control.State.EndpointState;
import brambletray.relay.control.State.Message;
import brambletray.relay.control.State.OrderingKey;
import brambletray.relay.control.State.Timer;
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
    private final Hedging hedging;
    private final Dispatch dispatch;
    private final Messages messages;

    /** A relay that knows nothing yet but its settings. */
    public Control(long seed, Settings settings) {
        this(
                seed,
                settings,
                new Memory(settings.tenants().size(), settings.kinds().size()));
        connections.init();
    }

    /**
     * One that goes on where another ended, under the same settings and on the same clock; what was out then
     * is out still. The connections are not handed on.
     */
    public Control(long seed, Settings settings, Memory left) {
        Objects.requireNonNull(settings, "settings");
        SplittableRandom random = new SplittableRandom(seed);
        memory = left;
        turn = new Turn(memory);
        AnswerTimes times = new AnswerTimes(settings, memory);
        ConcurrencyWindow window = new ConcurrencyWindow(settings);
        Pace pace = new Pace(settings, memory, random, turn);
        Backoff backoff = new Backoff(settings, memory, random, turn, pace);
        connections = new Connections(settings, memory, random, turn);
        Outages outages = new Outages(settings, random, turn, pace, backoff, connections);
        endpoints = new Endpoints(settings, memory, turn, pace, backoff, outages);
        SendGate gate = new SendGate(settings, memory, random, turn, times, window, connections, outages);
        hedging = new Hedging(settings, gate, turn);
        dispatch = new Dispatch(settings, memory, turn, gate, hedging);
        messages = new Messages(
                settings,
                memory,
                turn,
                endpoints,
                new KeyOrder(settings, memory, turn),
                gate,
                new Outcomes(times, window, pace, backoff, connections, outages));
        memory.endpoints.values().forEach(endpoint -> endpoint.idleConnections.clear());
    }

    /** What it remembers, between turns; it must get no more events from then on. */
    public Memory memory() {
        return memory;
    }

    /** One turn: the time, which never goes back, and the events since the last. Returns what to do. */
    public List<Action> turn(long time, List<Event> events) {
        Objects.requireNonNull(events, "events");
        turn.begin(time);
        for (Event event : events) {
            dispatchEvent(Objects.requireNonNull(event, "event"));
        }
        for (Timer due = turn.pollDueTimer(); due != null; due = turn.pollDueTimer()) {
            runTimer(due);
        }
        dispatch.run();
        turn.freedEndpoints.forEach(connections::releaseIfUnused);
        turn.freedEndpoints.clear();
        return turn.end();
    }

    private void dispatchEvent(Event event) {
        if (event instanceof Accepted accepted) {
            messages.accept(accepted);
        } else if (event instanceof AttemptEnded ended) {
            messages.onAttemptEnded(ended);
        } else if (event instanceof EndpointsListed listed) {
            endpoints.onListed(listed);
        } else if (event instanceof Withdrawn withdrawn && memory.messages.containsKey(withdrawn.id())) {
            messages.close(memory.messages.get(withdrawn.id()));
        } else if (event instanceof Recalled recalled && memory.messages.containsKey(recalled.id())) {
            messages.onRecalled(memory.messages.get(recalled.id()));
        } else if (event instanceof EndpointExclusion exclusion) {
            endpoints.onExcluded(exclusion);
        } else if (event instanceof EndpointRestored remembered && memory.endpoints.containsKey(remembered.endpoint())) {
            endpoints.restore(memory.endpoints.get(remembered.endpoint()), remembered.known());
        } else if (event instanceof TimerFired) {
            turn.onTimer();
        }
    }

    private void runTimer(Timer entry) {
        switch (entry.kind()) {
            case DEADLINE -> messages.giveUp((Message) entry.subject());
            case HEDGE -> hedging.maybeHedge((Attempt) entry.subject());
            case DISPATCH -> memory.dispatchable.add((Destination) entry.subject());
            case FORGET_ENDPOINT -> endpoints.forget((EndpointState) entry.subject());
            case RELEASE_KEY -> messages.advance((OrderingKey) entry.subject());
        }
    }

    /** What another module would have to learn again of an endpoint; null where it is not held. */
    public EndpointKnowledge endpointKnowledge(long endpoint) {
        return memory.endpointKnowledge(endpoint);
    }

    /** Listed endpoints that get no ordinary traffic now: taken out by an operator, or unhealthy. */
    public int unavailableEndpointCount() {
        return memory.unavailableEndpointCount();
    }
}
