package brambletray.platform.replication;

import java.util.List;

/**
 * What a member is given at its start.
 *
 * @param address ip:port of this machine's control plane, as the others call it
 * @param name name of the node
 * @param zone zone of the machine; "" where it is not known
 * @param newIncarnation drawn at random, not 0: taken where the disk is empty
 * @param origin drawn at random at each start of the process, not 0; identifies its proposals
 * @param seeds control-plane addresses from the settings
 * @param initialStart whether the settings say that the whole system starts for the first time
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
    /** The list of seeds is copied. */
    public ReplicaConfig {
        seeds = List.copyOf(seeds);
    }

    /** This machine as a member, with the incarnation of its disk. */
    Member self(DurableState stored) {
        return new Member(address, name, stored.isEmpty() ? newIncarnation : stored.incarnation(), zone);
    }
}
