package brambletray.platform.provisioning;

import brambletray.platform.logging.EventLog;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Function;

/**
 * Reconciles a complete list of the platform with the registry: which instances are up, leaving, gone, overdue or
 * unknown.
 */
final class InstanceListReconciler {
    private static final EventLog LOG = EventLog.of("provisioning");
    /** Whole lists in a row that do not show a host until it counts as gone. */
    private static final int MAX_MISSED_LISTS = 2;
    /** ms; how much later than its stated lag a list may be. */
    private static final long LIST_MARGIN_MS = 200;
    /** ms, and times the mean of a start: a start that takes longer has failed. */
    private static final long MAX_BOOT_MS = 10_000;

    private static final int MAX_BOOT_FACTOR = 6;
    /** ms; a host that has ended may be on the list for so long: it crashed, or its stop had work to await. */
    private static final long REMEMBER_END_MS = 10_000;

    private final InstanceRegistry registry;
    private final InstanceStops stops;
    private final InstanceStarts starts;
    private final Function<String, InstanceSize> sizes;
    private final long listLagMs;

    InstanceListReconciler(
            InstanceRegistry registry,
            InstanceStops stops,
            InstanceStarts starts,
            Function<String, InstanceSize> sizes,
            long lagMs) {
        this.registry = registry;
        this.stops = stops;
        this.starts = starts;
        this.sizes = sizes;
        this.listLagMs = lagMs + LIST_MARGIN_MS;
    }

    /**
     * {@code requestedAtMs}: when its first page was asked for; {@code settled}: who is unknown now is known to
     * nobody.
     */
    void reconcile(List<ListedInstance> list, long requestedAtMs, boolean complete, boolean settled, long now) {
        Set<String> shown = new HashSet<>(list.size() * 2);
        for (ListedInstance listed : list) {
            shown.add(listed.id());
            InstanceLifecycle instance = registry.get(listed.id());
            if (instance != null) {
                onListed(instance, listed, now);
            } else if (settled && complete) {
                onUnknown(listed, now);
            }
        }
        if (complete) {
            for (InstanceLifecycle instance : new ArrayList<>(registry.all())) {
                if (!shown.contains(instance.id)) {
                    onAbsent(instance, requestedAtMs, now);
                }
            }
        }
    }

    private void onListed(InstanceLifecycle instance, ListedInstance listed, long now) {
        instance.missedLists = 0;
        instance.markUp(now);
        registry.move(instance, listed.zone(), listed.worker());
        if (listed.draining()) {
            registry.onDraining(instance, "the list shows it as draining");
        }
    }

    private void onAbsent(InstanceLifecycle instance, long requestedAtMs, long now) {
        if (instance.upAtMs < 0) {
            InstanceSize size = sizes.apply(instance.service);
            long boot = Math.max(MAX_BOOT_MS, size == null ? 0 : (long) size.bootMs() * MAX_BOOT_FACTOR);
            if (requestedAtMs - instance.startedAtMs > boot + listLagMs) {
                registry.onGone(instance, "has not started within " + boot + " ms", false, now);
                stops.request(instance.id, "has not started", now);
            }
        } else if (requestedAtMs - instance.upAtMs >= listLagMs && ++instance.missedLists >= MAX_MISSED_LISTS) {
            registry.onGone(instance, "is not on the list any more", false, now);
        }
    }

    /** On the list, and in nobody's books. */
    private void onUnknown(ListedInstance listed, long now) {
        if (stops.isRequested(listed.id()) || starts.pending(listed.service())) {
            return;
        }
        InstanceRegistry.End end = registry.findEnd(listed.id(), now);
        if (end != null) {
            if (registry.msSinceEnd(listed.id(), now) < REMEMBER_END_MS + listLagMs || listed.draining()) {
                return;
            }
            LOG.warn("instance-still-listed")
                    .with("host", listed.id())
                    .with("ended as", end.reason())
                    .log();
            registry.revive(listed.id());
            if (end.stopConfirmed()) {
                stops.request(listed.id(), "stopped before, and still there", now);
                return;
            }
        }
        if (sizes.apply(listed.service()) == null) {
            LOG.info("orphan-stopped")
                    .with("host", listed.id())
                    .with("service", listed.service())
                    .with("why", "no such service")
                    .log();
            stops.request(listed.id(), "of no service", now);
            return;
        }
        LOG.info("orphan-adopted")
                .with("host", listed.id())
                .with("service", listed.service())
                .with("home-zone", listed.zone())
                .log();
        InstanceLifecycle instance = new InstanceLifecycle(
                        listed.id(), listed.service(), listed.address(), listed.id(), now)
                .place(listed.zone(), listed.zone(), listed.worker());
        instance.markUp(now);
        if (listed.draining()) {
            instance.state = InstanceInfo.LEAVING;
        }
        registry.add(instance);
        registry.onStarted(instance, now);
    }
}
