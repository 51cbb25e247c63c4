package brambletray.platform.proxy;

import brambletray.platform.settings.Address;
import brambletray.runtime.Machine;
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

/** Connections to hosts, kept and used again, newest first: new ones have a price and may hold a slot. The loop's. */
public final class HostConnectionPools {
    /** ms; a connection whose host has not said how long it keeps it is this long good for what must not run twice. */
    static final int UNTOLD_MS = 500;
    /** ms until a connection comes up; between tries at a booting host; between looks for idle ones. */
    private static final int CONNECT_MS = 300;

    private static final int BOOTING_MS = 40;
    private static final int SWEEP_MS = 500;
    /** ms; a host that has answered so lately is there. */
    private static final int FRESH_MS = 1_000;
    /** ms; more may come right behind an answer: a connection that has rested so long is preferred. */
    private static final int REST_MS = 5;

    final RequestCounters counters;
    private final RateLimitedLog rateLimitedLog = new RateLimitedLog();
    /** ms; for connections whose host has not said how long it keeps them. */
    final int idleMs;

    private final Machine machine;
    private final Bootstrap bootstrap;
    private final Map<String, HostConnectionPool> pools = new HashMap<>();
    private boolean sweeping;

    /** {@code idleMs}: how long idle connections are kept whose host has not said, ms. */
    public HostConnectionPools(Machine machine, int idleMs, RequestCounters counters) {
        this.machine = machine;
        this.idleMs = idleMs;
        this.counters = counters;
        this.bootstrap = machine.dialling(CONNECT_MS, new ChannelInitializer<Channel>() {
            @Override
            protected void initChannel(Channel channel) {
                // Its line comes with its pool, once it is up.
            }
        });
    }

    long now() {
        return machine.clock().nanos() / 1_000_000;
    }

    // ---- Requests -------------------------------------------------------------------------------
    void send(HostCall hostCall) {
        if (!hostCall.wanted()) {
            return;
        }
        HostConnectionPool pool = pool(hostCall.host(), hostCall.address());
        HostConnection line = pool.waiting.isEmpty() ? take(pool, hostCall) : null;
        if (line != null) {
            line.begin(hostCall);
        } else {
            if (!pool.idle.isEmpty() && pool.lines.size() + pool.dialling >= hostCall.mostLines()) {
                // Guards against waiting for room that only connections not good enough take up.
                pool.idle.poll().close();
            }
            pool.waiting.add(hostCall);
            dial(pool);
        }
    }

    /** A host's bytes were no answer. */
    void broken(HostCall hostCall, String why) {
        rateLimitedLog
                .info(now(), "broken")
                .with("host", hostCall.host())
                .with("id", hostCall.id())
                .with("why", why)
                .log();
    }

    /** Takes back one that is waiting for a connection. */
    void withdraw(HostCall hostCall) {
        HostConnectionPool pool = pools.get(hostCall.host());
        if (pool != null) {
            pool.waiting.remove(hostCall);
            forgetIfEmpty(pool);
        }
    }

    /** Not a byte of it went out on a kept connection that turned out closed. */
    void stale(HostCall hostCall) {
        counters.stale++;
        hostCall.down();
        send(hostCall);
    }

