package brambletray.platform.provisioning;

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
final class WorkerPool {
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
    private final Map<String, WorkerCapacity> spots = new LinkedHashMap<>();
    private final Map<String, Map<String, Integer>> crews = new HashMap<>();

    WorkerPool(long lagMs) {
        this.lag = lagMs + LATE;
    }

    Iterable<WorkerCapacity> spots() {
        return spots.values();
    }

    boolean known() {
        return !spots.isEmpty();
    }

    /** Null: not on the last lists. */
    WorkerCapacity spot(String worker) {
        return worker == null ? null : spots.get(worker);
    }

    /** A whole list of workers that was asked for at {@code askedAt}. */
    News listed(List<WorkerInfo> workers, long askedAt) {
        List<String> drains = new ArrayList<>(0);
        List<String> downs = new ArrayList<>(0);
        Set<String> shown = new HashSet<>();
        for (WorkerInfo worker : workers) {
            shown.add(worker.name());
            WorkerCapacity spot = spots.computeIfAbsent(worker.name(), name -> new WorkerCapacity(worker));
            if (worker.draining() && !spot.draining()) {
                drains.add(spot.name);
            }
            spot.listed(worker, askedAt - lag);
        }
        boolean doubt = false;
        for (Iterator<WorkerCapacity> each = spots.values().iterator(); each.hasNext(); ) {
            WorkerCapacity spot = each.next();
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
    WorkerCapacity.Hold take(String worker, int mb) {
        WorkerCapacity spot = spots.get(worker);
        if (spot == null) {
            return null;
        }
        return spot.hold(mb);
    }

    /** The start has been made. */
    void taken(WorkerCapacity.Hold hold, long now) {
        if (hold != null) {
            hold.made(now);
        }
    }

    /** The start has not been made. */
    void untake(String worker, WorkerCapacity.Hold hold) {
        WorkerCapacity spot = spots.get(worker);
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
        WorkerCapacity spot = spots.get(worker);
        if (spot != null) {
            spot.refused(mb, now);
        }
    }

    /** One host more ({@code by} 1) or fewer (-1) of the service there. */
    void instances(String worker, String service, int by) {
        if (worker == null) {
            return;
        }
        Map<String, Integer> instances = crews.computeIfAbsent(worker, name -> new HashMap<>());
        if (instances.merge(service, by, Integer::sum) <= 0) {
            instances.remove(service);
            if (instances.isEmpty()) {
                crews.remove(worker);
            }
        }
    }

    /** Hosts of the service there, those whose start is being called included. */
    int instances(String worker, String service) {
        Map<String, Integer> instances = crews.get(worker);
        return instances == null ? 0 : instances.getOrDefault(service, 0);
    }
}
