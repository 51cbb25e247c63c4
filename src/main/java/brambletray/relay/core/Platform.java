package brambletray.relay.core;

import brambletray.relay.journal.Journal;
import java.net.InetSocketAddress;

/** What runs the relay: it provides the list of hosts and takes the notices. */
public interface Platform {
    /** Begins to follow the list; changes come to {@link EventDispatcher#onListed}. */
    void watch();

    /**
     * Posts the end of a message, again and again until it is acknowledged ({@link
     * EventDispatcher#onNoticeAcknowledged}).
     */
    void postNotice(Journal.Entry entry);

    /** True while a notice is not acknowledged. */
    boolean hasUnacknowledgedNotices();

    /** Nothing more is watched or posted: another process does, from here on. */
    default void release() {}

    /** It is reached at another address from now on. */
    void onAgentAddressChanged(InetSocketAddress agent);
}
