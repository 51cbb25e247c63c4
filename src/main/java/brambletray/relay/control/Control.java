package brambletray.relay.control;

import brambletray.relay.control.Relay.Accepted;
import brambletray.relay.control.Relay.Action;
import brambletray.relay.control.Relay.AttemptEnded;
import brambletray.relay.control.Relay.EndpointExclusion;
import brambletray.relay.control.Relay.EndpointKnowledge;
import brambletray.relay.control.Relay.EndpointRestored;
import brambletray.relay.control.Relay.EndpointsListed;
import brambletray.relay.control.Relay.Event;
import brambletray.relay.control.Relay.Recalled;
import brambletray.relay.control.Relay.Settings;
import brambletray.relay.control.Relay.TimerFired;
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
 * All scheduling decisions of one relay. The interface (settings, events, actions) is in {@link Relay}.
 *
 * <p>Pass the time and events to {@link #turn} and carry out the returned actions in order. Not thread-safe.
 *
 * <p>Each concern has its own class with its tuned constants; this class wires them together. The design (speculative
 * execution, with its additions and exceptions) and the responsibilities of the classes are in docs/design.md.
 */
public final class Control {
    private final Memory memory;
    private final Turn turn;
    private final Connections connections;
    private final Endpoints endpoints;
    private final Hedging hedging;
    private final Dispatch dispatch;
    private final Messages messages;

    /** Starts with an empty state. */
    public Control(long seed, Settings settings) {
        this(
                seed,
                settings,
                new Memory(settings.tenants().size(), settings.kinds().size()));
        connections.init();
    }

    /**
     * Continues from the state of another instance, under the same settings and on the same clock; its attempts in
     * flight remain so. Idle connections are not handed over.
     */
    public Control(long seed, Settings settings, Memory previous) {
        Objects.requireNonNull(settings, "settings");
        SplittableRandom random = new SplittableRandom(seed);
        memory = previous;
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

    /** Returns the state, for handover between turns; this instance must get no events afterwards. */
    public Memory memory() {
        return memory;
    }

    /** Processes the events since the last turn; {@code time} must not go back. Returns the actions to carry out. */
    public List<Action> turn(long time, List<Event> events) {
        Objects.requireNonNull(events, "events");
        turn.begin(time);
        for (Event event : events) {
            dispatchEvent(Objects.requireNonNull(event, "event"));
        }
        for (Timer timer = turn.pollDueTimer(); timer != null; timer = turn.pollDueTimer()) {
            runTimer(timer);
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
        } else if (event instanceof EndpointRestored restored && memory.endpoints.containsKey(restored.endpoint())) {
            endpoints.restore(memory.endpoints.get(restored.endpoint()), restored.known());
        } else if (event instanceof TimerFired) {
            turn.onTimer();
        }
    }

    private void runTimer(Timer timer) {
        switch (timer.kind()) {
            case DEADLINE -> messages.giveUp((Message) timer.subject());
            case HEDGE -> hedging.maybeHedge((Attempt) timer.subject());
            case DISPATCH -> memory.dispatchable.add((Destination) timer.subject());
            case FORGET_ENDPOINT -> endpoints.forget((EndpointState) timer.subject());
            case RELEASE_KEY -> messages.advance((OrderingKey) timer.subject());
        }
    }

    /** Learned state of an endpoint, worth keeping over a restart; null for an unknown endpoint. */
    public EndpointKnowledge endpointKnowledge(long endpoint) {
        return memory.endpointKnowledge(endpoint);
    }

    /** Listed endpoints that get no regular traffic now: unhealthy or excluded by an operator. */
    public int unavailableEndpointCount() {
        return memory.unavailableEndpointCount();
    }
}
