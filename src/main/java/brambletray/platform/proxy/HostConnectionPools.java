package brambletray.platform.proxy;

import brambletray.common.runtime.Machine;
import brambletray.platform.settings.Address;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * The connection pools of all hosts; the most recently used connection is reused first, as new ones cost time and may
 * take a slot. To be used on the loop only.
 */
public final class HostConnectionPools {
    /**
     * ms for which an idle connection is used for requests that must not run twice if its host did not state a
     * keep-alive time.
     */
    static final int MAX_UNSTATED_IDLE_MS = 500;
    /** Timeout for establishing a connection, ms. */
    private static final int CONNECT_TIMEOUT_MS = 300;

    /** ms between connection attempts to a booting host. */
    private static final int BOOTING_RETRY_INTERVAL_MS = 40;
    /** ms between checks for expired idle connections. */
    private static final int SWEEP_INTERVAL_MS = 500;
    /** ms; a probe succeeds without a new connection if an open one was in use this recently. */
    private static final int PROBE_VALIDITY_MS = 1_000;
    /**
     * ms; connections idle for at least this long are preferred, as surplus bytes may follow directly after a response.
     */
    private static final int PREFERRED_IDLE_MS = 5;

    final RequestCounters counters;
    private final RateLimitedLog rateLimitedLog = new RateLimitedLog();
    /** Idle time, in ms, of connections whose host did not state a keep-alive time. */
    final int idleMs;

    private final Machine machine;
    private final Bootstrap bootstrap;
    private final Map<String, HostConnectionPool> pools = new HashMap<>();
    private boolean sweeping;

    /** {@code idleMs}: ms for which idle connections are kept if the host does not state a time. */
    public HostConnectionPools(Machine machine, int idleMs, RequestCounters counters) {
        this.machine = machine;
        this.idleMs = idleMs;
        this.counters = counters;
        this.bootstrap = machine.dialling(CONNECT_TIMEOUT_MS, new ChannelInitializer<Channel>() {
            @Override
            protected void initChannel(Channel channel) {
                // The handlers need the pool and are added once the connection is established.
            }
        });
    }

    long now() {
        return machine.clock().nanos() / 1_000_000;
    }

    // ---- Requests -------------------------------------------------------------------------------
    void send(HostCall hostCall) {
        if (!hostCall.isStillWanted()) {
            return;
        }
        HostConnectionPool pool = pool(hostCall.instanceId(), hostCall.address());
        HostConnection connection = pool.waitingCalls.isEmpty() ? acquire(pool, hostCall) : null;
        if (connection != null) {
            connection.send(hostCall);
        } else {
            if (!pool.idle.isEmpty() && pool.connections.size() + pool.connecting >= hostCall.maxConnections()) {
                // All idle connections are unusable for this call: closes one so that the call does not wait for
                // capacity that they occupy.
                pool.idle.poll().close();
            }
            pool.waitingCalls.add(hostCall);
            openConnections(pool);
        }
    }

    /** Logs that a host did not send a valid, complete response. */
    void onBroken(HostCall hostCall, String reason) {
        rateLimitedLog
                .info(now(), "broken")
                .with("host", hostCall.instanceId())
                .with("id", hostCall.requestId())
                .with("why", reason)
                .log();
    }

    /** Removes a call that is waiting for a connection. */
    void withdraw(HostCall hostCall) {
        HostConnectionPool pool = pools.get(hostCall.instanceId());
        if (pool != null) {
            pool.waitingCalls.remove(hostCall);
            removeIfEmpty(pool);
        }
    }

    /** Resends a call of which nothing was sent because its pooled connection turned out to be closed. */
    void onStale(HostCall hostCall) {
        counters.staleConnections++;
        hostCall.onClosedUnsent();
        send(hostCall);
    }

    private HostConnection acquire(HostConnectionPool pool, HostCall hostCall) {
        long now = now();
        HostConnection newest = null;
        for (Iterator<HostConnection> idle = pool.idle.descendingIterator(); idle.hasNext(); ) {
            HostConnection connection = idle.next();
            if (connection.isUsable(now, hostCall.requiresOpenConnection()) && !hostCall.wasSentOn(connection)) {
                if (now - connection.idleSinceMs >= PREFERRED_IDLE_MS) {
                    idle.remove();
                    return connection;
                }
                newest = newest == null ? connection : newest;
            }
        }
        if (newest != null) {
            pool.idle.remove(newest);
        }
        return newest;
    }

    private HostConnectionPool pool(String host, String address) {
        HostConnectionPool pool = pools.get(host);
        if (pool == null) {
            Address to = Address.parse(address);
            pool = new HostConnectionPool(host, new InetSocketAddress(to.host(), to.port()));
            pools.put(host, pool);
        }
        return pool;
    }

    // ---- Connections ----------------------------------------------------------------------------
    /** Probes whether a host accepts connections; a connection that succeeds is kept for the next request. */
    public void probe(String host, String address, Consumer<Boolean> callback) {
        HostConnectionPool pool = pool(host, address);
        HostConnection last = pool.idle.peekLast();
        if (last != null && last.isOpen() && now() - last.idleSinceMs < PROBE_VALIDITY_MS) {
            machine.loop().execute(() -> callback.accept(true));
            return;
        }
        pool.probes.add(callback);
        if (pool.connecting == 0) {
            connect(pool);
        }
    }

