package brambletray.relay.control;

import java.io.Serializable;
import java.util.List;

/**
 * The interface of {@link Control}: its settings, the events that it takes and the actions that it asks for.
 * Times are points of one monotonic clock and spans of it, in whole microseconds. Ids are the caller's own.
 * This file decides nothing.
 */
public final class Relay {
    private Relay() {}

    /** What a second run of the same message would do. */
    public enum Effect {
        /** May be repeated at will. */
        SAFE,
        /** A repeat is dropped by the receivers of one group for a while. */
        KEYED,
        /** A second run would take effect twice. */
        UNSAFE
    }

    /**
     * How one attempt ended. RESET and CONNECT_RESET: its connection broke, after the last byte of the call
     * and before that. FULL, CONNECT_FAILED, CONNECT_RESET and NOT_SENT prove that the message never ran.
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

    /** Standing of an endpoint in the list; it says nothing of its health. */
    public enum Listing {
        READY,
        DRAINING,
        GONE
    }

    /** How a list of endpoints relates to the one held: changes only, or all there is. */
    public enum ListKind {
        CHANGES,
        FULL
    }

    /** One address of a destination; the weight is the listed rate in calls a second, or 1. */
    public record Endpoint(long id, int zone, int kind, long destination, Listing listing, double weight) {}

    /** A class of message. {@code zoneGroup}: repeats are dropped only by endpoints of one zone. */
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

    /** A tenant and its rate of messages, over all relays, that counts in full. */
    public record Tenant(String name, double quota) {}

    /** A kind of destination: whether each of its endpoints has limits of its own; messages in one call at most. */
    public record Kind(boolean apart, int bundle) {}

    /** Listed weights: none, exact, or up to half too high or too low. */
    public enum Weights {
        NONE,
        NOMINAL,
        ROUGH
    }

    /** What the site lets a relay do. */
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

    /** Figures of the rules. */
    public record Rules(
            long drainGrace,
            double fallMultiple,
            long tipAfter,
            double coldFrom,
            long cold,
            long keyRest,
            long answerSlack) {}

    /** Points taken off: per refused call, new connection, crossing; a fee for each zone's endpoints. */
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

    /** Something that happened. */
    public sealed interface Event {}

    /** An attempt made before a restart; {@code sent} may lie before this clock began. */
    public record PriorAttempt(long sentAt, int zone, boolean mayHaveRun) {}

    /**
     * A message was taken on; exactly one final answer is owed before {@code deadline}. {@code earlier}: its
     * attempts so far, if it was taken on before a restart; new attempts are numbered on from these.
     */
    public record Accepted(
            String id, int messageClass, int tenant, String key, long deadline, long destination, List<PriorAttempt> priorAttempts)
            implements Event {
        public Accepted(String id, int messageClass, int tenant, String key, long deadline, long destination) {
            this(id, messageClass, tenant, key, deadline, destination, List.of());
        }
    }

    /**
     * An attempt ended. {@code retryAfter}: us, or 0. {@code remaining}, {@code limit}: -1 if not reported.
     * {@code reused}: it is known to have gone out on a connection that had carried a call before.
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
                boolean over,
                long retryAfter,
                long latency,
                double remaining,
                double limit) {
            this(id, attempt, endpoint, outcome, over, retryAfter, latency, remaining, limit, false);
        }
    }

    /** The list of endpoints changed. */
    public record EndpointsListed(ListKind kind, List<Endpoint> endpoints) implements Event {}

    /**
     * Operators take an endpoint out of use, whatever the list says of it, or put it back: it may have been
     * restarted meanwhile, and is cold.
     */
    public record EndpointExclusion(long endpoint, boolean excluded) implements Event {}

    /**
     * What a module knows of an endpoint. {@code retryAfter}: us that are left of it, or 0; {@code isUnhealthy}: only
     * probes are sent; {@code slowStartAge}: us since it recovered, or -1; {@code limit}: as reported, or 0;
     * {@code pace}: of its limit scope.
     */
    public record EndpointKnowledge(long retryAfter, boolean isUnhealthy, long slowStartAge, double limit, double pace) {}

    /** An earlier module knew this of a listed endpoint, and it is still believed. */
    public record EndpointRestored(long endpoint, EndpointKnowledge known) implements Event {}

    /** The message was withdrawn; nothing is owed any more. */
    public record Withdrawn(String id) implements Event {}

    /** The capacity that this message takes is due to another: it is handed back if it has not been sent. */
    public record Recalled(String id) implements Event {}

    /** A timer asked for with {@link SetTimer} is due. */
    public record TimerFired() implements Event {}

    /** Something to do. */
    public sealed interface Action {}

    /** Send the message; sends to one endpoint in one turn share a call up to the kind's bundle. */
    public record Send(String id, long endpoint, long timeout) implements Action {}

    /** Final answer: handed back, a retry is harmless. {@code retryAfter}: advice, 0 for none. */
    public record Refuse(String id, long retryAfter) implements Action {}

    /** Final answer: given up, nothing is promised. */
    public record Fail(String id) implements Action {}

    /** Stop waiting for an attempt. */
    public record Cancel(String id, int attempt) implements Action {}

    /** Close the idle connections held to an endpoint. */
    public record CloseIdleConnections(long endpoint) implements Action {}

    /** Ask for a {@link TimerFired} event after this span. */
    public record SetTimer(long delay) implements Action {}

    /** A line for the operators' log. */
    public record Log(String text) implements Action {}
}
