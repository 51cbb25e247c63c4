package brambletray.platform.controlplane;

import brambletray.platform.replication.FaultTolerance;
import brambletray.platform.replication.ReplicaConfig;
import brambletray.platform.replication.ReplicationSettings;
import brambletray.platform.settings.NodeSettings;
import java.util.ArrayList;
import java.util.List;

/** What the settings file of a process says about its replica. */
final class ReplicaSettings {
    private static final int MS_PER_S = 1_000;
    /** Margin below grace-s in which a process ends by itself. */
    private static final int EXIT_MARGIN_MS = 1_000;

    private ReplicaSettings() {}

    /** What the replica is given at its start; {@code newIncarnation}, {@code origin}: drawn at random, not 0. */
    static ReplicaConfig config(NodeSettings settings, long newIncarnation, long origin) {
        return new ReplicaConfig(
                settings.controlPlane().toString(),
                settings.node(),
                settings.zone(),
                newIncarnation,
                origin,
                seeds(settings),
                settings.initialStart(),
                timeouts(settings));
    }

    /** Time-outs and what may be lost at once. */
    static ReplicationSettings timeouts(NodeSettings settings) {
        FaultTolerance tolerance = new FaultTolerance(
                settings.machineLosses(), settings.zoneLosses(), settings.regionLosses(), settings.zones());
        return ReplicationSettings.defaults(tolerance, leaveTimeoutMs(settings));
    }

    /** How long a process that is about to end stays at most, ms: grace-s less a margin. */
    static int leaveTimeoutMs(NodeSettings settings) {
        int graceMs = (int) (settings.bounds().graceS() * MS_PER_S);
        return Math.max(graceMs / 2, graceMs - EXIT_MARGIN_MS);
    }

    /** Control-plane addresses of the seeds. */
    static List<String> seeds(NodeSettings settings) {
        List<String> seeds = new ArrayList<>();
        settings.seeds().forEach(seed -> seeds.add(seed.toString()));
        return seeds;
    }
}
