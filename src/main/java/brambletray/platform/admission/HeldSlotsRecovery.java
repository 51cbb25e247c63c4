package brambletray.platform.admission;

import brambletray.platform.provisioning.InstanceInfo;
import java.util.ArrayList;
import java.util.List;

/**
 * What edges tell a new home that they hold. Kept until the hub has listed the hosts; where it doesn't in time, the
 * hosts that edges hold places at are taken from them: rebuilt from those who told it first.
 */
final class HeldSlotsRecovery {
    private static final int EARLY_MOST = 256;

    private final QueueContext context;
    private final InstancePool instances;
    private final InstanceSlots places;
    private final QueueTakeover taking;
    private final List<HeldSlots> early = new ArrayList<>();

    HeldSlotsRecovery(QueueContext context, InstancePool instances, InstanceSlots places, QueueTakeover taking) {
        this.context = context;
        this.instances = instances;
        this.places = places;
        this.taking = taking;
    }

    void told(HeldSlots held, long now) {
        if (taking.unlisted(now) && early.size() < EARLY_MOST) {
            early.add(held);
        } else {
            mark(held, now);
        }
        taking.told(held.edge());
    }

    /** A place told early has been given back. */
    void done(String edge, long askId) {
        early.replaceAll(held -> held.edge().equals(edge) ? held.without(askId) : held);
    }

    /** The hub has listed the hosts. */
    void listed(long now) {
        taking.listed();
        markEarly(now);
    }

    void tick(long now) {
        if (!early.isEmpty() && !taking.unlisted(now)) {
            markEarly(now);
        }
    }

    private void markEarly(long now) {
        for (HeldSlots held : early) {
            mark(held, now);
        }
        early.clear();
    }

    private void mark(HeldSlots held, long now) {
        for (SlotGrant grant : held.grants()) {
            if (!taking.isListed()) {
                instances.take(
                        new InstanceInfo(
                                grant.host(),
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
            PooledInstance post = instances.posts.find(grant.host());
            if (post != null) {
                places.told(
                        held.edge(), grant.askId(), post, context.laws.taking().requestMs(), now);
            }
        }
    }
}
