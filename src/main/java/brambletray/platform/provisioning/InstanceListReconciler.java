package brambletray.platform.provisioning;

import brambletray.platform.logging.EventLog;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Function;

/** Compares a whole list of the platform with what is known: who is up, leaving, gone, overdue, or known to nobody. */
final class InstanceListReconciler {
    private static final EventLog LOG = EventLog.of("provisioning");
    /** Whole lists in a row that do not show a host until it counts as gone. */
    private static final int MISSED_MOST = 2;
    /** ms; how much later than its stated lag a list may be. */
    private static final long LATE = 200;
    /** ms, and times the mean of a start: a start that takes longer has failed. */
    private static final long BOOT_MOST = 10_000;

    private static final int BOOTS_MOST = 6;
    /** ms; a host that has ended may be on the list for so long: it crashed, or its stop had work to await. */
    private static final long AFTER_END = 10_000;

    private final InstanceRegistry registry;
    private final InstanceStops stops;
    private final InstanceStarts starts;
    private final Function<String, InstanceSize> sizes;
    private final long lag;

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
        this.lag = lagMs + LATE;
    }

    /** {@code asked}: when its first page was asked for; {@code settled}: who is unknown now is known to nobody. */
    void take(List<ListedInstance> list, long asked, boolean whole, boolean settled, long now) {
        Set<String> shown = new HashSet<>(list.size() * 2);
        for (ListedInstance listed : list) {
            shown.add(listed.id());
            InstanceLifecycle life = registry.get(listed.id());
            if (life != null) {
                seen(life, listed, now);
            } else if (settled && whole) {
                unknown(listed, now);
            }
        }
        if (whole) {
            for (InstanceLifecycle life : new ArrayList<>(registry.all())) {
                if (!shown.contains(life.id)) {
                    absent(life, asked, now);
                }
            }
        }
    }

    private void seen(InstanceLifecycle life, ListedInstance listed, long now) {
        life.missed = 0;
        life.up(now);
        registry.move(life, listed.zone(), listed.worker());
        if (listed.draining()) {
            registry.leaving(life, "the list shows it as draining");
        }
    }

    private void absent(InstanceLifecycle life, long asked, long now) {
        if (life.upAt < 0) {
            InstanceSize size = sizes.apply(life.service);
            long boot = Math.max(BOOT_MOST, size == null ? 0 : (long) size.bootMs() * BOOTS_MOST);
            if (asked - life.bornAt > boot + lag) {
                registry.gone(life, "has not started within " + boot + " ms", false, now);
                stops.want(life.id, "has not started", now);
            }
        } else if (asked - life.upAt >= lag && ++life.missed >= MISSED_MOST) {
            registry.gone(life, "is not on the list any more", false, now);
        }
    }

    /** On the list, and in nobody's books. */
    private void unknown(ListedInstance listed, long now) {
        if (stops.wanted(listed.id()) || starts.pending(listed.service())) {
            return;
        }
        InstanceRegistry.End end = registry.end(listed.id(), now);
        if (end != null) {
            if (registry.endedAgo(listed.id(), now) < AFTER_END + lag || listed.draining()) {
                return;
            }
            LOG.warn("still there")
                    .with("host", listed.id())
                    .with("ended as", end.why())
                    .log();
            registry.revive(listed.id());
            if (end.stopped()) {
                stops.want(listed.id(), "stopped before, and still there", now);
                return;
            }
        }
        if (sizes.apply(listed.service()) == null) {
            LOG.info("orphan stopped")
                    .with("host", listed.id())
                    .with("service", listed.service())
                    .with("why", "no such service")
                    .log();
            stops.want(listed.id(), "of no service", now);
            return;
        }
        LOG.info("orphan adopted")
                .with("host", listed.id())
                .with("service", listed.service())
                .with("seat", listed.zone())
                .log();
        InstanceLifecycle life = new InstanceLifecycle(
                        listed.id(), listed.service(), listed.address(), listed.id(), now)
                .at(listed.zone(), listed.zone(), listed.worker());
        life.up(now);
        if (listed.draining()) {
            life.state = InstanceInfo.LEAVING;
        }
        registry.add(life);
        registry.born(life, now);
    }
}
