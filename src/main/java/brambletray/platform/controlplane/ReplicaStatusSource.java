package brambletray.platform.controlplane;

import brambletray.platform.configuration.Configuration;
import brambletray.platform.election.LeaseHolder;
import brambletray.platform.failuredetection.Roster;
import brambletray.platform.provisioning.InstanceInfo;
import brambletray.platform.quota.TenantUsage;
import brambletray.platform.replication.ReplicaStatus;
import java.util.List;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * The status of a running member for {@link OperatorViews}. {@code coordinatorHeldHere}: gives null while this member
 * is not the coordinator.
 */
record ReplicaStatusSource(
        Supplier<ReplicaStatus> replicaStatus,
        Supplier<List<String>> zoneNames,
        Supplier<Configuration> configuration,
        Supplier<LeaseHolder> holder,
        Supplier<EdgeCoordinator> coordinatorHeldHere,
        LongSupplier clock)
        implements OperatorViews.Source {
    @Override
    public ReplicaStatus status() {
        return replicaStatus.get();
    }

    @Override
    public List<String> zonesHoldingHalf() {
        return zoneNames.get();
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
    public OperatorViews.CoordinatorView coordinatorView() {
        EdgeCoordinator heldCoordinator = coordinatorHeldHere.get();
        return heldCoordinator == null ? null : new HeldCoordinator(heldCoordinator, nowMs());
    }

    @Override
    public long nowMs() {
        return clock.getAsLong();
    }

    private record HeldCoordinator(EdgeCoordinator coordinator, long nowMs) implements OperatorViews.CoordinatorView {
        @Override
        public Roster roster() {
            return coordinator.newestRoster();
        }

        @Override
        public long servedRevision(String edge) {
            return coordinator.servedRevision(edge);
        }

        @Override
        public List<InstanceInfo> instances(String service) {
            return coordinator.provisioner().instances(service, OperatorViews.MAX_INSTANCES, nowMs);
        }

        @Override
        public int instanceCount() {
            return coordinator.provisioner().instanceCount();
        }

        @Override
        public List<TenantUsage> tenantUsages() {
            return coordinator.tenantUsages(nowMs);
        }
    }
}
