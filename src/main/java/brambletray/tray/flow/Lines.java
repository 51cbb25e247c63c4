package brambletray.tray.flow;

import brambletray.runtime.Machine;
import brambletray.tray.berth.Address;
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
public final class Lines {
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

    final Tally tally;
    private final Murmur murmur = new Murmur();
    /** ms; for connections whose host has not said how long it keeps them. */
    final int idleMs;

    private final Machine machine;
    private final Bootstrap bootstrap;
    private final Map<String, HostPool> pools = new HashMap<>();
    private boolean sweeping;

    /** {@code idleMs}: how long idle connections are kept whose host has not said, ms. */
    public Lines(Machine machine, int idleMs, Tally tally) {
        this.machine = machine;
        this.idleMs = idleMs;
        this.tally = tally;
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
    void send(Errand errand) {
        if (!errand.wanted()) {
            return;
        }
        HostPool pool = pool(errand.host(), errand.address());
        HostConnection line = pool.waiting.isEmpty() ? take(pool, errand) : null;
        if (line != null) {
            line.begin(errand);
        } else {
            if (!pool.idle.isEmpty() && pool.lines.size() + pool.dialling >= errand.mostLines()) {
                // Guards against waiting for room that only connections not good enough take up.
                pool.idle.poll().close();
            }
            pool.waiting.add(errand);
            dial(pool);
        }
    }

    /** A host's bytes were no answer. */
    void broken(Errand errand, String why) {
        murmur.tell(now(), "broken", "host", errand.host(), "id", errand.id(), "why", why);
    }

    /** Takes back one that is waiting for a connection. */
    void withdraw(Errand errand) {
        HostPool pool = pools.get(errand.host());
        if (pool != null) {
            pool.waiting.remove(errand);
            forgetIfEmpty(pool);
        }
    }

    /** Not a byte of it went out on a kept connection that turned out closed. */
    void stale(Errand errand) {
        tally.stale++;
        errand.down();
        send(errand);
    }

    private HostConnection take(HostPool pool, Errand errand) {
        long now = now();
        HostConnection newest = null;
        for (Iterator<HostConnection> lines = pool.idle.descendingIterator(); lines.hasNext(); ) {
            HostConnection line = lines.next();
            if (line.usable(now, errand.careful()) && !errand.met(line)) {
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

    private HostPool pool(String host, String address) {
        HostPool pool = pools.get(host);
        if (pool == null) {
            Address to = Address.parse(address);
            pool = new HostPool(host, new InetSocketAddress(to.host(), to.port()));
            pools.put(host, pool);
        }
        return pool;
    }

    // ---- Connections ----------------------------------------------------------------------------
    /**
     * Tells whether a host takes connections; where one comes up, it is kept for the next request.
     */
    public void knock(String host, String address, Consumer<Boolean> up) {
        HostPool pool = pool(host, address);
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
    private void dial(HostPool pool) {
        int wanted = pool.unborn ? Math.min(1, pool.waiting.size()) : pool.waiting.size();
        while (pool.dialling < wanted
                && pool.retry == null
                && pool.lines.size() + pool.dialling < pool.waiting.peek().mostLines()) {
            connect(pool);
        }
    }

    private void connect(HostPool pool) {
        pool.dialling++;
        bootstrap.connect(pool.address).addListener((io.netty.channel.ChannelFuture done) -> {
            pool.dialling--;
            if (done.isSuccess()) {
                up(pool, done.channel());
            } else {
                tally.undialled++;
                down(pool);
            }
            forgetIfEmpty(pool);
        });
    }

    private void up(HostPool pool, Channel channel) {
        tally.dialled++;
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

    private void down(HostPool pool) {
        tell(pool, false);
        Errand refused = null;
        boolean booting = false;
        for (Iterator<Errand> errands = pool.waiting.iterator(); errands.hasNext(); ) {
            Errand errand = errands.next();
            if (errand.booting() && !pool.gone) {
                booting = true;
            } else if (refused == null) {
                refused = errand;
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

    private static void tell(HostPool pool, boolean up) {
        if (!pool.knocks.isEmpty()) {
            List<Consumer<Boolean>> told = List.copyOf(pool.knocks);
            pool.knocks.clear();
            told.forEach(knock -> knock.accept(up));
        }
    }

    /** A connection is free: for who waits, or for later. */
    void idle(HostConnection line) {
        Errand next = next(line);
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

    private Errand next(HostConnection line) {
        for (Errand errand : List.copyOf(line.pool.waiting)) {
            if (!errand.met(line) && line.pool.waiting.remove(errand) && errand.wanted()) {
                return errand;
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

    private void forgetIfEmpty(HostPool pool) {
        if (pool.empty()) {
            pools.remove(pool.id, pool);
        }
    }

    private void sweep() {
        sweeping = false;
        long now = now();
        List<HostConnection> stale = new ArrayList<>();
        boolean more = false;
        for (HostPool pool : pools.values()) {
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
        HostPool pool = pools.get(host);
        if (pool != null) {
            pool.gone = true;
            List.copyOf(pool.lines).forEach(HostConnection::retire);
        }
    }

    /** Connections open now. */
    public int open() {
        int open = 0;
        for (HostPool pool : pools.values()) {
            open += pool.lines.size();
        }
        return open;
    }
}
