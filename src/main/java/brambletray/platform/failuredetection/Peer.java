package brambletray.platform.failuredetection;

/**
 * One process among the edges. {@code address}: ip:port where the others reach it; {@code life}: another at each start
 * of the process; {@code state}: {@link #IN}, or {@link #LEAVING} once it winds up.
 */
public record Peer(String name, String zone, String address, long life, int state) {
    public static final int IN = 0;
    public static final int LEAVING = 1;

    /** Whether it may be home of services, and watch others. */
    public boolean in() {
        return state == IN;
    }

    /** The same, winding up. */
    public Peer leaving() {
        return new Peer(name, zone, address, life, LEAVING);
    }
}
