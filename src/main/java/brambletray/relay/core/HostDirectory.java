package brambletray.relay.core;

import java.util.Collection;

/** The hosts that the event loop may be asked to send to, as membership keeps them. */
public interface HostDirectory {
    /** The host that the module knows by this number; null for one that is not known or forgotten. */
    Host host(long number);

    /** The hosts on the list, and those off it that are not forgotten. */
    Collection<Host> hosts();

    /** True for a name that some list has had, as far back as is remembered. */
    boolean wasListed(String name);

    /** The host of this name; one that is not held is made, as gone: it has its number when it is listed. */
    Host hostNamed(String name);

    /** The version of the list held; -1 before the first. */
    long version();

    /** Hosts on the list. */
    int listedCount();

    /** Drops a host that is gone. Should its name come back, it has the same number. */
    void forget(Host host);

    /** True for a destination that a list has named; it stays one while all of its hosts are gone. */
    boolean hasDestination(long destination);
}
