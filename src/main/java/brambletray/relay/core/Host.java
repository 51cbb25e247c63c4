package brambletray.relay.core;

import java.net.InetSocketAddress;

/** One host that a list has named; {@code number} is what the module knows it by. */
public final class Host {
    public final long number;
    public final String name;
    public InetSocketAddress address;
    /** By which its calls go out. */
    public String protocol = "http";

    public int zone;
    public int kind;
    public long destination;
    /** As listed: the rate in calls a second that its destination takes, or 1. */
    public double weight;

    public boolean ready;
    /** Off the list; forgotten once nothing is out to it. */
    public boolean gone;
    /** Taken excluded by operators: nothing new goes there, whatever the list says; never forgotten while it is. */
    public boolean excluded;

    public Host(long number, String name) {
        this.number = number;
        this.name = name;
    }
}
