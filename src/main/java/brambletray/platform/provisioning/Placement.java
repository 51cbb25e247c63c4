package brambletray.platform.provisioning;

import java.util.Set;

/**
 * Which worker takes the next host of a service: one in the seat's zone if there is room, else in the nearest zone that
 * has some; there the one where a crash would take the fewest hosts of this service, then the one with the most free
 * memory. Never on a worker that drains or that the last list did not show.
 */
final class Placement {
    private final WorkerPool fleet;
    private final PlatformTerms terms;

    Placement(WorkerPool fleet, PlatformTerms terms) {
        this.fleet = fleet;
        this.terms = terms;
    }

    /** {@code not}: workers that have refused this start. Null: no room anywhere. */
    WorkerCapacity choose(String service, int mb, String zone, Set<String> not) {
        WorkerCapacity best = null;
        int bestFar = 0;
        int bestCrew = 0;
        int bestFree = 0;
        for (WorkerCapacity spot : fleet.spots()) {
            int free = spot.free();
            if (!spot.open() || free < mb || not.contains(spot.name)) {
                continue;
            }
            int far = terms.distance(zone, spot.zone);
            int instances = fleet.instances(spot.name, service);
            boolean better = best == null
                    || far < bestFar
                    || far == bestFar && (instances < bestCrew || instances == bestCrew && free > bestFree);
            if (better) {
                best = spot;
                bestFar = far;
                bestCrew = instances;
                bestFree = free;
            }
        }
        return best;
    }
}
