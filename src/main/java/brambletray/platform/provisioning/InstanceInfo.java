package brambletray.platform.provisioning;

/**
 * A host of a service as the system knows it. {@code zone}: where its worker stands; {@code seat}: the zone whose home
 * gives out its places; {@code state}: 0 booting, 1 up, 2 leaving; {@code bornAgoMs}: ms since its start call was
 * answered.
 */
public record InstanceInfo(
        String id,
        String service,
        String address,
        String zone,
        String homeZone,
        String worker,
        String nonce,
        int state,
        long ageMs) {
    public static final int BOOTING = 0;
    public static final int UP = 1;
    public static final int LEAVING = 2;
}
