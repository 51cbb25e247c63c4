package brambletray.platform.proxy;

import brambletray.platform.admission.AttemptOutcome;
import io.netty.buffer.ByteBuf;

/**
 * A request to one host, as seen by its connection, and the callbacks for its progress, in the order in which they are
 * called.
 */
interface HostCall {
    ClientRequest clientRequest();

    /** The attempt id sent by the client. */
    String requestId();

    /** {@code instance-id} and address of the host. */
    String instanceId();

    String address();

    /** Whether the request must not run twice and therefore needs a connection that is certainly open. */
    boolean requiresOpenConnection();

    /** Whether the host is booting: refused connections are retried. */
    boolean isBooting();

    /** Maximum number of connections to this host. */
    int maxConnections();

    /** Deadline sent to the host, ms of the monotonic clock. */
    long hostDeadlineMs();

    MemoryBudget memoryBudget();

    /**
     * Whether the request was sent on this connection before. If so, late responses on that connection may carry its
     * id.
     */
    boolean wasSentOn(HostConnection connection);

    /**
     * Whether the request is still to be sent. False if its deadline has passed, or if it first needs another permit
     * under its tenant's quota, after which it is sent again. Checked directly before sending, because timers may fire
     * late after the machine was suspended.
     */
    boolean isStillWanted();

    /** The request was assigned to this connection. */
    void onConnected(HostConnection connection);

    /** The connection was closed before a byte was sent; another one is used. */
    void onClosedUnsent();

    /** The first byte was sent. */
    void onSent();

    void onUnreachable();

    /** True: the rest of the response is streamed to {@link #onContent}; false: it is to be discarded. */
    boolean onStreaming(HostResponse response);

    /** Takes ownership of the bytes. False: stop reading until {@link HostConnection#resume}. */
    boolean onContent(ByteBuf bytes);

    /**
     * The call has ended. {@code response}: null unless the outcome is SERVED or FAILED, and null if {@code withheld};
     * the callee becomes its owner.
     */
    void onEnded(AttemptOutcome outcome, boolean withheld, HostResponse response);
}
