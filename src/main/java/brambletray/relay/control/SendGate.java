package brambletray.relay.control;

import static brambletray.relay.control.Turn.MS;
import static brambletray.relay.control.Turn.NEVER;
import static brambletray.relay.control.Turn.SECOND;

import brambletray.relay.control.Relay.Effect;
import brambletray.relay.control.Relay.Send;
import brambletray.relay.control.Relay.Settings;
import brambletray.relay.control.State.Attempt;
import brambletray.relay.control.State.Call;
import brambletray.relay.control.State.EndpointState;
import brambletray.relay.control.State.Message;
import brambletray.relay.control.State.TimerKind;
import java.util.SplittableRandom;

/** The one gate of every send: what may go where and when, and at what cost; and the slots in use. */
record SendGate(
        Settings settings,
        Memory memory,
        SplittableRandom random,
        Turn turn,
        AnswerTimes times,
        ConcurrencyWindow window,
        Connections connections,
        Outages outages) {
    /** us; cost of opening a connection, in the choice of an endpoint. */
    private static final long CONNECT_COST_US = 400 * MS;
    /** us; cost of one point of fee. */
    private static final long POINT_COST_US = 50 * MS;
    /** us; cost of each failure in a row. */
    private static final long FAILURE_COST_US = 2 * SECOND;

    double cost(Message message, EndpointState endpoint) {
        double latency = endpoint.latency > 0
                ? endpoint.latency
                : Math.max(endpoint.destination.recentLatency, HedgeDelay.INITIAL_DELAY_US);
        double points = endpoint.zone == settings.zone() ? 0 : settings.prices().crossZone();
        if (settings.kinds().get(endpoint.kind).apart()
                && endpoint.zone < settings.prices().zoneFee().size()) {
            points += settings.prices().zoneFee().get(endpoint.zone);
        }
        int streams = Math.max(1, settings.allowed().streams());
        boolean warm = endpoint.hasWarmConnection(turn.now - settings.allowed().keepAlive())
                || endpoint.inflight % streams != 0;
        return latency * (1 + endpoint.inflight) * (1 + 0.1 * random.nextDouble())
                + (warm ? 0 : CONNECT_COST_US)
                + points * 100 * POINT_COST_US
                + (double) (endpoint.consecutiveFailures + endpoint.overdue + message.attemptsAt(endpoint))
                        * FAILURE_COST_US;
    }

    /** True when the next message there joins the batch that this turn has begun. */
    boolean joinsBatch(EndpointState endpoint) {
        return endpoint.batchTurn == memory.turnCount
                && endpoint.batch.size < settings.kinds().get(endpoint.kind).bundle();
    }

    /** The one gate of every send: when this message may go to this endpoint; now or earlier means it may. */
    long earliestSendAt(Message message, EndpointState endpoint, boolean isHedge) {
        if (!endpoint.ready
                || endpoint.disabledByOperator
                || message.isEnded
                || message.destination != endpoint.destination
                || message.attempts.size() >= settings.allowed().attempts()
                || message.deadline <= turn.now
                || !effectAllows(message, endpoint, isHedge)
                || !message.isHeadOfKey()
                || KeyOrder.inQuietPeriod(message, turn.now)) {
            return NEVER;
        }
        boolean joins = joinsBatch(endpoint);
        boolean full = memory.slotsUsed >= settings.allowed().slots()
                || endpoint.destination.callsInFlight >= window.capacity(endpoint.destination);
        if (!joins && (full || endpoint.inflight >= endpoint.connectionCapacity)) {
            return NEVER;
        }
        return outages.earliestSendAt(endpoint, joins);
    }

    /** The rule on effects: where an earlier attempt may have run, only what the class allows. */
    private boolean effectAllows(Message message, EndpointState endpoint, boolean isHedge) {
        if (isHedge
                ? !settings.allowed().hedging() || message.messageClass.effect() == Effect.UNSAFE
                : message.openAttempts > 0) {
            return false;
        }
        if (message.messageClass.effect() == Effect.SAFE) {
            return true;
        }
        for (Attempt attempt : message.attempts) {
            if (attempt.mayHaveRun
                    && (message.messageClass.effect() == Effect.UNSAFE
                            || turn.now >= attempt.sentAt + message.messageClass.dedupWindow()
                            || message.messageClass.zoneGroup() && attempt.endpoint.zone != endpoint.zone)) {
                return false;
            }
        }
        return true;
    }

    void send(Message message, EndpointState endpoint) {
        Attempt attempt = new Attempt(message, endpoint, turn.now);
        attempt.followsRefusal = endpoint.destination.refusals > 0;
        if (!joinsBatch(endpoint)) {
            endpoint.batch = new Call();
            endpoint.batchTurn = memory.turnCount;
            memory.slotsUsed++;
            endpoint.destination.callsInFlight++;
            endpoint.limitScope.bucket.tokens--;
            attempt.idleTime = connections.takeIdle(endpoint);
        }
        attempt.start(endpoint.batch);
        outages.onSent(endpoint, attempt);
        if (message.isQueued) {
            message.isQueued = false;
            message.destination.queuedMessages--;
            message.destination.queues[message.queueIndex].remove(message);
        }
        turn.addAction(new Send(message.id, endpoint.id, times.timeoutFor(message, turn.now)));
        turn.schedule(turn.now + message.destination.hedgeDelay.delayUs(), TimerKind.HEDGE, attempt);
    }

    /** An attempt has ended: its slot and its connection are free once all of its call have. */
    void release(Attempt attempt) {
        if (attempt.finish()) {
            memory.slotsUsed--;
            attempt.endpoint.idleConnections.addLast(turn.now);
            turn.freedEndpoints.add(attempt.endpoint);
        }
        memory.dispatchable.add(attempt.endpoint.destination);
    }
}
