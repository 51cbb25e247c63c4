package brambletray.platform.admission;

import brambletray.platform.provisioning.InstanceInfo;
import java.util.ArrayList;
import java.util.List;

/**
 * Rebuilds the slots of a new home from the reports of edges. Reports are kept until the coordinator has listed the
 * instances; if it does not in time, the instances are taken from the reports.
 */
final class HeldSlotsRecovery {
    private static final int MAX_EARLY_REPORTS = 256;

    private final QueueContext context;
    private final InstancePool instances;
    private final InstanceSlots slots;
    private final QueueTakeover takeover;
    private final List<HeldSlots> earlyReports = new ArrayList<>();

    HeldSlotsRecovery(QueueContext context, InstancePool instances, InstanceSlots slots, QueueTakeover takeover) {
        this.context = context;
        this.instances = instances;
        this.slots = slots;
        this.takeover = takeover;
    }

    void onReported(HeldSlots held, long now) {
        if (takeover.isWaitingForList(now) && earlyReports.size() < MAX_EARLY_REPORTS) {
            earlyReports.add(held);
        } else {
            restore(held, now);
        }
        takeover.onReported(held.edge());
    }

    /** A slot was released; removes it from the reports that are not processed yet. */
    void onReleased(String edge, long requestId) {
        earlyReports.replaceAll(held -> held.edge().equals(edge) ? held.without(requestId) : held);
    }

    /** The coordinator has listed the instances: processes the reports kept until now. */
    void onListed(long now) {
        takeover.onListed();
        restoreEarlyReports(now);
    }

    void tick(long now) {
        if (!earlyReports.isEmpty() && !takeover.isWaitingForList(now)) {
            restoreEarlyReports(now);
        }
    }

    private void restoreEarlyReports(long now) {
        for (HeldSlots held : earlyReports) {
            restore(held, now);
        }
        earlyReports.clear();
    }

    private void restore(HeldSlots held, long now) {
        for (SlotGrant grant : held.slots()) {
            if (!takeover.isListed()) {
                instances.onInstance(
                        new InstanceInfo(
                                grant.instanceId(),
                                context.service(),
                                grant.address(),
                                context.zone,
                                context.zone,
                                "",
                                "",
                                InstanceInfo.UP,
                                0),
                        false,
                        now);
            }
            PooledInstance instance = instances.instances.find(grant.instanceId());
            if (instance != null) {
                slots.onReported(
                        held.edge(),
                        grant.requestId(),
                        instance,
                        context.parameters.takeover().requestMs(),
                        now);
            }
        }
    }
}
