package brambletray.relay.control;

import java.io.Serializable;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;

/** Data types of the state of {@link Control}; they make no decisions. */
final class State {
    private State() {}

    /** Health of an endpoint: answering; failing, so that only probes are sent; or recovering at a limited rate. */
    enum Health {
        HEALTHY,
        UNHEALTHY,
        SLOW_START
    }

    /** What a timer is for. */
    enum TimerKind {
        DEADLINE,
        HEDGE,
        DISPATCH,
        RELEASE_KEY,
        FORGET_ENDPOINT
    }

    /** A scheduled action; timers of the same time fire in the order in which they were scheduled. */
    record Timer(long dueAt, long sequence, TimerKind kind, Serializable subject)
            implements Comparable<Timer>, Serializable {
        @Override
        public int compareTo(Timer other) {
            return dueAt != other.dueAt ? Long.compare(dueAt, other.dueAt) : Long.compare(sequence, other.sequence);
        }

        /** True when it no longer has an effect. */
        boolean isStale() {
            return subject instanceof Attempt attempt && attempt.isDone
                    || kind == TimerKind.DEADLINE && ((Message) subject).isEnded;
        }
    }

    /** One message: queued, waiting for an earlier one of its key, in flight, or ended. */
    static final class Message implements Serializable {
        private static final long serialVersionUID = Memory.VERSION;
        String id;
        Relay.MessageClass messageClass;
        Destination destination;
        OrderingKey key;
        long deadline;
        /** us; until when delivery has its full value. */
        long targetTime;
        /** Order of arrival. */
        long sequence;

        int queueIndex;
        int hedges;
        int openAttempts;
        int timeouts;
        boolean isQueued;
        boolean isEnded;
        boolean halfLifeDecay;
        double fullValue;
        final List<Attempt> attempts = new ArrayList<>(2);

        Message(Relay.Accepted accepted, Relay.MessageClass messageClass, Destination destination, long sequence) {
            id = accepted.id();
            deadline = accepted.deadline();
            this.messageClass = messageClass;
            this.destination = destination;
            this.sequence = sequence;
        }

        /** True when no other message of its key must be sent before it. */
        boolean isHeadOfKey() {
            return key == null || key.queue.peekFirst() == this;
        }

        /** True when some attempt is in flight or may have taken effect. */
        boolean mayHaveRun() {
            for (Attempt attempt : attempts) {
                if (attempt.mayHaveRun) {
                    return true;
                }
            }
            return false;
        }

        /** Value of delivery at a time, from the settings of its class and the tenant's quota. */
        double valueAt(long time) {
            if (time <= targetTime) {
                return fullValue;
            }
            if (time > deadline) {
                return 0;
            }
            if (halfLifeDecay) {
                return fullValue
                        * Math.max(
                                messageClass.lateValue(),
                                Math.pow(0.5, (double) (time - targetTime) / messageClass.latencyTarget()));
            }
            double elapsedShare = (double) (time - targetTime) / Math.max(1, deadline - targetTime);
            return fullValue * (1 - elapsedShare * (1 - messageClass.lateValue()));
        }

        int attemptsAt(EndpointState endpoint) {
            int count = 0;
            for (Attempt attempt : attempts) {
                count += attempt.endpoint == endpoint ? 1 : 0;
            }
            return count;
        }
    }

    /** One send of a message. {@code mayHaveRun} stays true until its outcome proves otherwise. */
    static final class Attempt implements Serializable {
        private static final long serialVersionUID = Memory.VERSION;
        Message message;
        EndpointState endpoint;
        Call call;
        long sentAt;
        /** us; idle time of its connection before the send; -1 for a new connection. */
        long idleTime = -1;

        boolean isDone;
        boolean isCancelled;
        boolean isProbe;
        boolean followsRefusal;
        boolean isOverdue;
        boolean mayHaveRun = true;

        Attempt(Message message, EndpointState endpoint, long sent) {
            this.message = message;
            this.endpoint = endpoint;
            this.sentAt = sent;
        }

        /** Adds the attempt to its call and to the counts of attempts in flight. */
        void start(Call newCall) {
            call = newCall;
            call.openAttempts++;
            call.size++;
            endpoint.inflight++;
            message.attempts.add(this);
            message.openAttempts++;
        }

