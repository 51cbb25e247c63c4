package brambletray.relay.handover;

import brambletray.relay.console.Operations;
import brambletray.relay.core.HandoverState;
import brambletray.relay.core.Host;
import brambletray.relay.core.MessageReceiver;
import brambletray.relay.core.RemoteCalls;
import brambletray.relay.core.Successor;
import java.io.IOException;
import java.net.InetSocketAddress;

/** What a process brings to the hand-over: its relay's parts. All of it on the loop. */
public interface HandoverActions {
    /** Opens the store. False where another process has the folder; throws where it cannot be used. */
    boolean open() throws IOException;

    /** Takes up the store that was opened: with care where nothing was handed on (null, null). */
    void takeUp(HandoverState from, RemoteCalls afar);

    /** True where what was handed on fits the store that was opened. */
    boolean fits(HandoverState from);

    /** Listens for clients; calls back when they can connect, or with what is wrong. */
    void listen(Runnable whenListening);

    /** Ends its loop and closes the store. */
    HandoverState handOn(Successor to);

    /** Serves out what is open, after {@link #handOn}; ends the process when nothing is. */
    void serveOut();

    /** The orderly end of a process that owns. */
    void leave();

    /** The end of one that does not; {@code fault}: null where all is well. */
    void end(String fault);

    /** Where messages are handed in, and operators' calls carried out, while this process owns. */
    MessageReceiver intake();

    Operations operations();

    /** Of calls that stayed here after {@link #handOn}. */
    void cancelOut(String id, int attempt);

    void cancelAllOut();

    /** {@code host}: its name; null for all. */
    void takeBackOut(String host);

    /** Operators' drain, as it stands and as the other process tells it. */
    boolean drained();

    void drained(boolean away);

    /** Listed hosts that get no ordinary traffic. */
    int avoided();

    /** As the owner counts them. */
    void avoided(int hosts);

    /** The host of this name. */
    Host host(String name);

    /** Where operators can call this process. */
    InetSocketAddress console();
}
