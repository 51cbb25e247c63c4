package brambletray.platform.proxy;

import brambletray.platform.admission.AttemptOutcome;
import io.netty.buffer.ByteBuf;

/**
 * A request on its way to one host, as its connection sees it, with the callbacks for its progress: in this order,
 * each at most once.
 */
interface HostCall {
    ClientRequest clientRequest();

    /** Its id, as the client sent it. */
    String requestId();

    /** {@code instance-id} and address of the host. */
    String instanceId();

    String address();

    /** Not to run twice: only on connections that are surely open. */
    boolean requiresOpenConnection();

    /** The host may still refuse connections: try on. */
    boolean isBooting();

    /** Connections to this host at most. */
    int maxConnections();

    /** ms of the steady clock. */
    long hostDeadlineMs();

    MemoryBudget memoryBudget();

    /** Whether it has been on this connection before: what is still to come there may bear its id. */
    boolean wasSentOn(HostConnection connection);

    /**
     * False: it is not to go out now, as its time is over, or as it needs another right under its tenant's quota and
     * comes again with it. Asked right before it does, as timers may be late where the machine stood still.
     */
    boolean isStillWanted();

    /** A connection is up, and is now at it. */
    void onConnected(HostConnection connection);

    /** That connection was closed before a byte went out; another is looked for. */
    void onClosedUnsent();

    /** The first byte is out. */
    void onSent();

    void onUnreachable();

    /** True: it is given on as it comes by {@link #onContent}; false: throw away what else comes. */
    boolean onStreaming(HostResponse response);

    /** Takes the bytes over. False: stop reading until {@link HostConnection#resume}. */
    boolean onContent(ByteBuf bytes);

    /**
     * {@code response}: null unless SERVED or FAILED, and null if {@code withheld}; owned by the callee from now on.
     */
    void onEnded(AttemptOutcome outcome, boolean withheld, HostResponse response);
}
