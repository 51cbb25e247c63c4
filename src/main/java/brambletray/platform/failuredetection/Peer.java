package brambletray.platform.failuredetection;

/**
 * One process of the edges. {@code address}: ip:port where the others reach it; {@code incarnation}: another at each
 * start of the process; {@code state}: {@link #ACTIVE}, or {@link #LEAVING} once it shuts down.
 */
public record Peer(String name, String zone, String address, long incarnation, int state) {
    public static final int ACTIVE = 0;
    public static final int LEAVING = 1;

    /** Whether it may be home of services, and watch others. */
    public boolean isActive() {
        return state == ACTIVE;
    }

    /** The same, shutting down. */
    public Peer asLeaving() {
        return new Peer(name, zone, address, incarnation, LEAVING);
    }
}
