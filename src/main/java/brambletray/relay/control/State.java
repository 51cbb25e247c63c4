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

/** What {@link Control} remembers: plain records of fact and containers. Nothing here decides. */
final class State {
    private State() {}

    /** Health of an endpoint: answering, failing (only probes are sent), or recovered and held to the return budget. */
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

    /** Something due at a time; entries of one time keep their order. */
    record Timer(long dueAt, long sequence, TimerKind kind, Serializable subject)
            implements Comparable<Timer>, Serializable {
        @Override
        public int compareTo(Timer other) {
            return dueAt != other.dueAt ? Long.compare(dueAt, other.dueAt) : Long.compare(sequence, other.sequence);
        }

        /** True when nothing is left to do at its time. */
        boolean isStale() {
            return subject instanceof Attempt attempt && attempt.isDone
                    || kind == TimerKind.DEADLINE && ((Message) subject).isEnded;
        }
    }

    /** One message: waiting in a queue, held back behind its key, in flight, or ended. */
    static final class Message implements Serializable {
        private static final long serialVersionUID = Memory.VERSION;
        String id;
        Relay.MessageClass messageClass;
        Destination destination;
        OrderingKey key;
        long deadline;
        /** Until when it has its full value. */
        long targetTime;
        /** By order of arrival. */
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

        /** True when no other message of its key goes before it. */
        boolean isHeadOfKey() {
            return key == null || key.queue.peekFirst() == this;
        }

        /** True when some attempt is out or may have taken effect. */
        boolean mayHaveRun() {
            for (Attempt attempt : attempts) {
                if (attempt.mayHaveRun) {
                    return true;
                }
            }
            return false;
        }

        /** Value of delivering at a time, as the settings of its class and the tenant's share have it. */
        double valueAt(long when) {
            if (when <= targetTime) {
                return fullValue;
            }
            if (when > deadline) {
                return 0;
            }
            if (halfLifeDecay) {
                return fullValue
                        * Math.max(
                                messageClass.lateValue(),
                                Math.pow(0.5, (double) (when - targetTime) / messageClass.latencyTarget()));
            }
            double part = (double) (when - targetTime) / Math.max(1, deadline - targetTime);
            return fullValue * (1 - part * (1 - messageClass.lateValue()));
        }

        int attemptsAt(EndpointState endpoint) {
            int n = 0;
            for (Attempt attempt : attempts) {
                n += attempt.endpoint == endpoint ? 1 : 0;
            }
            return n;
        }
    }

    /** One send of a message. {@code mayHaveRun} holds until its outcome proves otherwise. */
    static final class Attempt implements Serializable {
        private static final long serialVersionUID = Memory.VERSION;
        Message message;
        EndpointState endpoint;
        Call call;
        long sentAt;
        /** us for which its connection had been idle; -1 for a new one. */
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

        /** Counts one that goes out, with this call. */
        void start(Call with) {
            call = with;
            call.openAttempts++;
            call.size++;
            endpoint.inflight++;
            message.attempts.add(this);
            message.openAttempts++;
        }

        /** Takes one that has ended out of the counts; true if that was the last of its call. */
        boolean finish() {
            Destination destination = endpoint.destination;
            message.openAttempts--;
            endpoint.inflight--;
            endpoint.probesInFlight -= isProbe ? 1 : 0;
            endpoint.overdue -= isOverdue ? 1 : 0;
            destination.overdueAttempts -= isOverdue ? 1 : 0;
            boolean last = --call.openAttempts == 0;
            destination.callsInFlight -= last ? 1 : 0;
            return last;
        }
    }

    /** What takes one slot: one message, or a batch. */
    static final class Call implements Serializable {
        private static final long serialVersionUID = Memory.VERSION;
        int openAttempts;
        int size;
        /** How its messages ended so far. */
        final EnumSet<Relay.Outcome> outcomes = EnumSet.noneOf(Relay.Outcome.class);
    }

    /** Messages that share a key, in the order in which they were taken. */
    static final class OrderingKey implements Serializable {
        private static final long serialVersionUID = Memory.VERSION;
        String name;
        long quietUntil;
        final ArrayDeque<Message> queue = new ArrayDeque<>();

        /** The first that is not over and out of the way; null if there is none. */
        Message head() {
            while (!queue.isEmpty() && queue.peekFirst().isEnded && queue.peekFirst().openAttempts == 0) {
                queue.pollFirst();
            }
            return queue.peekFirst();
        }
    }

