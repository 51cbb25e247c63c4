package brambletray.platform.provisioning;

import java.util.LinkedHashSet;
import java.util.Set;

/**
 * What the coordinator does when no worker has room for a start for which requests wait: it has homes stop idle
 * instances, those that have been idle longest first. It does not know which these are, so it names an age that falls
 * from one notice to the next until there is room. Without it, instances that the first services keep idle would keep
 * others from starting.
 */
final class MemoryPressure {
    /** Age in the first notice, ms. */
    private static final int MAX_IDLE_MS = 16_000;
    /** Age in the last notices, ms. */
    private static final int MIN_IDLE_MS = 500;
    /** By which the age is divided from one notice to the next. */
    private static final int IDLE_DECREASE = 4;
    /** ms from one notice to the next, for the stops in between. */
    private static final long MIN_REPEAT_MS = 200;
    /** ms without lack of room after which the age begins anew. */
    private static final long RESET_AFTER_MS = 3_000;

    private final ProvisioningActions actions;
    private final HomeLookup homes;
    private final InstanceRegistry registry;
    private int idleMs = MAX_IDLE_MS;
    private long announcedAtMs = Long.MIN_VALUE / 2;

    MemoryPressure(ProvisioningActions actions, HomeLookup homes, InstanceRegistry registry) {
        this.actions = actions;
        this.homes = homes;
        this.registry = registry;
    }

    /** A start for which requests wait has found no room. */
    void onNoRoom(long now) {
        long since = now - announcedAtMs;
        if (since < MIN_REPEAT_MS) {
            return;
        }
        idleMs = since > RESET_AFTER_MS ? MAX_IDLE_MS : Math.max(MIN_IDLE_MS, idleMs / IDLE_DECREASE);
        announcedAtMs = now;
        ReclaimIdleInstances reclaim = new ReclaimIdleInstances(idleMs);
        homesOfInstances().forEach(edge -> actions.send(edge, reclaim));
    }

    private Set<String> homesOfInstances() {
        Set<String> edges = new LinkedHashSet<>();
        for (InstanceLifecycle instance : registry.all()) {
            String home = homes.edgeFor(instance.service, instance.homeZone);
            if (home != null) {
                edges.add(home);
            }
        }
        return edges;
    }
}
