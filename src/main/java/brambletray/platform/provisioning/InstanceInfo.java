package brambletray.platform.provisioning;

/**
 * An instance as the system knows it. {@code zone}: of its worker; {@code homeZone}: the zone whose home gives out
 * its slots; {@code state}: 0 booting, 1 up, 2 leaving; {@code ageMs}: ms since its start call was answered.
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
