package brambletray.relay.control;

import static brambletray.relay.control.Turn.SECOND;

import brambletray.relay.control.Relay.Effect;
import brambletray.relay.control.Relay.Settings;
import brambletray.relay.control.State.Attempt;
import brambletray.relay.control.State.Destination;
import brambletray.relay.control.State.EndpointState;
import brambletray.relay.control.State.Message;

/** Response time statistics, and the call time-outs derived from them. */
record AnswerTimes(Settings settings, Memory memory) {
    /** A destination is slow when its recent response time exceeds this multiple of the usual one. */
    private static final double SLOW_FACTOR = 2.5;
    /** Weight of a new answer in the recent response time. */
    private static final double RECENT_WEIGHT = 0.3;
    /** Weight of a new answer in the usual response time. */
    private static final double USUAL_WEIGHT = 0.03;
    /** Time-out of a call as a multiple of the hedge delay. */
    private static final double TIMEOUT_FACTOR = 4.5;
    /** us; shortest time-out. */
    private static final long MIN_TIMEOUT_US = 3 * SECOND / 2;
    /** us; longest time-out. */
    private static final long MAX_TIMEOUT_US = 6 * SECOND;
    /** us; time-out until enough answers are known. */
    private static final long INITIAL_TIMEOUT_US = 3 * SECOND;
    /** us; shortest time-out while calls get lost and slots are scarce. */
    private static final double MIN_SCARCE_TIMEOUT_US = SECOND / 2;
    /** Time-out as a multiple of the hedge delay while calls get lost and slots are scarce. */
    private static final double SCARCE_TIMEOUT_FACTOR = 2;
    /** Share of the slots in use from which on slots are scarce. */
    private static final double SCARCE_SLOTS_SHARE = 0.9;
    /** Calls count as lost if at least this share of timed-out messages is answered in the usual time when retried. */
    private static final double LOST_CALLS_SHARE = 0.5;
    /** Weight of a new message in that share. */
    private static final double LOST_CALLS_WEIGHT = 0.3;
    /** Factor of the time-out for each earlier time-out of a message, whose processing may just take that long. */
    private static final double REPEAT_TIMEOUT_FACTOR = 2;
    /** Factor of the time-out for messages that a time-out would lose. */
    private static final double UNSAFE_TIMEOUT_FACTOR = 3;

    static boolean isSlow(Destination destination) {
        return destination.usualLatency > 0 && destination.recentLatency > SLOW_FACTOR * destination.usualLatency;
    }

    void onAnswered(Attempt attempt, long latency) {
        EndpointState endpoint = attempt.endpoint;
        Destination destination = endpoint.destination;
        if (attempt.message.timeouts == 1) {
            memory.lostShare +=
                    LOST_CALLS_WEIGHT * ((latency <= destination.hedgeDelay.delayUs() ? 1 : 0) - memory.lostShare);
        }
        destination.hedgeDelay.add(latency);
        endpoint.latency =
                endpoint.latency == 0 ? latency : endpoint.latency + RECENT_WEIGHT * (latency - endpoint.latency);
        destination.recentLatency = destination.recentLatency == 0
                ? latency
                : destination.recentLatency + RECENT_WEIGHT * (latency - destination.recentLatency);
        double sample =
                destination.usualLatency == 0 ? latency : Math.min(latency, SLOW_FACTOR * destination.usualLatency);
        double weight = destination.hedgeDelay.isSettled() ? USUAL_WEIGHT : RECENT_WEIGHT;
        destination.usualLatency = destination.usualLatency == 0
                ? latency
                : destination.usualLatency + weight * (sample - destination.usualLatency);
    }

    /** The time-out of a message's next call. */
    long timeoutFor(Message message, long now) {
        HedgeDelay hedgeDelay = message.destination.hedgeDelay;
        // Short time-outs keep lost calls from occupying scarce slots. Drawback: a destination that turns slow
        // meanwhile times out too; its messages get a longer time-out on retry.
        boolean scarce = memory.lostShare >= LOST_CALLS_SHARE
                && memory.slotsUsed >= SCARCE_SLOTS_SHARE * settings.allowed().slots();
        double base = scarce
                ? Math.max(MIN_SCARCE_TIMEOUT_US, SCARCE_TIMEOUT_FACTOR * hedgeDelay.delayUs())
                : Math.max(MIN_TIMEOUT_US, TIMEOUT_FACTOR * hedgeDelay.delayUs());
        base = hedgeDelay.isKnown() ? Math.min(MAX_TIMEOUT_US, base) : INITIAL_TIMEOUT_US;
        base *= message.messageClass.effect() == Effect.UNSAFE
                ? UNSAFE_TIMEOUT_FACTOR
                : Math.pow(REPEAT_TIMEOUT_FACTOR, message.timeouts);
        return Math.min(message.deadline - now, (long) base);
    }
}