        /** Removes the attempt from the counts of attempts in flight; true if it was the last one of its call. */
        boolean finish() {
            Destination destination = endpoint.destination;
            message.openAttempts--;
            endpoint.inflight--;
            endpoint.probesInFlight -= isProbe ? 1 : 0;
            endpoint.overdue -= isOverdue ? 1 : 0;
            destination.overdueAttempts -= isOverdue ? 1 : 0;
            boolean lastOfCall = --call.openAttempts == 0;
            destination.callsInFlight -= lastOfCall ? 1 : 0;
            return lastOfCall;
        }
    }

    /** One request to an endpoint, which takes one slot: a single message or a batch. */
    static final class Call implements Serializable {
        private static final long serialVersionUID = Memory.VERSION;
        int openAttempts;
        int size;
        /** Outcomes of its messages so far. */
        final EnumSet<Relay.Outcome> outcomes = EnumSet.noneOf(Relay.Outcome.class);
    }

    /** Messages that share a key, in the order of acceptance. */
    static final class OrderingKey implements Serializable {
        private static final long serialVersionUID = Memory.VERSION;
        String name;
        long quietUntil;
        final ArrayDeque<Message> queue = new ArrayDeque<>();

        /** Drops ended messages with no open attempt; returns the first of the others, or null. */
        Message head() {
            while (!queue.isEmpty() && queue.peekFirst().isEnded && queue.peekFirst().openAttempts == 0) {
                queue.pollFirst();
            }
            return queue.peekFirst();
        }
    }

    /** Orders of messages; an enum, so that serialized sorted sets keep their comparator. */
    enum MessageOrder implements Comparator<Message> {
        BY_LATENCY_TARGET;

        @Override
        public int compare(Message one, Message other) {
            return one.targetTime != other.targetTime
                    ? Long.compare(one.targetTime, other.targetTime)
                    : Long.compare(one.sequence, other.sequence);
        }
    }

    /** Waiting messages of one priority, before and past their latency target; skips those no longer queued. */
    static final class WaitingQueue implements Serializable {
        private static final long serialVersionUID = Memory.VERSION;
        /** By latency target, then by order of arrival. */
        final TreeSet<Message> onTime = new TreeSet<>(MessageOrder.BY_LATENCY_TARGET);

        final ArrayDeque<Message> late = new ArrayDeque<>();

        Message firstOnTime() {
            while (!onTime.isEmpty() && !onTime.first().isQueued) {
                onTime.pollFirst();
            }
            return onTime.isEmpty() ? null : onTime.first();
        }

        Message lastOnTime() {
            while (!onTime.isEmpty() && !onTime.last().isQueued) {
                onTime.pollLast();
            }
            return onTime.isEmpty() ? null : onTime.last();
        }

        Message firstLate() {
            while (!late.isEmpty() && !late.peekFirst().isQueued) {
                late.pollFirst();
            }
            return late.peekFirst();
        }

        Message lastLate() {
            while (!late.isEmpty() && !late.peekLast().isQueued) {
                late.pollLast();
            }
            return late.peekLast();
        }

        /** Removes a message that is on time, or is the last of the late ones. */
        void remove(Message message) {
            if (!onTime.remove(message) && late.peekLast() == message) {
                late.pollLast();
            }
        }
    }

    /** A token bucket, full at its first use. */
    static final class TokenBucket implements Serializable {
        private static final long serialVersionUID = Memory.VERSION;
        double tokens = Double.MAX_VALUE;
        private long filledAt;

        void refill(double perSecond, double capacity, long now) {
            tokens = Math.min(capacity, tokens + perSecond * (now - filledAt) / 1e6);
            filledAt = now;
        }

        boolean tryTake() {
            boolean available = tokens >= 1;
            tokens -= available ? 1 : 0;
            return available;
        }
    }

