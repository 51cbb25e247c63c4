package brambletray.platform.controlplane;

import brambletray.platform.configuration.Configuration;
import brambletray.platform.election.LeaseHolder;
import brambletray.platform.failuredetection.Roster;
import brambletray.platform.provisioning.InstanceInfo;
import brambletray.platform.replication.ReplicaStatus;
import java.util.List;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * What a running member shows in its {@link OperatorViews}. {@code hub}: gives null while the helm is not held here.
 */
record StatusSources(
        Supplier<ReplicaStatus> member,
        Supplier<List<String>> zonesHoldingHalf,
        Supplier<Configuration> configuration,
        Supplier<LeaseHolder> holder,
        Supplier<EdgeCoordinator> hub,
        LongSupplier clock)
        implements OperatorViews.Source {
    @Override
    public ReplicaStatus status() {
        return member.get();
    }

    @Override
    public List<String> zonesThatHoldHalf() {
        return zonesHoldingHalf.get();
    }

    @Override
    public long revision() {
        return configuration.get().revision();
    }

    @Override
    public LeaseHolder coordinator() {
        return holder.get();
    }

    @Override
    public OperatorViews.Book book() {
        EdgeCoordinator held = hub.get();
        return held == null ? null : new Held(held, now());
    }

    @Override
    public long now() {
        return clock.getAsLong();
    }

    private record Held(EdgeCoordinator hub, long now) implements OperatorViews.Book {
        @Override
        public Roster roster() {
            return hub.newest();
        }

        @Override
        public long has(String edge) {
            return hub.has(edge);
        }

        @Override
        public List<InstanceInfo> hosts(String service) {
            return hub.provisioner().hosts(service, OperatorViews.MOST, now);
        }

        @Override
        public int known() {
            return hub.provisioner().known();
        }
    }
}
