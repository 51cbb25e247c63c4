package brambletray.tray.yard;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The workers, and the memory free on them: what the platform's list says, which is {@code lag} ms old, less what has
 * been started since, plus what has been stopped since.
 */
final class Fleet {
    /** Lists in a row without a worker until it counts as down. */
    private static final int MISSED_MOST = 2;
    /** ms; how much later than its stated lag a list may be. */
    private static final long LATE = 100;

    /**
     * What a list changed: workers that have begun to drain, and workers that are down; {@code doubt}: one was not
     * shown, for the first time.
     */
    record News(List<String> draining, List<String> down, boolean doubt) {}

    private final long lag;
    private final Map<String, Spot> spots = new LinkedHashMap<>();
    private final Map<String, Map<String, Integer>> crews = new HashMap<>();

    Fleet(long lagMs) {
        this.lag = lagMs + LATE;
    }

    Iterable<Spot> spots() {
        return spots.values();
    }

    boolean known() {
        return !spots.isEmpty();
    }

    /** Null: not on the last lists. */
    Spot spot(String worker) {
        return worker == null ? null : spots.get(worker);
    }

    /** A whole list of workers that was asked for at {@code askedAt}. */
    News listed(List<Worker> workers, long askedAt) {
        List<String> drains = new ArrayList<>(0);
        List<String> downs = new ArrayList<>(0);
        Set<String> shown = new HashSet<>();
        for (Worker worker : workers) {
            shown.add(worker.name());
            Spot spot = spots.computeIfAbsent(worker.name(), name -> new Spot(worker));
            if (worker.draining() && !spot.draining()) {
                drains.add(spot.name);
            }
            spot.listed(worker, askedAt - lag);
        }
        boolean doubt = false;
        for (Iterator<Spot> each = spots.values().iterator(); each.hasNext(); ) {
            Spot spot = each.next();
            if (shown.contains(spot.name)) {
                continue;
            }
            if (spot.missed() >= MISSED_MOST) {
                downs.add(spot.name);
                each.remove();
            } else {
                doubt = true;
            }
        }
        return new News(drains, downs, doubt);
    }

    /** A start is being called there. Null where the worker is not known. */
    Spot.Hold take(String worker, int mb) {
        Spot spot = spots.get(worker);
        if (spot == null) {
            return null;
        }
        return spot.hold(mb);
    }

    /** The start has been made. */
    void taken(Spot.Hold hold, long now) {
        if (hold != null) {
            hold.made(now);
        }
    }

    /** The start has not been made. */
    void untake(String worker, Spot.Hold hold) {
        Spot spot = spots.get(worker);
        if (spot != null && hold != null) {
            spot.drop(hold);
        }
    }

    /** A host has been stopped there. */
    void gave(String worker, int mb, long now) {
        taken(take(worker, -mb), now);
    }

    /** The worker had no room for so much, whatever the list says. */
    void refused(String worker, int mb, long now) {
        Spot spot = spots.get(worker);
        if (spot != null) {
            spot.refused(mb, now);
        }
    }

    /** One host more ({@code by} 1) or fewer (-1) of the service there. */
    void crew(String worker, String service, int by) {
        if (worker == null) {
            return;
        }
        Map<String, Integer> crew = crews.computeIfAbsent(worker, name -> new HashMap<>());
        if (crew.merge(service, by, Integer::sum) <= 0) {
            crew.remove(service);
            if (crew.isEmpty()) {
                crews.remove(worker);
            }
        }
    }

    /** Hosts of the service there, those whose start is being called included. */
    int crew(String worker, String service) {
        Map<String, Integer> crew = crews.get(worker);
        return crew == null ? 0 : crew.getOrDefault(service, 0);
    }
}
