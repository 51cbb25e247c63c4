package brambletray.relay.core;

import brambletray.relay.message.Message;
import java.util.List;
import java.util.function.Consumer;

/** A transport: carries calls to hosts over one protocol. One thread, that of the event loop. */
public interface HostTransport {
    /** A call that is out. */
    interface Call {
        /** Stops waiting; its reply comes at once, as cancelled, unless it has come. */
        void cancel();
    }

    /** One message of a call: how long its reply is awaited (us), and who gets that, exactly once. */
    record Part(Message message, long timeoutUs, Consumer<CallReply> onReply) {}

    /**
     * Begins one call that carries several messages, no more than the host's kind takes; each has a reply of
     * its own. One that is cancelled or whose time-out has passed is no longer waited for: the call itself is
     * given up with the last. Transports whose protocol has no such call make one for each message.
     */
    default List<Call> callBatch(Host host, List<Part> parts) {
        return parts.stream()
                .map(part -> call(host, part.message(), part.timeoutUs(), part.onReply()))
                .toList();
    }

    /** Begins a call, which ends within {@code timeoutUs} microseconds; its reply comes exactly once. */
    Call call(Host host, Message message, long timeoutUs, Consumer<CallReply> onReply);

    /** Takes back the calls to a host of which no byte has gone out: each ends as not sent. */
    void recall(Host host);

    /** Closes the connections to a host that carry no call; one with an answer coming in, after that. */
    void closeIdle(Host host);

    /** Drops what is held of a host that is gone; false while a connection to it is open or coming up. */
    boolean forget(Host host);
}
