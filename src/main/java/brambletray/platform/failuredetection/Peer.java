package brambletray.platform.failuredetection;

/**
 * One edge process. {@code address}: ip:port at which others reach it; {@code incarnation}: differs for each start of
 * the process; {@code state}: {@link #ACTIVE}, or {@link #LEAVING} once it is shutting down.
 */
public record Peer(String name, String zone, String address, long incarnation, int state) {
    public static final int ACTIVE = 0;
    public static final int LEAVING = 1;

    /** Whether it may be the home of services and watch other peers. */
    public boolean isActive() {
        return state == ACTIVE;
    }

    /** A copy with the state {@link #LEAVING}. */
    public Peer asLeaving() {
        return new Peer(name, zone, address, incarnation, LEAVING);
    }
}
