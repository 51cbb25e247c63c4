package brambletray.platform.replication;

import java.util.List;

/**
 * The configuration of a member at process start.
 *
 * @param address ip:port of this machine's control plane, as known to the other members
 * @param name name of the node
 * @param zone zone of the machine; "" if unknown
 * @param newIncarnation random and non-zero; used if the disk is empty
 * @param origin random and non-zero, drawn at each process start; identifies the proposals of the process
 * @param seeds control-plane addresses from the settings
 * @param initialStart whether the settings declare this the first start of the whole system
 * @param settings timeouts and bounds
 */
public record ReplicaConfig(
        String address,
        String name,
        String zone,
        long newIncarnation,
        long origin,
        List<String> seeds,
        boolean initialStart,
        ReplicationSettings settings) {
    /** Copies the list of seeds. */
    public ReplicaConfig {
        seeds = List.copyOf(seeds);
    }

    /** This machine as a member, with the incarnation of its disk. */
    Member self(DurableState stored) {
        return new Member(address, name, stored.isEmpty() ? newIncarnation : stored.incarnation(), zone);
    }
}
