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
    static final class Try {
        final String id;
        final String method;
        final String uri;
        final String body;
        final boolean repeatable;
        /** To how many hosts it may be sent: {@code retry-count} of its route, 1 at least. */
        final int mostHosts;
        /** Hosts that have begun work on it. */
        final Set<String> ranAt = new HashSet<>();
        /** Status and body of each failure that a host gave it under its own seal. */
        final Set<String> sealedFailures = new HashSet<>();

        int runs;
        int arrivals;
        /** The status that promised that it has not run; 0: none. */
        int promised;
        /** Whole bodies of the host's sealed answers. */
        final Set<String> sealed = new HashSet<>();
        /** Statuses of the host's answers that were no success, and of such as are no answer. */
        final Set<Integer> others = new HashSet<>();

        boolean answered;

        Try(String id, String method, String uri, String body, boolean repeatable, int mostHosts) {
            this.id = id;
            this.method = method;
            this.uri = uri;
            this.body = body;
            this.repeatable = repeatable;
            this.mostHosts = mostHosts;
        }
    }

    private final Map<String, Try> tries = new HashMap<>();
    private final List<String> broken = new ArrayList<>();
    int successes;
    int promises;
    int answers;
    int sealedFailures;
    /** Tries that ran on more than one host. */
    int ranAgain;

    void breaks(String rule, String how) {
        broken.add(rule + ": " + how);
    }

    Try asked(Try one) {
        tries.put(one.id, one);
        return one;
    }

    // ---- At hosts -------------------------------------------------------------------------------
    /** A whole request has come to a host. */
    Try arrived(String id, String method, String uri, String body, String host, String target) {
        Try one = tries.get(id);
        if (one == null) {
            breaks("UNASKED", "id " + id + " at " + host);
            return null;
        }
        if (!one.method.equals(method) || !one.uri.equals(uri) || body != null && !one.body.equals(body)) {
            breaks(
                    "UNASKED",
                    id + " was changed: " + method + " " + uri + " " + (body == null ? "-" : body.length() + " bytes"));
        }
        if (!host.equals(target)) {
            breaks("ROUTE", id + " names " + target + " at " + host);
        }
        if (++one.arrivals > one.mostHosts) {
            breaks("BUDGET", id + " came to a host more often than " + one.mostHosts + " times");
        }
        return one;
    }

    /** A host has begun work on it. */
    void ran(Try one, String host) {
        if (one.ranAt.add(host) && one.ranAt.size() > 1) {
            ranAgain++;
        }
        if (one.ranAt.size() > one.mostHosts) {
            breaks("BUDGET", one.id + " ran at " + one.ranAt + ", and may at " + one.mostHosts);
        }
        if (++one.runs > 1 && !one.repeatable) {
            breaks("TWICE", one.id);
        }
        if (one.promised != 0 && !one.repeatable) {
            breaks("REFUSED", one.id + " runs after " + one.promised);
        }
    }

    // ---- At clients -----------------------------------------------------------------------------
    /** A whole answer has come; {@code of}: the oldest try without one on this connection, or null. */
    void answer(Try of, int status, String id, boolean seal, String body) {
        if (of == null) {
            breaks("MIXED", status + " on a connection with no request waiting");
            return;
        }
        answers++;
        if (of.answered) {
            breaks("MIXED", "a second answer to " + of.id);
        }
        of.answered = true;
        if (!id.isEmpty() && !id.equals(of.id)) {
            breaks("MIXED", "the answer of " + id + " to " + of.id);
        }
        if (status < 200 || status > 599) {
            breaks("MIXED", of.id + " has the status " + status);
        }
        if (status / 100 != 2 && seal) {
            sealedFailures++;
            if (!of.sealedFailures.contains(status + " " + body)) {
                breaks("MIXED", of.id + " has a sealed " + status + " that no host gave it: " + brief(body));
            }
        }
        if (status / 100 == 2) {
            successes++;
            if (!seal) {
                breaks("MIXED", of.id + " has a success without a seal");
            }
            if (!of.sealed.contains(body)) {
                breaks(
                        "MIXED",
                        of.id + " has a success with a body that no host gave it: " + brief(body) + " of " + of.sealed);
            }
        }
        if (status == 429 || status == 503 || status == 408 || status == 421) {
            promises++;
            of.promised = status;
            if (of.runs > 0 && !of.repeatable) {
                breaks("REFUSED", of.id + " has run, and gets " + status);
            }
        }
    }

    private static String brief(String body) {
        return body.length() > 60 ? body.substring(0, 60) + "... (" + body.length() + ")" : body;
    }

    List<String> broken() {
        return broken;
    }

    int tries() {
        return tries.size();
    }
}
