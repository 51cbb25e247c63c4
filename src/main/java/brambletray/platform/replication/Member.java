package brambletray.platform.replication;

/**
 * One machine of the core with one disk.
 *
 * @param address ip:port of its control-plane
 * @param name    node-name, for logs and for who asks
 * @param incarnation    drawn when its disk was found empty; 0 only in the list of seeds that the core is founded from, where
 * it isn't known yet
 * @param zone    where it stands; "" when that isn't known, as in the list of seeds and on disks that were written
 * before zones were kept
 */
public record Member(String address, String name, long incarnation, String zone) {
    /** In a zone that isn't known. */
    public Member(String address, String name, long incarnation) {
        this(address, name, incarnation, "");
    }
}
