package brambletray.platform.proxy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Checks the rules (RULES) against what the clients and hosts of a scenario observed; the proxy's own state is not
 * used.
 */
final class ExchangeChecker {
    /** One attempt of a client, with the method, URI and body that a host must receive. */
    static final class ClientAttempt {
        final String id;
        final String method;
        final String uri;
        final String body;
        final boolean repeatable;
        /** Maximum number of hosts it may be sent to: {@code retry-count} of its route, at least 1. */
        final int maxHosts;
        /** Hosts that have begun to execute it. */
        final Set<String> ranAt = new HashSet<>();
        /** Status and body of each sealed failure that a host sent for it. */
        final Set<String> sealedFailures = new HashSet<>();

        int runs;
        int arrivals;
        /** Status of the response by which the client was told that it has not run; 0: none. */
        int nonExecutionStatus;
        /** Complete bodies of the hosts' sealed responses. */
        final Set<String> sealedBodies = new HashSet<>();
        /** Statuses of the hosts' responses that were unsuccessful or invalid. */
        final Set<Integer> otherStatuses = new HashSet<>();

        boolean answered;
        /** When its client disconnected before the response, ms; -1 if it did not. */
        long goneAtMs = -1;

        ClientAttempt(String id, String method, String uri, String body, boolean repeatable, int maxHosts) {
            this.id = id;
            this.method = method;
            this.uri = uri;
            this.body = body;
            this.repeatable = repeatable;
            this.maxHosts = maxHosts;
        }
    }

    /** ms after its client's disconnect within which work has to end: rule GONE says 500, links here take under 2. */
    private static final int GONE_GRACE_MS = 100;

    private final Map<String, ClientAttempt> attempts = new HashMap<>();
    private final List<String> violations = new ArrayList<>();
    int successes;
    int nonExecutionResponses;
    int responses;
    int sealedFailures;
    /** Number of times an attempt ran at a further host. */
    int multiHostAttempts;
    /** False where a close can be held up for long behind other bytes: departures are not checked. */
    boolean closesArriveSoon = true;

    void addViolation(String rule, String how) {
        violations.add(rule + ": " + how);
    }

    ClientAttempt onRequestSent(ClientAttempt attempt) {
        attempts.put(attempt.id, attempt);
        return attempt;
    }

    // ---- At hosts -------------------------------------------------------------------------------
    /** A host has received a complete request. */
    ClientAttempt onRequestReceived(String id, String method, String uri, String body, String host, String target) {
        ClientAttempt attempt = attempts.get(id);
        if (attempt == null) {
            addViolation("UNASKED", "unknown id " + id + " at " + host);
            return null;
        }
        if (!attempt.method.equals(method) || !attempt.uri.equals(uri) || body != null && !attempt.body.equals(body)) {
            addViolation(
                    "UNASKED",
                    id + " was changed: " + method + " " + uri + " " + (body == null ? "-" : body.length() + " bytes"));
        }
        if (!host.equals(target)) {
            addViolation("ROUTE", id + " has target instance " + target + " but was received by " + host);
        }
        if (++attempt.arrivals > attempt.maxHosts) {
            addViolation("BUDGET", id + " was received by hosts more than " + attempt.maxHosts + " times");
        }
        return attempt;
    }

    /** A host has begun to execute the attempt. */
    void onExecuted(ClientAttempt attempt, String host) {
        if (attempt.ranAt.add(host) && attempt.ranAt.size() > 1) {
            multiHostAttempts++;
        }
        if (attempt.ranAt.size() > attempt.maxHosts) {
            addViolation("BUDGET", attempt.id + " ran at " + attempt.ranAt + ", allowed hosts: " + attempt.maxHosts);
        }
        if (++attempt.runs > 1 && !attempt.repeatable) {
            addViolation("TWICE", attempt.id);
        }
        if (attempt.nonExecutionStatus != 0 && !attempt.repeatable) {
            addViolation("REFUSED", attempt.id + " runs after its client received " + attempt.nonExecutionStatus);
        }
    }

    /**
     * An attempt arrives at a host, or is still in progress there; {@code edgeAwareSinceMs}: since when the edge runs
     * and reaches the host.
     */
    void checkNotGone(ClientAttempt attempt, boolean arrives, String host, long now, long edgeAwareSinceMs) {
        if (!closesArriveSoon || attempt.goneAtMs < 0 || !arrives && !attempt.repeatable) {
            return;
        }
        if (now > Math.max(attempt.goneAtMs, edgeAwareSinceMs) + GONE_GRACE_MS) {
            addViolation(
                    "GONE",
                    attempt.id + (arrives ? " arrives at " : " is in progress at ") + host + ", "
                            + (now - attempt.goneAtMs) + " ms after its client disconnected");
        }
    }

    // ---- At clients -----------------------------------------------------------------------------
    /**
     * A client has received a complete response; {@code attempt}: the oldest unanswered attempt on this connection, or
     * null.
     */
    void onResponse(ClientAttempt attempt, int status, String id, boolean seal, String body) {
        if (attempt == null) {
            addViolation("MIXED", "response " + status + " on a connection without a pending request");
            return;
        }
        responses++;
        if (attempt.answered) {
            addViolation("MIXED", "second response to " + attempt.id);
        }
        attempt.answered = true;
        if (!id.isEmpty() && !id.equals(attempt.id)) {
            addViolation("MIXED", "response of " + id + " sent to " + attempt.id);
        }
        if (status < 200 || status > 599) {
            addViolation("MIXED", attempt.id + " received invalid status " + status);
        }
        if (status / 100 != 2 && seal) {
            sealedFailures++;
            if (!attempt.sealedFailures.contains(status + " " + body)) {
                addViolation(
                        "MIXED",
                        attempt.id + " received a sealed " + status + " that no host sent: " + abbreviate(body));
            }
        }
        if (status / 100 == 2) {
            successes++;
            if (!seal) {
                addViolation("MIXED", attempt.id + " received a successful response without a seal");
            }
            if (!attempt.sealedBodies.contains(body)) {
                addViolation(
                        "MIXED",
                        attempt.id + " received a success whose body no host sent: " + abbreviate(body) + "; sent: "
                                + attempt.sealedBodies);
            }
        }
        if (status == 429 || status == 503 || status == 408 || status == 421) {
            nonExecutionResponses++;
            attempt.nonExecutionStatus = status;
            if (attempt.runs > 0 && !attempt.repeatable) {
                addViolation("REFUSED", attempt.id + " has run, but its client received " + status);
            }
        }
    }

    private static String abbreviate(String body) {
        return body.length() > 60 ? body.substring(0, 60) + "... (" + body.length() + ")" : body;
    }

    List<String> violations() {
        return violations;
    }

    int attemptCount() {
        return attempts.size();
    }
}
