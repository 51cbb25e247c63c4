package brambletray.relay.control;

import brambletray.relay.control.State.Bucket;
import brambletray.relay.control.State.Dest;
import brambletray.relay.control.State.Entry;
import brambletray.relay.control.State.Health;
import brambletray.relay.control.State.Key;
import brambletray.relay.control.State.Msg;
import brambletray.relay.control.State.Route;
import java.io.Serializable;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.TreeMap;

/**
 * All that one module remembers, so that another can go on in its place: made by {@link Control#memory},
 * taken up by a new {@link Control}. Its form changes with the module's own; {@link #VERSION} goes
 * up with it.
 */
public final class Memory implements Serializable {
    /** Of the form in which it is handed on. */
    public static final long VERSION = 4;

    private static final long serialVersionUID = VERSION;

    final Map<String, Msg> messages = new HashMap<>();
    final Map<String, Key> keys = new HashMap<>();
    final Map<Long, Dest> dests = new TreeMap<>();
    final Map<Long, Route> routes = new TreeMap<>();
    /** Endpoints taken out by hand, listed or not. */
    final Set<Long> excluded = new HashSet<>();

    final Set<Dest> active = new LinkedHashSet<>();
    final PriorityQueue<Entry> agenda = new PriorityQueue<>();
    final Bucket[] shares;
    /** us, by kind: how long idle connections are held (endpoints may take few), and trusted to be alive. */
    final double[] holds;

    final double[] trusts;
    /** By kind: the share of calls after a refusal that get in. */
    final double[] eases;
    /** By kind: whether some endpoint has told its limit in an answer, so that all that read a call do. */
    final boolean[] tells;
    /** us of the module's clock, at its last turn and its first, and counts. */
    long now;

    long beganAt;
    long seq;
    long turns;

    int slotsUsed;
    int open;
    int logged;
    double lost;

    Memory(int tenants, int kinds) {
        shares = new Bucket[tenants];
        Arrays.setAll(shares, i -> new Bucket());
        holds = new double[kinds];
        trusts = new double[kinds];
        eases = new double[kinds];
        Arrays.fill(eases, 1);
        tells = new boolean[kinds];
    }

    /** us of the clock of the module whose it was, at its last turn. */
    public long time() {
        return now;
    }

    /** The messages that are not over, each with the number of its attempts so far. */
    public Map<String, Integer> open() {
        Map<String, Integer> open = new HashMap<>();
        messages.values().stream().filter(m -> !m.ended).forEach(m -> open.put(m.id, m.attempts.size()));
        return open;
    }

    /** What another module would have to learn again of an endpoint; null where it is not held. */
    Relay.Known known(long endpoint) {
        Route r = routes.get(endpoint);
        return r == null
                ? null
                : new Relay.Known(
                        Math.max(0, r.lane.waitUntil - now),
                        r.health == Health.OUT && r.confirmed,
                        r.health == Health.RETURNING ? now - r.returnAt : -1,
                        r.lane.told ? r.lane.weight : 0,
                        r.lane.pace);
    }

    /** Listed endpoints that are out by hand or held to fail. */
    int avoided() {
        int avoided = 0;
        for (Dest d : dests.values()) {
            for (Route r : d.routes.values()) {
                avoided += r.out || r.health == Health.OUT ? 1 : 0;
            }
        }
        return avoided;
    }

    /** The endpoints that are on the list; of others it may know more than the list of hosts does. */
    public Set<Long> endpoints() {
        Set<Long> listed = new HashSet<>();
        dests.values().forEach(d -> listed.addAll(d.routes.keySet()));
        return listed;
    }
}
