package brambletray.platform.localsystem;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Records which requests instances ran and what clients were answered, and finds contradictions (rules TWICE,
 * REFUSED, UNASKED, MIXED). Does no I/O.
 */
final class ExecutionLedger {
    /** Tries that are remembered; beyond them nothing further is judged. */
    static final int MOST = 500_000;
    /** Violations that are kept as text. */
    private static final int WORDS = 20;

    private static final class Request {
        final boolean repeatable;
        int runs;

        Request(boolean repeatable) {
            this.repeatable = repeatable;
        }
    }

    private static final class Try {
        final Request of;
        boolean ran;
        boolean promised;

        Try(Request of) {
            this.of = of;
        }
    }

    private final Map<String, Try> tries = new HashMap<>();
    private final List<String> complaints = new ArrayList<>();
    private final DepartedClients departedClients = new DepartedClients();
    private int wrong;
    private int twice;

    /** A client sends the request's first try. */
    void asked(String attempt, boolean repeatable) {
        if (tries.size() < MOST) {
            tries.put(attempt, new Try(new Request(repeatable)));
        }
    }

    /** A client sends it again, under an id of its own. */
    void again(String attempt, String former) {
        Try before = tries.get(former);
        if (before != null && tries.size() < MOST) {
            tries.put(attempt, new Try(before.of));
        }
    }

    /** A host has begun to work on it. */
    void ran(String attempt, String host) {
        Try one = tries.get(attempt);
        if (one == null) {
            if (tries.size() < MOST) {
                wrong("a host ran " + attempt + ", which no client sent");
            }
            return;
        }
        one.of.runs++;
        if (!one.of.repeatable && one.of.runs > 1) {
            twice++;
            complain(attempt + " is not to be repeated and ran again, at " + host);
        }
        if (one.promised && !one.of.repeatable) {
            wrong(attempt + " ran at " + host + " after its client had been told that it would not");
        }
        one.ran = true;
    }

    /** A client was answered with this status, which promises that the attempt has not run and never will. */
    void promised(String attempt, int status) {
        Try one = tries.get(attempt);
        if (one != null) {
            one.promised = true;
            if (one.ran && !one.of.repeatable) {
                wrong(attempt + " was answered " + status + " and had run");
            }
        }
    }

    /** Runs of requests whose clients disconnected early. */
    DepartedClients departedClients() {
        return departedClients;
    }

    /** A client got what is no right answer. */
    void wrong(String complaint) {
        wrong++;
        complain(complaint);
    }

    private void complain(String complaint) {
        if (complaints.size() < WORDS) {
            complaints.add(complaint);
        }
    }

    /** Requests answered wrongly. */
    int wrong() {
        return wrong;
    }

    /** Runs beyond the first of requests that are not to be repeated. */
    int twice() {
        return twice;
    }

    /** The first of them in words. */
    List<String> complaints() {
        return complaints;
    }
}
