package brambletray.platform.replication;

/**
 * A member of the replication group: one machine with one disk.
 *
 * @param address ip:port of its control plane
 * @param name name of the node, shown in logs and to operators
 * @param incarnation random number, drawn when the disk was first used; 0 only in the list of seeds, where it is not
 *     known yet
 * @param zone zone of the machine; "" if unknown, as in the list of seeds and in data written before zones were stored
 */
public record Member(String address, String name, long incarnation, String zone) {
    /** Creates a member with an unknown zone. */
    public Member(String address, String name, long incarnation) {
        this(address, name, incarnation, "");
    }
}
