package brambletray.relay.control;

import java.io.Serializable;
import java.util.List;

/**
 * The interface of {@link Control}: its settings, the events that it handles and the actions that it requests. Times
 * and durations are in whole microseconds of one monotonic clock. Ids are assigned by the caller. Contains no logic.
 */
public final class Relay {
    private Relay() {}

    /** Effect of processing the same message twice. */
    public enum Effect {
        /** Repeats are harmless. */
        SAFE,
        /** Repeats are dropped by the receivers of one group within the deduplication window. */
        KEYED,
        /** A repeat would take effect twice. */
        UNSAFE
    }

    /**
     * How one attempt ended. RESET: its connection broke after the last byte of the call; CONNECT_RESET: before that.
     * FULL, CONNECT_FAILED, CONNECT_RESET and NOT_SENT prove that the message never ran.
     */
    public enum Outcome {
        OK,
        ERROR,
        FULL,
        TIMEOUT,
        CONNECT_FAILED,
        CONNECT_RESET,
        RESET,
        CANCELLED,
        NOT_SENT;
        /** True when this outcome proves that the attempt had no effect. */
        public boolean neverRan() {
            return this == FULL || this == CONNECT_FAILED || this == CONNECT_RESET || this == NOT_SENT;
        }
    }

    /** Status of an endpoint in the list, independent of its health. */
    public enum Listing {
        READY,
        DRAINING,
        GONE
    }

    /** Whether a list of endpoints contains changes only or is complete. */
    public enum ListKind {
        CHANGES,
        FULL
    }

    /** One address of a destination. {@code weight}: the listed rate in calls a second, or 1 if none is listed. */
    public record Endpoint(long id, int zone, int kind, long destination, Listing listing, double weight) {}

    /** Settings of a class of messages. {@code zoneGroup}: repeats are dropped only within one zone. */
    public record MessageClass(
            String name,
            long latencyTarget,
            long lifetime,
            double value,
            double lateValue,
            Effect effect,
            boolean zoneGroup,
            long dedupWindow,
            boolean inOrder)
            implements Serializable {}

    /** A tenant. {@code quota}: messages a second over all relays up to which its messages have their full value. */
    public record Tenant(String name, double quota) {}

    /** A kind of destination. {@code apart}: each endpoint has its own limits; {@code bundle}: maximum batch size. */
    public record Kind(boolean apart, int bundle) {}

    /** Accuracy of listed weights: none listed, exact, or up to half too high or too low. */
    public enum Weights {
        NONE,
        NOMINAL,
        ROUGH
    }

    /** What the deployment allows a relay to do. */
    public record Allowed(
            int slots,
            int openMessages,
            int attempts,
            boolean hedging,
            boolean cancel,
            int streams,
            long connectTimeout,
            long keepAlive,
            long longestAdvice) {}

    /** Parameters of the delivery rules. */
    public record Rules(
            long drainGrace,
            double fallMultiple,
            long tipAfter,
            double coldFrom,
            long cold,
            long keyRest,
            long answerSlack) {}

    /** Penalties: per refused call, new connection and call to another zone; a fee for the endpoints of each zone. */
    public record Prices(double refusal, double handshake, double crossZone, double waste, List<Double> zoneFee) {}

    /** All settings of a relay. */
    public record Settings(
            int rank,
            int relays,
            int zone,
            boolean halfLifeDecay,
            double overShareValue,
            Weights weights,
            List<MessageClass> classes,
            List<Tenant> tenants,
            List<Kind> kinds,
            Allowed allowed,
            Rules rules,
            Prices prices) {}

    /** Input of a turn. */
    public sealed interface Event {}

    /** An attempt made before a restart; {@code sentAt} may precede the start of this clock. */
    public record PriorAttempt(long sentAt, int zone, boolean mayHaveRun) {}

    /**
     * A message was accepted; exactly one final answer is due before {@code deadline}. {@code priorAttempts}: its
     * attempts before a restart; the numbers of new attempts continue from these.
     */
    public record Accepted(
            String id,
            int messageClass,
            int tenant,
            String key,
            long deadline,
            long destination,
            List<PriorAttempt> priorAttempts)
            implements Event {
        public Accepted(String id, int messageClass, int tenant, String key, long deadline, long destination) {
            this(id, messageClass, tenant, key, deadline, destination, List.of());
        }
    }

    /**
     * An attempt ended. {@code retryAfter}: us, or 0. {@code remaining}, {@code limit}: -1 if not reported.
     * {@code reused}: true only if it is known that the connection had carried a call before.
     */
    public record AttemptEnded(
            String id,
            int attempt,
            long endpoint,
            Outcome outcome,
            boolean messageEnded,
            long retryAfter,
            long latency,
            double remaining,
            double limit,
            boolean reused)
            implements Event {
        public AttemptEnded(
                String id,
                int attempt,
                long endpoint,
                Outcome outcome,
                boolean messageEnded,
                long retryAfter,
                long latency,
                double remaining,
                double limit) {
            this(id, attempt, endpoint, outcome, messageEnded, retryAfter, latency, remaining, limit, false);
        }
    }

    /** A new or changed list of endpoints. */
    public record EndpointsListed(ListKind kind, List<Endpoint> endpoints) implements Event {}

    /**
     * An operator excluded an endpoint, whatever its listing, or readmitted it; it may have been restarted in between
     * and counts as cold.
     */
    public record EndpointExclusion(long endpoint, boolean excluded) implements Event {}

    /**
     * Learned state of an endpoint. {@code retryAfter}: us remaining, or 0; {@code isUnhealthy}: only
     * probes are sent; {@code slowStartAge}: us since it recovered, or -1; {@code limit}: as reported, or 0;
     * {@code pace}: of its limit scope.
     */
    public record EndpointKnowledge(
            long retryAfter, boolean isUnhealthy, long slowStartAge, double limit, double pace) {}

    /** Learned state of a listed endpoint from an earlier process, still recent enough to use. */
    public record EndpointRestored(long endpoint, EndpointKnowledge known) implements Event {}

    /** The message was withdrawn; it needs no final answer any more. */
    public record Withdrawn(String id) implements Event {}

    /** The capacity that this message occupies is needed for another: it is refused if it has not been sent. */
    public record Recalled(String id) implements Event {}

    /** A timer requested by {@link SetTimer} has fired. */
    public record TimerFired() implements Event {}

    /** Output of a turn, to be carried out by the caller. */
    public sealed interface Action {}

    /** Send the message; sends to one endpoint in one turn form a batch of up to the kind's {@code bundle}. */
    public record Send(String id, long endpoint, long timeout) implements Action {}

    /** Final answer: not delivered, and safe to submit again. {@code retryAfter}: advice, 0 for none. */
    public record Refuse(String id, long retryAfter) implements Action {}

    /** Final answer: given up; whether it took effect is unknown. */
    public record Fail(String id) implements Action {}

    /** Stop waiting for an attempt. */
    public record Cancel(String id, int attempt) implements Action {}

    /** Close the idle connections to an endpoint. */
    public record CloseIdleConnections(long endpoint) implements Action {}

    /** Deliver a {@link TimerFired} event after this delay. */
    public record SetTimer(long delay) implements Action {}

    /** Write a line to the operators' log. */
    public record Log(String text) implements Action {}
}
