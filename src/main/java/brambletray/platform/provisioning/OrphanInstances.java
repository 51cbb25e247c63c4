package brambletray.platform.provisioning;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Hosts that nobody wants, and that cost their memory until somebody stops them: those of a service that is gone from
 * the configuration, and those of a seat whose home has never asked for it, as its former home died or they were found
 * on the list.
 */
final class OrphanInstances {
    /** ms; hosts of a service that is gone are stopped after that. */
    private static final long REMOVED = 10_000;
    /** ms; hosts of a seat that its home has not claimed are stopped after that. */
    private static final long LONELY = 8_000;

    private static final int CLAIMS_MOST = 16_384;

    private final InstanceRegistry registry;
    private final HomeLookup homes;
    private final InstanceStops stops;
    private final Map<String, Long> removed = new HashMap<>();
    private final Map<HomeClaim, String> claims = new HashMap<>();
    private Set<String> services = Set.of();
    private boolean told;

    OrphanInstances(InstanceRegistry registry, HomeLookup homes, InstanceStops stops) {
        this.registry = registry;
        this.homes = homes;
        this.stops = stops;
    }

    /** The services of the configuration in force. */
    void configuration(Set<String> names) {
        told = true;
        services = names;
        removed.keySet().removeAll(names);
    }

    /** This edge acts as home of the seat: it has claimed it, asked for hosts, or told of some. */
    void claimed(String service, String seat, String edge) {
        if (claims.size() >= CLAIMS_MOST) {
            claims.keySet().removeIf(claim -> !services.contains(claim.service()));
        }
        if (claims.size() < CLAIMS_MOST) {
            claims.put(new HomeClaim(service, seat), edge);
        }
    }

    /** The edge begins anew: what it acts for it will say. */
    void disclaimed(String edge) {
        claims.values().removeIf(edge::equals);
    }

    /** Looks at all hosts; with each list. */
    void look(long now) {
        for (InstanceLifecycle life : new ArrayList<>(registry.all())) {
            if (told && !services.contains(life.service)) {
                long since = removed.computeIfAbsent(life.service, fresh -> now);
                if (now - since >= REMOVED) {
                    stops.want(life.id, "its service is gone", now);
                }
            } else if (kept(life)) {
                life.lonelySince = -1;
            } else if (life.lonelySince < 0) {
                life.lonelySince = now;
            } else if (now - life.lonelySince >= LONELY) {
                stops.want(life.id, "no home has claimed its seat", now);
            }
        }
    }

    /** Without any edge that could be home nobody can have claimed it. */
    private boolean kept(InstanceLifecycle life) {
        String home = homes.edge(life.service, life.seat);
        return home == null || home.equals(claims.get(new HomeClaim(life.service, life.seat)));
    }
}
