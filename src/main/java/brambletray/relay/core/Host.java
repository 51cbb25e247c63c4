package brambletray.relay.core;

import java.net.InetSocketAddress;

/** A host from the host list; {@code number} identifies it in the control module. */
public final class Host {
    public final long number;
    public final String name;
    public InetSocketAddress address;
    /** Protocol used for calls to this host. */
    public String protocol = "http";

    public int zone;
    public int kind;
    public long destination;
    /** Listed weight: the rate in calls per second that its destination can take, or 1. */
    public double weight;

    public boolean ready;
    /** No longer on the list; dropped once it has no open connections. */
    public boolean gone;
    /** Excluded by an operator: gets no new calls, whatever the list says, and is not dropped. */
    public boolean excluded;

    public Host(long number, String name) {
        this.number = number;
        this.name = name;
    }
}
