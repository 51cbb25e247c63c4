package brambletray.relay.control;

import brambletray.relay.control.Relay.Accepted;
import brambletray.relay.control.Relay.Action;
import brambletray.relay.control.Relay.Allowed;
import brambletray.relay.control.Relay.TimerFired;
import brambletray.relay.control.Relay.Effect;
import brambletray.relay.control.Relay.AttemptEnded;
import brambletray.relay.control.Relay.Endpoint;
import brambletray.relay.control.Relay.Event;
import brambletray.relay.control.Relay.Kind;
import brambletray.relay.control.Relay.Listing;
import brambletray.relay.control.Relay.MessageClass;
import brambletray.relay.control.Relay.Outcome;
import brambletray.relay.control.Relay.Prices;
import brambletray.relay.control.Relay.Rules;
import brambletray.relay.control.Relay.Send;
import brambletray.relay.control.Relay.Settings;
import brambletray.relay.control.Relay.Tenant;
import brambletray.relay.control.Relay.SetTimer;
import brambletray.relay.control.Relay.Weights;
import java.util.ArrayList;
import java.util.List;

/** Drives one Control by script: events in, actions out, every one of them past the rule checker. */
final class ControlHarness {
    static final long MS = 1_000;
    static final long SECOND = 1_000_000;
    final Settings settings;
    final RuleChecker checker;
    final Control control;
    long now = 5 * SECOND;
    long wakeAt = Long.MAX_VALUE;
    private int nextMessage;

    /**
     * Classes: 0 safe, 1 keyed (group all), 2 unsafe in order, 3 keyed (zone group). Kinds: 0 shared, 1 apart, 2
     * bundles.
     */
    static Settings settings(int slots, boolean copies, int relays) {
        return settings(slots, copies, relays, 8, 200);
    }

    static Settings settings(int slots, boolean copies, int relays, int attempts, int open) {
        List<MessageClass> classes = List.of(
                new MessageClass("a", SECOND, 5 * SECOND, 2, 0, Effect.SAFE, false, 0, false),
                new MessageClass("b", 4 * SECOND, 16 * SECOND, 1, 0.5, Effect.KEYED, false, 10 * SECOND, false),
                new MessageClass("c", 3 * SECOND, 28 * SECOND, 4, 0.5, Effect.UNSAFE, false, 0, true),
                new MessageClass("d", 3 * SECOND, 16 * SECOND, 1, 0.4, Effect.KEYED, true, 10 * SECOND, false));
        return new Settings(
                0,
                relays,
                0,
                false,
                0.2,
                Weights.NOMINAL,
                classes,
                List.of(new Tenant("t", 50)),
                List.of(new Kind(false, 1), new Kind(true, 1), new Kind(true, 10)),
                new Allowed(slots, open, attempts, copies, true, 1, 1500 * MS, 10 * SECOND, 3 * SECOND),
                new Rules(250 * MS, 2.5, 3 * SECOND, 0.15, 10 * SECOND, 50 * MS, 20 * MS),
                new Prices(0.05, 0.06, 0, 0.05, List.of(0.0, 0.0)));
    }

    ControlHarness(Settings set) {
        this(set, 1);
    }

    ControlHarness(Settings set, long seed) {
        this.settings = set;
        checker = new RuleChecker(set);
        control = new Control(seed, set);
    }

    static Endpoint endpoint(long id, int zone, int kind, long destination, double weight) {
        return new Endpoint(id, zone, kind, destination, Listing.READY, weight);
    }

    List<Action> turn(Event... events) {
        return turn(List.of(events));
    }

    List<Action> turn(List<Event> events) {
        for (Event e : events) {
            checker.onEvent(now, e);
        }
        if (wakeAt <= now) {
            wakeAt = Long.MAX_VALUE;
            events = new ArrayList<>(events);
            events.add(new TimerFired());
        }
        List<Action> actions = control.turn(now, events);
        for (Action a : actions) {
            checker.onAction(now, a);
            if (a instanceof SetTimer w) {
                wakeAt = Math.min(wakeAt, now + w.delay());
            }
        }
        checker.checkDeadlines(now);
        return actions;
    }

    /** Lets time pass in steps of 5 ms, as a host with a clock of that grain would; returns all actions on the way. */
    List<Action> advance(long span) {
        List<Action> all = new ArrayList<>();
        for (long end = now + span; now < end; ) {
            now += 5 * MS;
            if (wakeAt <= now) {
                all.addAll(turn());
            } else {
                checker.checkDeadlines(now);
            }
        }
        return all;
    }

    Accepted message(int cls, long destination) {
        return message(cls, destination, null);
    }

    Accepted message(int cls, long destination, String key) {
        return new Accepted(
                "m" + nextMessage++, cls, 0, key, now + settings.classes().get(cls).lifetime(), destination);
    }

    static AttemptEnded ended(Send send, int attempt, Outcome outcome) {
        return ended(send, attempt, outcome, 0);
    }

    static AttemptEnded ended(Send send, int attempt, Outcome outcome, long waitFor) {
        return new AttemptEnded(
                send.id(), attempt, send.endpoint(), outcome, outcome == Outcome.OK, waitFor, 100 * MS, -1, -1);
    }

    static List<Send> sends(List<Action> actions) {
        return actions.stream()
                .filter(Send.class::isInstance)
                .map(Send.class::cast)
                .toList();
    }

    static <T extends Action> long count(List<Action> actions, Class<T> type) {
        return actions.stream().filter(type::isInstance).count();
    }

    /** Sends and answers so many messages, one by one, so that answers are known and the window is open. */
    void warmUp(int messages, long destination) {
        for (int i = 0; i < messages; i++) {
            List<Send> sent = new ArrayList<>(sends(turn(message(0, destination))));
            for (int step = 0; sent.isEmpty() && step < 400; step++) {
                sent.addAll(sends(advance(10 * MS)));
            }
            now += 100 * MS;
            turn(ended(sent.get(0), 0, Outcome.OK));
            now += 200 * MS;
        }
    }
}
