package brambletray.relay.operations;

import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** The hosts that operators have taken out, by name. Calls may be repeated: one call back undoes them all. */
public final class Exclusions {
    /** Hosts out at once; past that calls are refused. */
    public static final int MOST = 1_000;

    /** What became of a call. */
    public enum Verdict {
        /** It changes something: to be written down before it is answered. */
        CHANGED,
        /** It is so already. */
        UNCHANGED,
        /** No list has named this host. */
        UNKNOWN,
        /** {@link #MOST} hosts are out. */
        FULL
    }

    private final Set<String> out = new LinkedHashSet<>();

    /** {@code known}: those that were out before this process started. */
    public Exclusions(Collection<String> known) {
        out.addAll(known);
    }

    /** Takes a host out; {@code listed}: some list has named it. */
    public Verdict enter(String host, boolean listed) {
        if (out.contains(host)) {
            return Verdict.UNCHANGED;
        }
        if (!listed) {
            return Verdict.UNKNOWN;
        }
        if (out.size() >= MOST) {
            return Verdict.FULL;
        }
        out.add(host);
        return Verdict.CHANGED;
    }

    /** Puts it back; one that is out may be off the list by now. */
    public Verdict exit(String host, boolean listed) {
        if (out.remove(host)) {
            return Verdict.CHANGED;
        }
        return listed ? Verdict.UNCHANGED : Verdict.UNKNOWN;
    }

    public boolean out(String host) {
        return out.contains(host);
    }

    /** In the order in which they were taken out. */
    public List<String> all() {
        return List.copyOf(out);
    }
}
