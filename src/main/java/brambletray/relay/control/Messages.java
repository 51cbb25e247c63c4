package brambletray.relay.control;

import static brambletray.relay.control.Turn.SECOND;

import brambletray.relay.control.Relay.Accepted;
import brambletray.relay.control.Relay.Cancel;
import brambletray.relay.control.Relay.PriorAttempt;
import brambletray.relay.control.Relay.Effect;
import brambletray.relay.control.Relay.AttemptEnded;
import brambletray.relay.control.Relay.Fail;
import brambletray.relay.control.Relay.Outcome;
import brambletray.relay.control.Relay.Refuse;
import brambletray.relay.control.Relay.Settings;
import brambletray.relay.control.State.Attempt;
import brambletray.relay.control.State.Destination;
import brambletray.relay.control.State.EndpointState;
import brambletray.relay.control.State.Message;
import brambletray.relay.control.State.OrderingKey;
import brambletray.relay.control.State.TimerKind;
import brambletray.relay.control.State.WaitingQueue;

/** The life of a message: taken on, queued, attempted, and ended by exactly one final answer. */
record Messages(
        Settings settings,
        Memory memory,
        Turn turn,
        Endpoints endpoints,
        KeyOrder keyOrder,
        SendGate gate,
        Outcomes outcomes) {
    /** us; span over which a relay measures its own usual rate to a destination. */
    private static final long RATE_WINDOW_US = 15 * SECOND;
    /** us; shortest time since the start by which that measurement divides. */
    private static final long MIN_RATE_AGE_US = 3 * SECOND;
    /** s; a tenant inside its share may run ahead of it by this much. */
    private static final double QUOTA_BURST_S = 2;
    /** Waiting queues of each message class: of tenants inside their share, of others, of keyed repeats. */
    static final int QUEUES_PER_CLASS = 3;

    private static final int OVER_QUOTA_QUEUE = 1;
    private static final int RETRY_QUEUE = 2;

    void accept(Accepted accepted) {
        if (memory.messages.containsKey(accepted.id())) {
            return;
        }
        Destination destination = endpoints.destination(accepted.destination());
        destination.countArrival(turn.now, RATE_WINDOW_US, Math.max(MIN_RATE_AGE_US, turn.now - memory.startedAt));
        Message message = new Message(
                accepted, settings.classes().get(accepted.messageClass()), destination, memory.nextSequence++);
        message.halfLifeDecay = settings.halfLifeDecay();
        message.targetTime = latencyTargetTime(message);
        boolean inShare = takeQuotaToken(accepted.tenant());
        message.queueIndex = accepted.messageClass() * QUEUES_PER_CLASS + (inShare ? 0 : OVER_QUOTA_QUEUE);
        message.fullValue = message.messageClass.value() * (inShare ? 1 : settings.overShareValue());
        memory.messages.put(message.id, message);
        memory.openMessages++;
        turn.schedule(message.deadline, TimerKind.DEADLINE, message);
        if (message.messageClass.inOrder() && accepted.key() != null) {
            keyOrder.enqueue(message, accepted.key());
        }
        for (PriorAttempt before : accepted.priorAttempts()) {
            message.attempts.add(recoveredAttempt(message, before));
        }
        if (!message.attempts.isEmpty()
                && (message.attempts.size() >= settings.allowed().attempts()
                        || message.messageClass.effect() == Effect.UNSAFE && message.mayHaveRun())) {
            giveUp(message);
        } else if (message.isHeadOfKey()) {
            enqueue(message);
        }
        if (memory.openMessages >= settings.allowed().openMessages()) {
            shedLoad();
        }
    }

    /**
     * Until when a message has its full value. Less than the class's time left mostly means that it was handed in
     * before; less than even its latency target, that its client never had more to give. Guards short messages against
     * waiting behind all others as if late. It hurts where clients come again for the last time.
     */
    private long latencyTargetTime(Message message) {
        boolean brief = message.deadline - turn.now <= message.messageClass.latencyTarget();
        return brief
                ? message.deadline
                : message.deadline - message.messageClass.lifetime() + message.messageClass.latencyTarget();
    }

    /** An attempt made before a restart; one that was out then may have run. */
    private Attempt recoveredAttempt(Message message, PriorAttempt before) {
        Attempt attempt = new Attempt(message, new EndpointState(0, before.zone(), 0), before.sentAt());
        attempt.isDone = true;
        attempt.mayHaveRun = before.mayHaveRun();
        if (attempt.mayHaveRun) {
            keyOrder.startQuietPeriod(message);
        }
        return attempt;
    }

    private boolean takeQuotaToken(int tenant) {
        if (tenant >= memory.tenantBuckets.length) {
            return true;
        }
        double rate = settings.tenants().get(tenant).quota() / settings.relays();
        memory.tenantBuckets[tenant].refill(rate, rate * QUOTA_BURST_S, turn.now);
        return memory.tenantBuckets[tenant].tryTake();
    }

    private void enqueue(Message message) {
        if (message.messageClass.effect() == Effect.KEYED && message.mayHaveRun()) {
            message.queueIndex = message.queueIndex / QUEUES_PER_CLASS * QUEUES_PER_CLASS + RETRY_QUEUE;
        }
        message.isQueued = true;
        message.destination.queuedMessages++;
        memory.dispatchable.add(message.destination);
        message.destination.queues[message.queueIndex].onTime.add(message);
    }

    private boolean mayRefuse(Message message) {
        return message.messageClass.effect() == Effect.SAFE
                || !message.mayHaveRun()
                || message.messageClass.effect() == Effect.KEYED && !message.messageClass.zoneGroup();
    }

    /** Ends a message for want of a better answer: handed back where the rules allow it, else failed. */
    void giveUp(Message message) {
        if (message.isEnded) {
            return;
        }
        boolean back = mayRefuse(message) && turn.now < message.deadline;
        turn.addAction(back ? new Refuse(message.id, retryAfter(message.destination)) : new Fail(message.id));
        close(message);
    }

    /** When to hand a refused message in again: once a endpoint is open and those that wait have gone. */
    private long retryAfter(Destination destination) {
        long longest = settings.allowed().longestAdvice();
        long opens = destination.endpoints.values().stream()
                .filter(endpoint -> !endpoint.disabledByOperator)
                .mapToLong(EndpointState::blockedUntil)
                .min()
                .orElse(destination.endpoints.isEmpty() ? turn.now : turn.now + longest);
        return Math.min(longest, Math.max(opens - turn.now, (long) queueTime(destination)));
    }

    /** us; how long those that wait for a destination will take. */
    private double queueTime(Destination destination) {
        return destination.queuedMessages
                / destination.window
                * Math.max(destination.recentLatency, HedgeDelay.INITIAL_DELAY_US);
    }

    /** The message is over: nothing more goes out for it, and hedges still out are called off. */
    void close(Message message) {
        memory.openMessages -= message.isEnded ? 0 : 1;
        message.isEnded = true;
        message.destination.queuedMessages -= message.isQueued ? 1 : 0;
        message.isQueued = false;
        for (int i = 0; i < message.attempts.size(); i++) {
            Attempt attempt = message.attempts.get(i);
            if (!attempt.isDone && !attempt.isCancelled && settings.allowed().cancel()) {
                attempt.isCancelled = true;
                turn.addAction(new Cancel(message.id, i));
            }
        }
        forgetIfEnded(message);
    }

    /** Forgets an ended message once its last attempt is known, and lets the next of its key go. */
    private void forgetIfEnded(Message message) {
        if (!message.isEnded || message.openAttempts > 0) {
            return;
        }
        memory.messages.remove(message.id);
        if (message.key != null) {
            advance(message.key);
        }
    }

    void advance(OrderingKey key) {
        Message next = keyOrder.advance(key);
        if (next != null) {
            enqueue(next);
        }
    }

    void onAttemptEnded(AttemptEnded ended) {
        Message message = memory.messages.get(ended.id());
        if (message == null
                || ended.attempt() < 0
                || ended.attempt() >= message.attempts.size()
                || message.attempts.get(ended.attempt()).isDone) {
            return;
        }
        Attempt attempt = message.attempts.get(ended.attempt());
        attempt.isDone = true;
        attempt.mayHaveRun = !ended.outcome().neverRan();
        gate.release(attempt);
        outcomes.observe(attempt, ended);
        if (ended.outcome() == Outcome.TIMEOUT
                || ended.outcome() == Outcome.RESET
                || ended.outcome() == Outcome.CANCELLED) {
            keyOrder.startQuietPeriod(message);
        }
        if (!message.isEnded && (ended.messageEnded() || ended.outcome() == Outcome.OK)) {
            close(message);
        } else if (!message.isEnded && message.openAttempts == 0) {
            afterFailure(message);
        } else {
            forgetIfEnded(message);
        }
    }

    /** No attempt is out and none has delivered: wait for another, or end. */
    private void afterFailure(Message message) {
        boolean spent = message.attempts.size() >= settings.allowed().attempts() || turn.now >= message.deadline;
        if (spent || message.messageClass.effect() == Effect.UNSAFE && message.mayHaveRun()) {
            giveUp(message);
        } else {
            enqueue(message);
        }
    }

    /** Handed back only if it has not been sent: its client may come again with it. */
    void onRecalled(Message message) {
        if (message.isQueued && message.attempts.isEmpty()) {
            giveUp(message);
        }
    }

    /** The hold is full: give back the waiting message that has least left to gain. */
    private void shedLoad() {
        Message worst = null;
        double least = Double.MAX_VALUE;
        for (Destination destination : memory.destinations.values()) {
            if (destination.queuedMessages == 0) {
                continue;
            }
            long gone = turn.now + (long) queueTime(destination);
            for (WaitingQueue band : destination.queues) {
                Message message = band.firstLate() != null ? band.firstLate() : band.lastOnTime();
                double left = message != null && mayRefuse(message) ? message.valueAt(gone) : least;
                if (left < least) {
                    least = left;
                    worst = message;
                }
            }
        }
        if (worst != null) {
            giveUp(worst);
        }
    }
}
