package brambletray.platform.proxy;

import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * The connections to one instance. Pools are keyed by {@code instance-id}, so a new instance at a reused address has
 * its own pool.
 */
final class HostConnectionPool {
    final String id;
    final InetSocketAddress address;
    final List<HostConnection> connections = new ArrayList<>(2);
    /** Idle connections, the most recently used last. */
    final ArrayDeque<HostConnection> idle = new ArrayDeque<>(2);
    /** Calls that wait for a connection. */
    final ArrayDeque<HostCall> waitingCalls = new ArrayDeque<>(2);
    /** Callbacks of pending probes, which only check whether the instance accepts connections. */
    final List<Consumer<Boolean>> probes = new ArrayList<>(0);

    int connecting;
    /** The instance has refused connections so far: only one connection at a time is attempted. */
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