    /** Orders of messages; an enum, so that it outlasts the process that sorted by it. */
    enum MessageOrder implements Comparator<Message> {
        BY_LATENCY_TARGET;

        @Override
        public int compare(Message one, Message other) {
            return one.targetTime != other.targetTime
                    ? Long.compare(one.targetTime, other.targetTime)
                    : Long.compare(one.sequence, other.sequence);
        }
    }

    /**
     * Waiting messages of one priority: within their latency target, and past it; ones no longer queued are skipped.
     */
    static final class WaitingQueue implements Serializable {
        private static final long serialVersionUID = Memory.VERSION;
        /** By latency target: in order of arrival where all have the same time. */
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

        /** Removes a message that is on time, or the last of the late ones. */
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

        void refill(double perSecond, double most, long now) {
            tokens = Math.min(most, tokens + perSecond * (now - filledAt) / 1e6);
            filledAt = now;
        }

        boolean tryTake() {
            boolean enough = tokens >= 1;
            tokens -= enough ? 1 : 0;
            return enough;
        }
    }

    /** What a rate limit and a retry-after time belong to: a destination, or one endpoint where each has its own. */
    static final class LimitScope implements Serializable {
        private static final long serialVersionUID = Memory.VERSION;
        final TokenBucket bucket = new TokenBucket();
        /** Whether {@code rate} was listed or reported. */
        boolean hasRate;
        /** Whether an answer has reported it. */
        boolean limitReported;

        double rate;
        double pace;
        long waitUntil;
        long backoffUntil;
        long refusedAt;
        /** Refusals in a row, those of calls that were out together counted once. */
        int refusals;
    }

    /** One endpoint: its place on the list, health and connections. */
    static final class EndpointState implements Serializable {
        private static final long serialVersionUID = Memory.VERSION;
        long id;
        int zone;
        int kind;
        Destination destination;
        LimitScope limitScope;
        /** Listed as taking ordinary traffic. */
        boolean ready;

        boolean outageConfirmed;
        boolean disabledByOperator;

        Health health = Health.HEALTHY;
        int inflight;
        int consecutiveFailures;
        /** New connections in a row that broke, with no answer between. */
        int consecutiveResets;

        int probesInFlight;
        int overdue;
        /** Times in a row that it has accepted no further connection. */
        int consecutiveCapacityRefusals;
        /** Calls of this relay that it has connections for, as far as known. */
        int connectionCapacity = Integer.MAX_VALUE;
        /** us; when {@code connectionCapacity} last changed. */
        long capacityChangedAt = -1;
        /** us; smoothed. */
        double latency;
        /** Share of recent calls that failed. */
        double failureShare;
        /** us; how long its kind's connections were held before its connects failed. */
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

        /** When its retry-after time and its back-offs are over. */
        long blockedUntil() {
            return Math.max(
                    Math.max(backoffUntil, destination.backoffUntil),
                    Math.max(limitScope.waitUntil, limitScope.backoffUntil));
        }

        /** True when there is a connection that became idle after this time. */
        boolean hasWarmConnection(long since) {
            while (!idleConnections.isEmpty() && idleConnections.peekFirst() <= since) {
                idleConnections.pollFirst();
            }
            return !idleConnections.isEmpty();
        }
    }

    /** One destination: its endpoints, waiting messages, window and answers. */
    static final class Destination implements Serializable {
        private static final long serialVersionUID = Memory.VERSION;
        final Map<Long, EndpointState> endpoints = new TreeMap<>();
        final WaitingQueue[] queues;
        final HedgeDelay hedgeDelay = new HedgeDelay();
        LimitScope sharedLimitScope;
        private double arrivals;
        private long arrivalsAt;
        /** Messages a second that come in for it, when the last one came. */
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

        /** True when one of its endpoints answers. */
        boolean hasHealthyEndpoint() {
            for (EndpointState endpoint : endpoints.values()) {
                if (endpoint.health == Health.HEALTHY) {
                    return true;
                }
            }
            return false;
        }

        /** Counts a message into the rate over an exponential span; {@code age}: counted how long. */
        void countArrival(long now, long span, long age) {
            arrivals = arrivals * Math.exp((double) (arrivalsAt - now) / span) + 1;
            arrivalsAt = now;
            usualRate = arrivals * 1e6 / (span * -Math.expm1(-(double) age / span));
        }
    }
}
