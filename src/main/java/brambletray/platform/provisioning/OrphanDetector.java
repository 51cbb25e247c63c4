package brambletray.platform.provisioning;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Finds instances that nobody uses and that cost memory until they are stopped: those of a service that is gone from
 * the configuration, and those whose home has never claimed them, as its former home died or they were found on the
 * list.
 */
final class OrphanDetector {
    /** ms; hosts of a service that is gone are stopped after that. */
    private static final long REMOVED_SERVICE_GRACE_MS = 10_000;
    /** Instances that their home has not claimed are stopped after so many ms. */
    private static final long UNCLAIMED_GRACE_MS = 8_000;

    private static final int MAX_CLAIMS = 16_384;

    private final InstanceRegistry registry;
    private final HomeLookup homes;
    private final InstanceStops stops;
    private final Map<String, Long> removed = new HashMap<>();
    private final Map<HomeClaim, String> claims = new HashMap<>();
    private Set<String> services = Set.of();
    private boolean configured;

    OrphanDetector(InstanceRegistry registry, HomeLookup homes, InstanceStops stops) {
        this.registry = registry;
        this.homes = homes;
        this.stops = stops;
    }

    /** The services of the configuration in force. */
    void configuration(Set<String> names) {
        configured = true;
        services = names;
        removed.keySet().removeAll(names);
    }

    /** This edge acts as the home: it has claimed the service, requested instances, or reported some. */
    void onClaimed(String service, String homeZone, String edge) {
        if (claims.size() >= MAX_CLAIMS) {
            claims.keySet().removeIf(claim -> !services.contains(claim.service()));
        }
        if (claims.size() < MAX_CLAIMS) {
            claims.put(new HomeClaim(service, homeZone), edge);
        }
    }

    /** The edge begins anew: what it acts for it will say. */
    void onEdgeRestarted(String edge) {
        claims.values().removeIf(edge::equals);
    }

    /** Looks at all hosts; with each list. */
    void check(long now) {
        for (InstanceLifecycle instance : new ArrayList<>(registry.all())) {
            if (configured && !services.contains(instance.service)) {
                long since = removed.computeIfAbsent(instance.service, fresh -> now);
                if (now - since >= REMOVED_SERVICE_GRACE_MS) {
                    stops.request(instance.id, "its service is gone", now);
                }
            } else if (isClaimed(instance)) {
                instance.orphanedSinceMs = -1;
            } else if (instance.orphanedSinceMs < 0) {
                instance.orphanedSinceMs = now;
            } else if (now - instance.orphanedSinceMs >= UNCLAIMED_GRACE_MS) {
                stops.request(instance.id, "no home has claimed it", now);
            }
        }
    }

    /** Without any edge that could be home nobody can have claimed it. */
    private boolean isClaimed(InstanceLifecycle instance) {
        String home = homes.edgeFor(instance.service, instance.homeZone);
        return home == null || home.equals(claims.get(new HomeClaim(instance.service, instance.homeZone)));
    }
}
