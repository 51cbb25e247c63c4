package brambletray.platform.proxy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Judges a scenario by what its clients and hosts saw, as RULES does: nothing of the relay's own state is asked. */
final class ExchangeChecker {
    /** One try of a client. {@code sent}: what a host must be handed: method, path and body. */
    static final class ClientAttempt {
        final String id;
        final String method;
        final String uri;
        final String body;
        final boolean repeatable;
        /** To how many hosts it may be sent: {@code retry-count} of its route, 1 at least. */
        final int maxHosts;
        /** Hosts that have begun work on it. */
        final Set<String> ranAt = new HashSet<>();
        /** Status and body of each failure that a host gave it under its own seal. */
        final Set<String> sealedFailures = new HashSet<>();

        int runs;
        int arrivals;
        /** The status that promised that it has not run; 0: none. */
        int nonExecutionStatus;
        /** Whole bodies of the host's sealed answers. */
        final Set<String> sealedBodies = new HashSet<>();
        /** Statuses of the host's answers that were no success, and of such as are no answer. */
        final Set<Integer> otherStatuses = new HashSet<>();

        boolean answered;

        ClientAttempt(String id, String method, String uri, String body, boolean repeatable, int mostHosts) {
            this.id = id;
            this.method = method;
            this.uri = uri;
            this.body = body;
            this.repeatable = repeatable;
            this.maxHosts = mostHosts;
        }
    }

    private final Map<String, ClientAttempt> attempts = new HashMap<>();
    private final List<String> violations = new ArrayList<>();
    int successes;
    int nonExecutionResponses;
    int responses;
    int sealedFailures;
    /** Tries that ran on more than one host. */
    int multiHostAttempts;

    void addViolation(String rule, String how) {
        violations.add(rule + ": " + how);
    }

    ClientAttempt onRequestSent(ClientAttempt one) {
        attempts.put(one.id, one);
        return one;
    }

    // ---- At hosts -------------------------------------------------------------------------------
    /** A whole request has come to a host. */
    ClientAttempt onRequestReceived(String id, String method, String uri, String body, String host, String target) {
        ClientAttempt one = attempts.get(id);
        if (one == null) {
            addViolation("UNASKED", "id " + id + " at " + host);
            return null;
        }
        if (!one.method.equals(method) || !one.uri.equals(uri) || body != null && !one.body.equals(body)) {
            addViolation(
                    "UNASKED",
                    id + " was changed: " + method + " " + uri + " " + (body == null ? "-" : body.length() + " bytes"));
        }
        if (!host.equals(target)) {
            addViolation("ROUTE", id + " names " + target + " at " + host);
        }
        if (++one.arrivals > one.maxHosts) {
            addViolation("BUDGET", id + " came to a host more often than " + one.maxHosts + " times");
        }
        return one;
    }

    /** A host has begun work on it. */
    void onExecuted(ClientAttempt one, String host) {
        if (one.ranAt.add(host) && one.ranAt.size() > 1) {
            multiHostAttempts++;
        }
        if (one.ranAt.size() > one.maxHosts) {
            addViolation("BUDGET", one.id + " ran at " + one.ranAt + ", and may at " + one.maxHosts);
        }
        if (++one.runs > 1 && !one.repeatable) {
            addViolation("TWICE", one.id);
        }
        if (one.nonExecutionStatus != 0 && !one.repeatable) {
            addViolation("REFUSED", one.id + " runs after " + one.nonExecutionStatus);
        }
    }

    // ---- At clients -----------------------------------------------------------------------------
    /** A whole answer has come; {@code of}: the oldest try without one on this connection, or null. */
    void onResponse(ClientAttempt of, int status, String id, boolean seal, String body) {
        if (of == null) {
            addViolation("MIXED", status + " on a connection with no request waiting");
            return;
        }
        responses++;
        if (of.answered) {
            addViolation("MIXED", "a second answer to " + of.id);
        }
        of.answered = true;
        if (!id.isEmpty() && !id.equals(of.id)) {
            addViolation("MIXED", "the answer of " + id + " to " + of.id);
        }
        if (status < 200 || status > 599) {
            addViolation("MIXED", of.id + " has the status " + status);
        }
        if (status / 100 != 2 && seal) {
            sealedFailures++;
            if (!of.sealedFailures.contains(status + " " + body)) {
                addViolation("MIXED", of.id + " has a sealed " + status + " that no host gave it: " + abbreviate(body));
            }
        }
        if (status / 100 == 2) {
            successes++;
            if (!seal) {
                addViolation("MIXED", of.id + " has a success without a seal");
            }
            if (!of.sealedBodies.contains(body)) {
                addViolation(
                        "MIXED",
                        of.id + " has a success with a body that no host gave it: " + abbreviate(body) + " of " + of.sealedBodies);
            }
        }
        if (status == 429 || status == 503 || status == 408 || status == 421) {
            nonExecutionResponses++;
            of.nonExecutionStatus = status;
            if (of.runs > 0 && !of.repeatable) {
                addViolation("REFUSED", of.id + " has run, and gets " + status);
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