    private HostConnection take(HostConnectionPool pool, HostCall hostCall) {
        long now = now();
        HostConnection newest = null;
        for (Iterator<HostConnection> lines = pool.idle.descendingIterator(); lines.hasNext(); ) {
            HostConnection line = lines.next();
            if (line.usable(now, hostCall.careful()) && !hostCall.met(line)) {
                if (now - line.idleSince >= REST_MS) {
                    lines.remove();
                    return line;
                }
                newest = newest == null ? line : newest;
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
    /**
     * Tells whether a host takes connections; where one comes up, it is kept for the next request.
     */
    public void knock(String host, String address, Consumer<Boolean> up) {
        HostConnectionPool pool = pool(host, address);
        HostConnection last = pool.idle.peekLast();
        if (last != null && last.open() && now() - last.idleSince < FRESH_MS) {
            machine.loop().execute(() -> up.accept(true));
            return;
        }
        pool.knocks.add(up);
        if (pool.dialling == 0) {
            connect(pool);
        }
    }

    /** One for each that waits, within the bound; one at a time where the host has refused so far. */
    private void dial(HostConnectionPool pool) {
        int wanted = pool.unborn ? Math.min(1, pool.waiting.size()) : pool.waiting.size();
        while (pool.dialling < wanted
                && pool.retry == null
                && pool.lines.size() + pool.dialling < pool.waiting.peek().mostLines()) {
            connect(pool);
        }
    }

    private void connect(HostConnectionPool pool) {
        pool.dialling++;
        bootstrap.connect(pool.address).addListener((io.netty.channel.ChannelFuture done) -> {
            pool.dialling--;
            if (done.isSuccess()) {
                up(pool, done.channel());
            } else {
                counters.undialled++;
                down(pool);
            }
            forgetIfEmpty(pool);
        });
    }

    private void up(HostConnectionPool pool, Channel channel) {
        counters.dialled++;
        pool.unborn = false;
        HostConnection line = new HostConnection(this, pool);
        channel.pipeline().addLast(line.decoder, line);
        pool.lines.add(line);
        tell(pool, true);
        if (pool.gone && pool.waiting.isEmpty()) {
            line.close();
        } else {
            idle(line);
        }
        dial(pool);
    }

    private void down(HostConnectionPool pool) {
        tell(pool, false);
        HostCall refused = null;
        boolean booting = false;
        for (Iterator<HostCall> errands = pool.waiting.iterator(); errands.hasNext(); ) {
            HostCall hostCall = errands.next();
            if (hostCall.booting() && !pool.gone) {
                booting = true;
            } else if (refused == null) {
                refused = hostCall;
                errands.remove();
            }
        }
        if (booting && pool.retry == null) {
            pool.unborn = true;
            pool.retry = machine.loop()
                    .schedule(
                            () -> {
                                pool.retry = null;
                                dial(pool);
                                forgetIfEmpty(pool);
                            },
                            BOOTING_MS,
                            TimeUnit.MILLISECONDS);
        }
        if (refused != null) {
            refused.unreached();
        }
        if (!booting) {
            pool.unborn = false;
            dial(pool);
        }
    }

    private static void tell(HostConnectionPool pool, boolean up) {
        if (!pool.knocks.isEmpty()) {
            List<Consumer<Boolean>> told = List.copyOf(pool.knocks);
            pool.knocks.clear();
            told.forEach(knock -> knock.accept(up));
        }
    }

    /** A connection is free: for who waits, or for later. */
    void idle(HostConnection line) {
        HostCall next = next(line);
        if (next != null) {
            line.begin(next);
            return;
        }
        if (!line.pool.waiting.isEmpty()) {
            // All that wait have been here before: room for another.
            line.close();
            return;
        }
        line.idleSince = now();
        line.pool.idle.add(line);
        if (!sweeping) {
            sweeping = true;
            machine.loop().schedule(this::sweep, SWEEP_MS, TimeUnit.MILLISECONDS);
        }
    }

    private HostCall next(HostConnection line) {
        for (HostCall hostCall : List.copyOf(line.pool.waiting)) {
            if (!hostCall.met(line) && line.pool.waiting.remove(hostCall) && hostCall.wanted()) {
                return hostCall;
            }
        }
        return null;
    }

    void closed(HostConnection line) {
        line.pool.lines.remove(line);
        line.pool.idle.remove(line);
        dial(line.pool);
        forgetIfEmpty(line.pool);
    }

    private void forgetIfEmpty(HostConnectionPool pool) {
        if (pool.empty()) {
            pools.remove(pool.id, pool);
        }
    }

    private void sweep() {
        sweeping = false;
        long now = now();
        List<HostConnection> stale = new ArrayList<>();
        boolean more = false;
        for (HostConnectionPool pool : pools.values()) {
            for (HostConnection line : pool.idle) {
                if (line.stale(now)) {
                    stale.add(line);
                } else {
                    more = true;
                }
            }
        }
        stale.forEach(HostConnection::close);
        if (more) {
            sweeping = true;
            machine.loop().schedule(this::sweep, SWEEP_MS, TimeUnit.MILLISECONDS);
        }
    }

    /** This host is gone, or leaves: what is under way ends, nothing else is kept. */
    public void gone(String host) {
        HostConnectionPool pool = pools.get(host);
        if (pool != null) {
            pool.gone = true;
            List.copyOf(pool.lines).forEach(HostConnection::retire);
        }
    }

    /** Connections open now. */
    public int open() {
        int open = 0;
        for (HostConnectionPool pool : pools.values()) {
            open += pool.lines.size();
        }
        return open;
    }
}
