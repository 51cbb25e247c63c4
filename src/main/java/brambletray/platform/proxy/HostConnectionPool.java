package brambletray.platform.proxy;

import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/** The connections to one host, by its {@code instance-id}: a new life at an old address has its own. */
final class HostConnectionPool {
    final String id;
    final InetSocketAddress address;
    final List<HostConnection> lines = new ArrayList<>(2);
    /** Newest last. */
    final ArrayDeque<HostConnection> idle = new ArrayDeque<>(2);
    /** Those that wait for a connection. */
    final ArrayDeque<HostCall> waiting = new ArrayDeque<>(2);
    /** Those that only want to know whether it is up. */
    final List<Consumer<Boolean>> knocks = new ArrayList<>(0);

    int dialling;
    /** It has refused so far: one connection at a time is tried. */
    boolean unborn;

    boolean gone;
    Future<?> retry;

    HostConnectionPool(String id, InetSocketAddress address) {
        this.id = id;
        this.address = address;
    }

    boolean empty() {
        return lines.isEmpty() && waiting.isEmpty() && dialling == 0 && retry == null;
    }
}
