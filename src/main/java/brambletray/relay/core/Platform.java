package brambletray.relay.core;

import brambletray.relay.journal.Journal;
import java.net.InetSocketAddress;

/** What runs the relay: it tells the list of hosts and takes the notices. */
public interface Platform {
    /** Begins to follow the list; news come to {@link Loop#listed}. */
    void watch();

    /** Posts the end of a message, again and again until it is acknowledged ({@link Loop#noticed}). */
    void notice(Journal.Entry entry);

    /** True while a notice is not acknowledged. */
    boolean noticesLeft();

    /** Nothing more is watched or posted: another process does, from here on. */
    default void letGo() {}

    /** It is reached at another address from now on. */
    void move(InetSocketAddress agent);
}
