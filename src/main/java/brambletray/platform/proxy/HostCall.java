package brambletray.platform.proxy;

import brambletray.platform.admission.AttemptOutcome;
import io.netty.buffer.ByteBuf;

/**
 * A request on its way to one host: what a connection needs to know of it, and whom it tells. Told in this order, each
 * at most once.
 */
interface HostCall {
    ClientRequest clientRequest();

    /** Its id, as the client sent it. */
    String id();

    /** {@code instance-id} and address of the host. */
    String host();

    String address();

    /** Not to run twice: only on connections that are surely open. */
    boolean careful();

    /** The host may still refuse connections: try on. */
    boolean booting();

    /** Connections to this host at most. */
    int mostLines();

    /** ms of the steady clock. */
    long hostEnd();

    MemoryBudget hold();

    /** Whether it has been on this connection before: what is still to come there may bear its id. */
    boolean met(HostConnection line);

    /**
     * False: its time is over, and it is not to go out. Asked right before it does, as timers may be late where the
     * machine stood still.
     */
    boolean wanted();

    /** A connection is up, and is now at it. */
    void up(HostConnection line);

    /** That connection was closed before a byte went out; another is looked for. */
    void down();

    /** The first byte is out. */
    void sent();

    void unreached();

    /** True: it is given on as it comes by {@link #more}; false: throw away what else comes. */
    boolean flow(HostResponse answer);

    /** Takes the bytes over. False: stop reading until {@link HostConnection#resume}. */
    boolean more(ByteBuf bytes);

    /** {@code answer}: null unless SERVED or FAILED, and where it is {@code withheld}; the errand's from now on. */
    void ended(AttemptOutcome fate, boolean withheld, HostResponse answer);
}
