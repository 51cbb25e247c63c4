package brambletray.relay.inventory;

/**
 * One host of an inventory.
 *
 * @param name by which the relay, its log and the lists know it
 * @param address IP address; names are not looked up
 * @param destination number that clients give; a name in the file stands for {@link Destinations#number}
 * @param rate calls a second that it takes
 */
public record Entry(
        String name,
        String address,
        int port,
        String protocol,
        long destination,
        String zone,
        String kind,
        double rate,
        State state) {
    /** What a name looks like, as a pattern. */
    public static final String NAME = "[A-Za-z0-9][A-Za-z0-9._:-]{0,199}";

    /** Whether it is to have new work. */
    public enum State {
        READY,
        DRAINING
    }

    /** The same host, to have no new work. */
    Entry draining() {
        return new Entry(name, address, port, protocol, destination, zone, kind, rate, State.DRAINING);
    }

    /** Where it is: a host that moves is the old one gone, and a new one. */
    String place() {
        return protocol + " " + address + " " + port + " " + destination;
    }
}