    /** The scope of rate limits and retry-after times: a destination, or an endpoint if each has its own limits. */
    static final class LimitScope implements Serializable {
        private static final long serialVersionUID = Memory.VERSION;
        final TokenBucket bucket = new TokenBucket();
        /** Whether {@code rate} is known, from the list or from answers. */
        boolean hasRate;
        /** Whether {@code rate} was reported in an answer. */
        boolean limitReported;

        double rate;
        double pace;
        long waitUntil;
        long backoffUntil;
        long refusedAt;
        /** Consecutive refusals; those of calls in flight at the same time count once. */
        int refusals;
    }

    /** One endpoint: its listing, health and connections. */
    static final class EndpointState implements Serializable {
        private static final long serialVersionUID = Memory.VERSION;
        long id;
        int zone;
        int kind;
        Destination destination;
        LimitScope limitScope;
        /** Listed as ready for traffic. */
        boolean ready;

        boolean outageConfirmed;
        boolean disabledByOperator;

        Health health = Health.HEALTHY;
        int inflight;
        int consecutiveFailures;
        /** Consecutive resets of new connections, with no answer between. */
        int consecutiveResets;

        int probesInFlight;
        int overdue;
        /** Consecutive refusals of a further connection. */
        int consecutiveCapacityRefusals;
        /** Concurrent calls of this relay that it has connections for, as far as known. */
        int connectionCapacity = Integer.MAX_VALUE;
        /** us; when {@code connectionCapacity} last changed. */
        long capacityChangedAt = -1;
        /** us; moving average. */
        double latency;
        /** Moving average of the share of calls that failed. */
        double failureShare;
        /** us; hold time of its kind before its failed connects cut it. */
        double holdTimeBeforeCuts;

        long backoffUntil;
        long lastSuccessAt;
        long lastSuccessSentAt = -1;
        long unhealthySince;
        long slowStartAt;
        long lastSentAt;
        double spacing;
        final ArrayDeque<Long> idleConnections = new ArrayDeque<>();
        Call batch;
        long batchTurn = -1;
        long removedAt;

        EndpointState(long id, int zone, int kind) {
            this.id = id;
            this.zone = zone;
            this.kind = kind;
        }

        /** When its retry-after time and its back-offs have passed. */
        long blockedUntil() {
            return Math.max(
                    Math.max(backoffUntil, destination.backoffUntil),
                    Math.max(limitScope.waitUntil, limitScope.backoffUntil));
        }

        /** True when there is a connection that has become idle after this time. */
        boolean hasWarmConnection(long since) {
            while (!idleConnections.isEmpty() && idleConnections.peekFirst() <= since) {
                idleConnections.pollFirst();
            }
            return !idleConnections.isEmpty();
        }
    }

    /** One destination: its endpoints, waiting messages, concurrency window and response times. */
    static final class Destination implements Serializable {
        private static final long serialVersionUID = Memory.VERSION;
        final Map<Long, EndpointState> endpoints = new TreeMap<>();
        final WaitingQueue[] queues;
        final HedgeDelay hedgeDelay = new HedgeDelay();
        LimitScope sharedLimitScope;
        private double arrivals;
        private long arrivalsAt;
        /** Messages a second that arrive for it, as of the last arrival. */
        double usualRate;

        double window = 1;
        double hedgeBudget = 1;
        double recentLatency;
        double usualLatency;
        int kind = -1;
        int callsInFlight;
        int queuedMessages;
        int overdueAttempts;
        int refusals;
        long dispatchAt;
        long refusedAt;
        long backoffUntil;

        Destination(int bands) {
            this.queues = new WaitingQueue[bands];
            Arrays.setAll(this.queues, i -> new WaitingQueue());
        }

        /** True when at least one of its endpoints is healthy. */
        boolean hasHealthyEndpoint() {
            for (EndpointState endpoint : endpoints.values()) {
                if (endpoint.health == Health.HEALTHY) {
                    return true;
                }
            }
            return false;
        }

        /** Adds an arrival to the exponentially weighted rate. {@code age}: time since counting began. */
        void countArrival(long now, long window, long age) {
            arrivals = arrivals * Math.exp((double) (arrivalsAt - now) / window) + 1;
            arrivalsAt = now;
            usualRate = arrivals * 1e6 / (window * -Math.expm1(-(double) age / window));
        }
    }
}
