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

/** Selects the next waiting message and its endpoint. */
record Dispatch(Settings settings, Memory memory, Turn turn, SendGate gate, Hedging hedging) {
    /** Weight in the priority of the value lost by another second of waiting, relative to the value itself. */
    private static final double URGENCY_WEIGHT = 2;
    /** us; longest interval between two looks at a message that cannot be sent. */
    private static final long RECHECK_INTERVAL_US = 500 * MS;

    private record Candidate(Message message, EndpointState endpoint, double priority) {}

    private double priority(Message message) {
        long deliveryTime = turn.now + (long) message.destination.recentLatency;
        double value = message.valueAt(deliveryTime);
        return value + URGENCY_WEIGHT * (value - message.valueAt(deliveryTime + SECOND));
    }

    /** Sends what may be sent, highest priority first; the rest is reconsidered by timer, or when a call ends. */
    void run() {
        int slots = settings.allowed().slots();
        List<Candidate> candidates = new ArrayList<>();
        for (var it = memory.dispatchable.iterator(); it.hasNext() && memory.slotsUsed < slots; ) {
            Candidate candidate = pick(it.next());
            if (candidate != null) {
                candidates.add(candidate);
            } else {
                it.remove();
            }
        }
        while (!candidates.isEmpty()) {
            Candidate best = Collections.max(candidates, Comparator.comparingDouble(Candidate::priority));
            candidates.remove(best);
            if (gate.earliestSendAt(best.message, best.endpoint, false) <= turn.now) {
                gate.send(best.message, best.endpoint);
                hedging.onSent(best.message.destination);
            }
            Candidate next =
                    memory.slotsUsed < slots || gate.joinsBatch(best.endpoint) ? pick(best.message.destination) : null;
            if (next != null) {
                candidates.add(next);
            }
        }
    }

    /** The highest-priority message that can be sent now, with its endpoint; if there is none, schedules a timer. */
    private Candidate pick(Destination destination) {
        Candidate best = null;
        long recheckAt = turn.now + RECHECK_INTERVAL_US;
        for (WaitingQueue queue : destination.queues) {
            Message message = destination.queuedMessages > 0 ? nextMessage(queue) : null;
            double priority = message == null ? 0 : priority(message);
            if (message == null || best != null && best.priority >= priority) {
                continue;
            }
            EndpointState cheapest = null;
            double lowestCost = Double.MAX_VALUE;
            for (EndpointState endpoint : destination.endpoints.values()) {
                long when = gate.earliestSendAt(message, endpoint, false);
                double cost = when <= turn.now ? gate.cost(message, endpoint) : lowestCost;
                recheckAt = when <= turn.now ? recheckAt : Math.min(recheckAt, when);
                if (cost < lowestCost) {
                    lowestCost = cost;
                    cheapest = endpoint;
                }
            }
            if (cheapest != null) {
                best = new Candidate(message, cheapest, priority);
            }
        }
        if (best == null
                && destination.queuedMessages > 0
                && (destination.dispatchAt <= turn.now || recheckAt < destination.dispatchAt)) {
            destination.dispatchAt = recheckAt;
            turn.schedule(recheckAt, TimerKind.DISPATCH, destination);
        }
        return best;
    }

    /** The message with the earliest latency target that can still be met; else the newest, whose value is highest. */
    private Message nextMessage(WaitingQueue queue) {
        for (Message message = queue.firstOnTime(); message != null; message = queue.firstOnTime()) {
            if (turn.now + (long) message.destination.recentLatency <= message.targetTime) {
                return message;
            }
            queue.late.addLast(queue.onTime.pollFirst());
        }
        return queue.lastLate();
    }
}
