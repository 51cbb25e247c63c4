package brambletray.relay.core;

import brambletray.relay.message.Message;
import java.util.List;
import java.util.function.Consumer;

/** Sends calls to hosts over one protocol. Runs on the event loop's thread. */
public interface HostTransport {
    /** A call in flight. */
    interface Call {
        /** Stops waiting: delivers a cancelled reply at once, unless a reply has been delivered. */
        void cancel();
    }

    /** One message of a batch call; {@code onReply} is called exactly once. */
    record Part(Message message, long timeoutUs, Consumer<CallReply> onReply) {}

    /**
     * Starts one call with several messages, up to the batch size of the host's kind. Each message gets its own reply.
     * A cancelled or timed-out message is no longer waited for; the call itself is abandoned with the last one.
     * Protocols without batch calls use one call per message.
     */
    default List<Call> callBatch(Host host, List<Part> parts) {
        return parts.stream()
                .map(part -> call(host, part.message(), part.timeoutUs(), part.onReply()))
                .toList();
    }

    /** Starts a call, which ends within {@code timeoutUs} microseconds; its reply is delivered exactly once. */
    Call call(Host host, Message message, long timeoutUs, Consumer<CallReply> onReply);

    /** Recalls the calls to a host of which no byte has been written; each ends as not sent. */
    void recall(Host host);

    /** Closes the idle connections to a host; a connection that is receiving a response is closed after it. */
    void closeIdle(Host host);

    /** Drops the state of a gone host; false while a connection to it is open or being established. */
    boolean forget(Host host);
}
