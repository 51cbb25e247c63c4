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
 * The workers, and the memory free on them: what the platform's list says, which is {@code listLagMs} ms old, less
 * what has been started since, plus what has been stopped since.
 */
final class WorkerPool {
    /** Lists in a row without a worker until it counts as down. */
    private static final int MAX_MISSED_LISTS = 2;
    /** ms; how much later than its stated lag a list may be. */
    private static final long LIST_MARGIN_MS = 100;

    /**
     * What a list changed: workers that have begun to drain, and workers that are down; {@code uncertain}: one was not
     * shown, for the first time.
     */
    record Changes(List<String> draining, List<String> down, boolean uncertain) {}

    private final long listLagMs;
    private final Map<String, WorkerCapacity> workers = new LinkedHashMap<>();
    private final Map<String, Map<String, Integer>> instanceCounts = new HashMap<>();

    WorkerPool(long lagMs) {
        this.listLagMs = lagMs + LIST_MARGIN_MS;
    }

    Iterable<WorkerCapacity> workers() {
        return workers.values();
    }

    boolean isKnown() {
        return !workers.isEmpty();
    }

    /** Null: not on the last lists. */
    WorkerCapacity worker(String worker) {
        return worker == null ? null : workers.get(worker);
    }

    /** A complete list of workers that was requested at {@code requestedAtMs}. */
    Changes onListed(List<WorkerInfo> listed, long requestedAtMs) {
        List<String> drains = new ArrayList<>(0);
        List<String> downs = new ArrayList<>(0);
        Set<String> shown = new HashSet<>();
        for (WorkerInfo worker : listed) {
            shown.add(worker.name());
            WorkerCapacity capacity = workers.computeIfAbsent(worker.name(), name -> new WorkerCapacity(worker));
            if (worker.draining() && !capacity.draining()) {
                drains.add(capacity.name);
            }
            capacity.onListed(worker, requestedAtMs - listLagMs);
        }
        boolean uncertain = false;
        for (Iterator<WorkerCapacity> each = workers.values().iterator(); each.hasNext(); ) {
            WorkerCapacity capacity = each.next();
            if (shown.contains(capacity.name)) {
                continue;
            }
            if (capacity.onMissedList() >= MAX_MISSED_LISTS) {
                downs.add(capacity.name);
                each.remove();
            } else {
                uncertain = true;
            }
        }
        return new Changes(drains, downs, uncertain);
    }

    /** A start is being called there. Null where the worker is not known. */
    WorkerCapacity.Reservation reserve(String worker, int memoryMb) {
        WorkerCapacity capacity = workers.get(worker);
        if (capacity == null) {
            return null;
        }
        return capacity.reserve(memoryMb);
    }

    /** The start has been made. */
    void confirm(WorkerCapacity.Reservation reservation, long now) {
        if (reservation != null) {
            reservation.confirm(now);
        }
    }

    /** The start has not been made. */
    void release(String worker, WorkerCapacity.Reservation reservation) {
        WorkerCapacity capacity = workers.get(worker);
        if (capacity != null && reservation != null) {
            capacity.release(reservation);
        }
    }

    /** A host has been stopped there. */
    void onStopped(String worker, int memoryMb, long now) {
        confirm(reserve(worker, -memoryMb), now);
    }

    /** The worker had no room for so much, whatever the list says. */
    void onRejected(String worker, int memoryMb, long now) {
        WorkerCapacity capacity = workers.get(worker);
        if (capacity != null) {
            capacity.onRejected(memoryMb, now);
        }
    }

    /** One host more ({@code change} 1) or fewer (-1) of the service there. */
    void instances(String worker, String service, int change) {
        if (worker == null) {
            return;
        }
        Map<String, Integer> instances = instanceCounts.computeIfAbsent(worker, name -> new HashMap<>());
        if (instances.merge(service, change, Integer::sum) <= 0) {
            instances.remove(service);
            if (instances.isEmpty()) {
                instanceCounts.remove(worker);
            }
        }
    }

    /** Hosts of the service there, those whose start is being called included. */
    int instances(String worker, String service) {
        Map<String, Integer> instances = instanceCounts.get(worker);
        return instances == null ? 0 : instances.getOrDefault(service, 0);
    }
}
