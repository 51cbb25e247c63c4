package brambletray.relay.control;

import static brambletray.relay.control.Turn.SECOND;

import brambletray.relay.control.Relay.Accepted;
import brambletray.relay.control.Relay.AttemptEnded;
import brambletray.relay.control.Relay.Cancel;
import brambletray.relay.control.Relay.Effect;
import brambletray.relay.control.Relay.Fail;
import brambletray.relay.control.Relay.Outcome;
import brambletray.relay.control.Relay.PriorAttempt;
import brambletray.relay.control.Relay.Refuse;
import brambletray.relay.control.Relay.Settings;
import brambletray.relay.control.State.Attempt;
import brambletray.relay.control.State.Destination;
import brambletray.relay.control.State.EndpointState;
import brambletray.relay.control.State.Message;
import brambletray.relay.control.State.OrderingKey;
import brambletray.relay.control.State.TimerKind;
import brambletray.relay.control.State.WaitingQueue;

/** Life cycle of a message: accepted, queued, attempted, and ended by exactly one final answer. */
record Messages(
        Settings settings,
        Memory memory,
        Turn turn,
        Endpoints endpoints,
        KeyOrder keyOrder,
        SendGate gate,
        Outcomes outcomes) {
    /** us; time constant of the moving average of a relay's own message rate to a destination. */
    private static final long RATE_WINDOW_US = 15 * SECOND;
    /** us; lower bound of the measuring time since the start, by which that rate is divided. */
    private static final long MIN_RATE_AGE_US = 3 * SECOND;
    /** s; burst of a tenant's quota, as the time in which its rate would fill it. */
    private static final double QUOTA_BURST_S = 2;
    /** Waiting queues of each message class: of tenants within their quota, of tenants over it, of keyed retries. */
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
        boolean withinQuota = takeQuotaToken(accepted.tenant());
        message.queueIndex = accepted.messageClass() * QUEUES_PER_CLASS + (withinQuota ? 0 : OVER_QUOTA_QUEUE);
        message.fullValue = message.messageClass.value() * (withinQuota ? 1 : settings.overShareValue());
        memory.messages.put(message.id, message);
        memory.openMessages++;
        turn.schedule(message.deadline, TimerKind.DEADLINE, message);
        if (message.messageClass.inOrder() && accepted.key() != null) {
            keyOrder.enqueue(message, accepted.key());
        }
        for (PriorAttempt prior : accepted.priorAttempts()) {
            message.attempts.add(recoveredAttempt(message, prior));
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
     * Until when a message has its full value. A remaining lifetime below that of its class mostly means an earlier
     * submission; one below the latency target, that the client set a short deadline: such messages must not queue as
     * if they were late. Drawback: a client's last resubmission gets the same treatment.
     */
    private long latencyTargetTime(Message message) {
        boolean shortLived = message.deadline - turn.now <= message.messageClass.latencyTarget();
        return shortLived
                ? message.deadline
                : message.deadline - message.messageClass.lifetime() + message.messageClass.latencyTarget();
    }

    /** An attempt made before a restart; one in flight at that time may have run. */
    private Attempt recoveredAttempt(Message message, PriorAttempt prior) {
        Attempt attempt = new Attempt(message, new EndpointState(0, prior.zone(), 0), prior.sentAt());
        attempt.isDone = true;
        attempt.mayHaveRun = prior.mayHaveRun();
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

    /** Ends a message without delivery: refused where that is safe, else failed. */
    void giveUp(Message message) {
        if (message.isEnded) {
            return;
        }
        boolean refuse = mayRefuse(message) && turn.now < message.deadline;
        turn.addAction(refuse ? new Refuse(message.id, retryAfter(message.destination)) : new Fail(message.id));
        close(message);
    }

    /** Advice for resubmission: when an endpoint is available and the messages now waiting have been sent. */
    private long retryAfter(Destination destination) {
        long maxAdvice = settings.allowed().longestAdvice();
        long availableAt = destination.endpoints.values().stream()
                .filter(endpoint -> !endpoint.disabledByOperator)
                .mapToLong(EndpointState::blockedUntil)
                .min()
                .orElse(destination.endpoints.isEmpty() ? turn.now : turn.now + maxAdvice);
        return Math.min(maxAdvice, Math.max(availableAt - turn.now, (long) queueTime(destination)));
    }

    /** us; estimated time until the messages waiting for a destination have been sent. */
    private double queueTime(Destination destination) {
        return destination.queuedMessages
                / destination.window
                * Math.max(destination.recentLatency, HedgeDelay.INITIAL_DELAY_US);
    }

    /** Ends a message: nothing more is sent for it, and attempts in flight are cancelled. */
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

    /** Drops an ended message once all its attempts have ended, and queues the next message of its key. */
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

    /** All attempts have failed: queues the message for another, or ends it. */
    private void afterFailure(Message message) {
        boolean exhausted = message.attempts.size() >= settings.allowed().attempts() || turn.now >= message.deadline;
        if (exhausted || message.messageClass.effect() == Effect.UNSAFE && message.mayHaveRun()) {
            giveUp(message);
        } else {
            enqueue(message);
        }
    }

    /** Refuses the message only if it was never sent, so that its client can submit it again. */
    void onRecalled(Message message) {
        if (message.isQueued && message.attempts.isEmpty()) {
            giveUp(message);
        }
    }

    /** The limit of open messages is reached: refuses the waiting message with the lowest expected value. */
    private void shedLoad() {
        Message leastValuable = null;
        double lowestValue = Double.MAX_VALUE;
        for (Destination destination : memory.destinations.values()) {
            if (destination.queuedMessages == 0) {
                continue;
            }
            long sendTime = turn.now + (long) queueTime(destination);
            for (WaitingQueue queue : destination.queues) {
                Message message = queue.firstLate() != null ? queue.firstLate() : queue.lastOnTime();
                double value = message != null && mayRefuse(message) ? message.valueAt(sendTime) : lowestValue;
                if (value < lowestValue) {
                    lowestValue = value;
                    leastValuable = message;
                }
            }
        }
        if (leastValuable != null) {
            giveUp(leastValuable);
        }
    }
}
