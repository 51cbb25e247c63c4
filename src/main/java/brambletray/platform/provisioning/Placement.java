package brambletray.platform.provisioning;

import java.util.Set;

/**
 * Chooses the worker for the next instance of a service: one in the home zone if there is room, else in the nearest
 * zone that has some; there the one where a crash would take the fewest instances of this service, then the one with
 * the most free memory. Never a worker that drains or that the last list did not show.
 */
final class Placement {
    private final WorkerPool workerPool;
    private final PlatformTerms terms;

    Placement(WorkerPool workerPool, PlatformTerms terms) {
        this.workerPool = workerPool;
        this.terms = terms;
    }

    /** {@code excluded}: workers that have refused this start. Null: no room anywhere. */
    WorkerCapacity choose(String service, int memoryMb, String zone, Set<String> excluded) {
        WorkerCapacity best = null;
        int bestFar = 0;
        int bestInstances = 0;
        int bestFree = 0;
        for (WorkerCapacity worker : workerPool.workers()) {
            int free = worker.freeMb();
            if (!worker.acceptsInstances() || free < memoryMb || excluded.contains(worker.name)) {
                continue;
            }
            int far = terms.distance(zone, worker.zone);
            int instances = workerPool.instances(worker.name, service);
            boolean better = best == null
                    || far < bestFar
                    || far == bestFar && (instances < bestInstances || instances == bestInstances && free > bestFree);
            if (better) {
                best = worker;
                bestFar = far;
                bestInstances = instances;
                bestFree = free;
            }
        }
        return best;
    }
}