    /** Opens a connection for each waiting call up to the maximum; only one at a time while the host refuses them. */
    private void openConnections(HostConnectionPool pool) {
        int wanted = pool.notYetUp ? Math.min(1, pool.waitingCalls.size()) : pool.waitingCalls.size();
        while (pool.connecting < wanted
                && pool.retry == null
                && pool.connections.size() + pool.connecting
                        < pool.waitingCalls.peek().maxConnections()) {
            connect(pool);
        }
    }

    private void connect(HostConnectionPool pool) {
        pool.connecting++;
        bootstrap.connect(pool.address).addListener((io.netty.channel.ChannelFuture done) -> {
            pool.connecting--;
            if (done.isSuccess()) {
                onConnected(pool, done.channel());
            } else {
                counters.connectFailures++;
                onConnectFailed(pool);
            }
            removeIfEmpty(pool);
        });
    }

    private void onConnected(HostConnectionPool pool, Channel channel) {
        counters.connectionsOpened++;
        pool.notYetUp = false;
        HostConnection connection = new HostConnection(this, pool);
        channel.pipeline().addLast(connection.decoder, connection);
        pool.connections.add(connection);
        notifyProbes(pool, true);
        if (pool.instanceGone && pool.waitingCalls.isEmpty()) {
            connection.close();
        } else {
            onIdle(connection);
        }
        openConnections(pool);
    }

    private void onConnectFailed(HostConnectionPool pool) {
        notifyProbes(pool, false);
        HostCall refused = null;
        boolean booting = false;
        for (Iterator<HostCall> calls = pool.waitingCalls.iterator(); calls.hasNext(); ) {
            HostCall hostCall = calls.next();
            if (hostCall.isBooting() && !pool.instanceGone) {
                booting = true;
            } else if (refused == null) {
                refused = hostCall;
                calls.remove();
            }
        }
        if (booting && pool.retry == null) {
            pool.notYetUp = true;
            pool.retry = machine.loop()
                    .schedule(
                            () -> {
                                pool.retry = null;
                                openConnections(pool);
                                removeIfEmpty(pool);
                            },
                            BOOTING_RETRY_INTERVAL_MS,
                            TimeUnit.MILLISECONDS);
        }
        if (refused != null) {
            refused.onUnreachable();
        }
        if (!booting) {
            pool.notYetUp = false;
            openConnections(pool);
        }
    }

    private static void notifyProbes(HostConnectionPool pool, boolean up) {
        if (!pool.probes.isEmpty()) {
            List<Consumer<Boolean>> waitingProbes = List.copyOf(pool.probes);
            pool.probes.clear();
            waitingProbes.forEach(probe -> probe.accept(up));
        }
    }

    /** Gives a free connection to a waiting call, or keeps it in the pool. */
    void onIdle(HostConnection connection) {
        HostCall next = takeNextCall(connection);
        if (next != null) {
            connection.send(next);
            return;
        }
        if (!connection.pool.waitingCalls.isEmpty()) {
            // All waiting calls have used this connection before: closing it makes room for a new one.
            connection.close();
            return;
        }
        connection.idleSinceMs = now();
        connection.pool.idle.add(connection);
        if (!sweeping) {
            sweeping = true;
            machine.loop().schedule(this::sweep, SWEEP_INTERVAL_MS, TimeUnit.MILLISECONDS);
        }
    }

    private HostCall takeNextCall(HostConnection connection) {
        for (HostCall hostCall : List.copyOf(connection.pool.waitingCalls)) {
            if (!hostCall.wasSentOn(connection)
                    && connection.pool.waitingCalls.remove(hostCall)
                    && hostCall.isStillWanted()) {
                return hostCall;
            }
        }
        return null;
    }

    void onClosed(HostConnection connection) {
        connection.pool.connections.remove(connection);
        connection.pool.idle.remove(connection);
        openConnections(connection.pool);
        removeIfEmpty(connection.pool);
    }

    private void removeIfEmpty(HostConnectionPool pool) {
        if (pool.isEmpty()) {
            pools.remove(pool.id, pool);
        }
    }

    private void sweep() {
        sweeping = false;
        long now = now();
        List<HostConnection> stale = new ArrayList<>();
        boolean more = false;
        for (HostConnectionPool pool : pools.values()) {
            for (HostConnection connection : pool.idle) {
                if (connection.isStale(now)) {
                    stale.add(connection);
                } else {
                    more = true;
                }
            }
        }
        stale.forEach(HostConnection::close);
        if (more) {
            sweeping = true;
            machine.loop().schedule(this::sweep, SWEEP_INTERVAL_MS, TimeUnit.MILLISECONDS);
        }
    }

    /** The host is gone or draining: requests in flight are completed, and no connection is kept. */
    public void onInstanceGone(String host) {
        HostConnectionPool pool = pools.get(host);
        if (pool != null) {
            pool.instanceGone = true;
            List.copyOf(pool.connections).forEach(HostConnection::closeAfterResponse);
        }
    }

    /** Number of open connections. */
    public int openCount() {
        int open = 0;
        for (HostConnectionPool pool : pools.values()) {
            open += pool.connections.size();
        }
        return open;
    }
}
