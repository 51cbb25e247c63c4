package brambletray.relay.core;

import java.util.Collection;

/** The hosts to which calls can be sent, as maintained from the host list. */
public interface HostDirectory {
    /** The host with this number in the control module; null if it is unknown or was dropped. */
    Host host(long number);

    /** The hosts on the list, and gone hosts that have not been dropped. */
    Collection<Host> hosts();

    /** True if some list has named this host; old names are eventually forgotten. */
    boolean wasListed(String name);

    /** The host of this name. An unknown host is created as gone and keeps its number when it is listed later. */
    Host hostNamed(String name);

    /** Version of the current list; -1 before the first. */
    long version();

    /** Number of hosts on the list. */
    int listedCount();

    /** Drops a gone host. If its name is listed again, it gets the same number. */
    void forget(Host host);

    /** True if a list has named this destination, even if all of its hosts are gone. */
    boolean hasDestination(long destination);
}
