package brambletray.platform.proxy;

import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/** The connections to one instance, by its {@code instance-id}: a new instance at an old address has its own. */
final class HostConnectionPool {
    final String id;
    final InetSocketAddress address;
    final List<HostConnection> connections = new ArrayList<>(2);
    /** Newest last. */
    final ArrayDeque<HostConnection> idle = new ArrayDeque<>(2);
    /** Those that wait for a connection. */
    final ArrayDeque<HostCall> waitingCalls = new ArrayDeque<>(2);
    /** Those that only want to know whether it is up. */
    final List<Consumer<Boolean>> probes = new ArrayList<>(0);

    int connecting;
    /** It has refused so far: one connection at a time is tried. */
    boolean notYetUp;

    boolean instanceGone;
    Future<?> retry;

    HostConnectionPool(String id, InetSocketAddress address) {
        this.id = id;
        this.address = address;
    }

    boolean isEmpty() {
        return connections.isEmpty() && waitingCalls.isEmpty() && connecting == 0 && retry == null;
    }
}
