package brambletray.platform.provisioning;

import java.util.LinkedHashSet;
import java.util.Set;

/**
 * What the hub does where no worker has room for a start for which requests wait: it has homes end idle instances,
 * those that have been idle
 * longest first. It does not know which these are, so it names an age that falls from one notice to the next until
 * there is room. Without it,
 * instances that the first services keep idle would keep out the services that a later configuration brings.
 */
final class MemoryPressure {
    /** Age in the first notice, ms. */
    private static final int IDLE_MOST_MS = 16_000;
    /** Age in the last notices, ms. */
    private static final int IDLE_LEAST_MS = 500;
    /** By which the age is divided from one notice to the next. */
    private static final int FALL = 4;
    /** ms from one notice to the next, for the stops in between. */
    private static final long PAUSE_MS = 200;
    /** ms without lack of room after which the age begins anew. */
    private static final long CALM_MS = 3_000;

    private final ProvisioningActions hands;
    private final HomeLookup homes;
    private final InstanceRegistry registry;
    private int idleMs = IDLE_MOST_MS;
    private long saidAt = Long.MIN_VALUE / 2;

    MemoryPressure(ProvisioningActions hands, HomeLookup homes, InstanceRegistry registry) {
        this.hands = hands;
        this.homes = homes;
        this.registry = registry;
    }

    /** A start for which requests wait has found no room. */
    void noRoom(long now) {
        long since = now - saidAt;
        if (since < PAUSE_MS) {
            return;
        }
        idleMs = since > CALM_MS ? IDLE_MOST_MS : Math.max(IDLE_LEAST_MS, idleMs / FALL);
        saidAt = now;
        Reclaim reclaim = new Reclaim(idleMs);
        homesOfHosts().forEach(edge -> hands.tell(edge, reclaim));
    }

    private Set<String> homesOfHosts() {
        Set<String> edges = new LinkedHashSet<>();
        for (InstanceLifecycle life : registry.all()) {
            String home = homes.edge(life.service, life.seat);
            if (home != null) {
                edges.add(home);
            }
        }
        return edges;
    }
}
