package brambletray.relay.core;

import brambletray.relay.journal.Journal;
import java.net.InetSocketAddress;

/** The platform that the relay runs on: it provides the host list and receives notices of message ends. */
public interface Platform {
    /** Starts to watch the host list; changes are passed to {@link EventDispatcher#onListed}. */
    void watch();

    /**
     * Posts the notice of a message's end, and repeats it until it is acknowledged ({@link
     * EventDispatcher#onNoticeAcknowledged}).
     */
    void postNotice(Journal.Entry entry);

    /** True while any notice has not been acknowledged. */
    boolean hasUnacknowledgedNotices();

    /** Stops watching and posting, because another process takes over. */
    default void release() {}

    /** The platform agent has a new address. */
    void onAgentAddressChanged(InetSocketAddress agent);
}
