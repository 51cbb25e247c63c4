package brambletray.relay.control;

import static brambletray.relay.control.Turn.MS;
import static brambletray.relay.control.Turn.SECOND;

import brambletray.relay.control.Relay.Settings;
import brambletray.relay.control.State.Destination;
import brambletray.relay.control.State.EndpointState;
import brambletray.relay.control.State.Message;
import brambletray.relay.control.State.TimerKind;
import brambletray.relay.control.State.WaitingQueue;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;

/** Dispatch: which waiting message goes next, and by which endpoint. */
record Dispatch(Settings settings, Memory memory, Turn turn, SendGate gate, Hedging hedging) {
    /** Priority: weight of the value lost by another second of waiting against the value itself. */
    private static final double URGENCY_WEIGHT = 2;
    /** us; a waiting message is considered again at least this often while its limit scope is exhausted. */
    private static final long RECHECK_INTERVAL_US = 500 * MS;

    private record Candidate(Message message, EndpointState endpoint, double priority) {}

    private double priority(Message message) {
        long when = turn.now + (long) message.destination.recentLatency;
        double soon = message.valueAt(when);
        return soon + URGENCY_WEIGHT * (soon - message.valueAt(when + SECOND));
    }

    /** Sends what may go, best first. What cannot go is considered again in time, or when a call ends. */
    void run() {
        int slots = settings.allowed().slots();
        List<Candidate> picks = new ArrayList<>();
        for (var it = memory.dispatchable.iterator(); it.hasNext() && memory.slotsUsed < slots; ) {
            Candidate pick = pick(it.next());
            if (pick != null) {
                picks.add(pick);
            } else {
                it.remove();
            }
        }
        while (!picks.isEmpty()) {
            Candidate best = Collections.max(picks, Comparator.comparingDouble(Candidate::priority));
            picks.remove(best);
            if (gate.earliestSendAt(best.message, best.endpoint, false) <= turn.now) {
                gate.send(best.message, best.endpoint);
                hedging.onSent(best.message.destination);
            }
            Candidate next =
                    memory.slotsUsed < slots || gate.joinsBatch(best.endpoint) ? pick(best.message.destination) : null;
            if (next != null) {
                picks.add(next);
            }
        }
    }

    /** The best message of a destination that can go now, with its endpoint; else a timer is scheduled for it. */
    private Candidate pick(Destination destination) {
        Candidate best = null;
        long look = turn.now + RECHECK_INTERVAL_US;
        for (WaitingQueue band : destination.queues) {
            Message message = destination.queuedMessages > 0 ? nextMessage(band) : null;
            double priority = message == null ? 0 : priority(message);
            if (message == null || best != null && best.priority >= priority) {
                continue;
            }
            EndpointState choice = null;
            double least = Double.MAX_VALUE;
            for (EndpointState endpoint : destination.endpoints.values()) {
                long when = gate.earliestSendAt(message, endpoint, false);
                double cost = when <= turn.now ? gate.cost(message, endpoint) : least;
                look = when <= turn.now ? look : Math.min(look, when);
                if (cost < least) {
                    least = cost;
                    choice = endpoint;
                }
            }
            if (choice != null) {
                best = new Candidate(message, choice, priority);
            }
        }
        if (best == null
                && destination.queuedMessages > 0
                && (destination.dispatchAt <= turn.now || look < destination.dispatchAt)) {
            destination.dispatchAt = look;
            turn.schedule(look, TimerKind.DISPATCH, destination);
        }
        return best;
    }

    /** The earliest latency target that can still be met; if there is none the newest, whose value is highest. */
    private Message nextMessage(WaitingQueue band) {
        for (Message message = band.firstOnTime(); message != null; message = band.firstOnTime()) {
            if (turn.now + (long) message.destination.recentLatency <= message.targetTime) {
                return message;
            }
            band.late.addLast(band.onTime.pollFirst());
        }
        return band.lastLate();
    }
}
