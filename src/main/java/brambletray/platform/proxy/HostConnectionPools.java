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
    /** ms; a connection whose host has not said how long it keeps it is this long good for what must not run twice. */
    static final int MAX_UNSTATED_IDLE_MS = 500;
    /** ms until a connection comes up; between tries at a booting host; between looks for idle ones. */
    private static final int CONNECT_TIMEOUT_MS = 300;

    private static final int BOOTING_RETRY_INTERVAL_MS = 40;
    private static final int SWEEP_INTERVAL_MS = 500;
    /** ms; a host that has answered so lately is there. */
    private static final int PROBE_VALIDITY_MS = 1_000;
    /** ms; more may come right behind an answer: a connection that has rested so long is preferred. */
    private static final int PREFERRED_IDLE_MS = 5;

    final RequestCounters counters;
    private final RateLimitedLog rateLimitedLog = new RateLimitedLog();
    /** ms; for connections whose host has not said how long it keeps them. */
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
                // The log line is written with its pool, once the host is up.
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
                // Guards against waiting for room that only connections not good enough take up.
                pool.idle.poll().close();
            }
            pool.waitingCalls.add(hostCall);
            openConnections(pool);
        }
    }

    /** A host's bytes were no answer. */
    void onBroken(HostCall hostCall, String why) {
        rateLimitedLog
                .info(now(), "broken")
                .with("host", hostCall.instanceId())
                .with("id", hostCall.requestId())
                .with("why", why)
                .log();
    }

    /** Takes back one that is waiting for a connection. */
    void withdraw(HostCall hostCall) {
        HostConnectionPool pool = pools.get(hostCall.instanceId());
        if (pool != null) {
            pool.waitingCalls.remove(hostCall);
            removeIfEmpty(pool);
        }
    }

    /** Nothing was sent on a pooled connection that turned out to be closed. */
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
    public void probe(String host, String address, Consumer<Boolean> up) {
        HostConnectionPool pool = pool(host, address);
        HostConnection last = pool.idle.peekLast();
        if (last != null && last.isOpen() && now() - last.idleSinceMs < PROBE_VALIDITY_MS) {
            machine.loop().execute(() -> up.accept(true));
            return;
        }
        pool.probes.add(up);
        if (pool.connecting == 0) {
            connect(pool);
        }
    }

    /** One for each that waits, within the bound; one at a time where the host has refused so far. */
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

    /** A connection is free: for who waits, or for later. */
    void onIdle(HostConnection connection) {
        HostCall next = takeNextCall(connection);
        if (next != null) {
            connection.send(next);
            return;
        }
        if (!connection.pool.waitingCalls.isEmpty()) {
            // All that wait have been here before: room for another.
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

    /** This host is gone, or leaves: requests in flight are finished, no connection is kept. */
    public void onInstanceGone(String host) {
        HostConnectionPool pool = pools.get(host);
        if (pool != null) {
            pool.instanceGone = true;
            List.copyOf(pool.connections).forEach(HostConnection::closeAfterResponse);
        }
    }

    /** Connections open now. */
    public int openCount() {
        int open = 0;
        for (HostConnectionPool pool : pools.values()) {
            open += pool.connections.size();
        }
        return open;
    }
}
