package brambletray.platform.replication;

/**
 * One machine of the core, with one disk.
 *
 * @param address ip:port of its control plane
 * @param name name of the node, for logs and operators
 * @param incarnation drawn at random when its disk was first used; 0 only in the list of seeds, where it is not known
 *     yet
 * @param zone zone of the machine; "" where it is not known, as in the list of seeds and on disks that were written
 *     before zones were stored
 */
public record Member(String address, String name, long incarnation, String zone) {
    /** A member whose zone is not known. */
    public Member(String address, String name, long incarnation) {
        this(address, name, incarnation, "");
    }
}
