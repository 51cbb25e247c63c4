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
    private static final int CONNECT_MS = 300, BOOTING_MS = 40, SWEEP_MS = 500;
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
    private final Map<String, Sheaf> sheaves = new HashMap<>();
    private boolean sweeping;

    /** {@code idleMs}: how long idle connections are kept whose host has not said, ms. */
    public Lines(Machine machine, int idleMs, Tally tally) {
        this.machine = machine;
        this.idleMs = idleMs;
        this.tally = tally;
        this.bootstrap = machine.dialling(CONNECT_MS, new ChannelInitializer<Channel>() {
            @Override
            protected void initChannel(Channel channel) {
                // Its line comes with its sheaf, once it is up.
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
        Sheaf sheaf = sheaf(errand.host(), errand.address());
        Line line = sheaf.waiting.isEmpty() ? take(sheaf, errand) : null;
        if (line != null) {
            line.begin(errand);
        } else {
            if (!sheaf.idle.isEmpty() && sheaf.lines.size() + sheaf.dialling >= errand.mostLines()) {
                // Guards against waiting for room that only connections not good enough take up.
                sheaf.idle.poll().close();
            }
            sheaf.waiting.add(errand);
            dial(sheaf);
        }
    }

    /** A host's bytes were no answer. */
    void broken(Errand errand, String why) {
        murmur.tell(now(), "broken", "host", errand.host(), "id", errand.id(), "why", why);
    }

    /** Takes back one that is waiting for a connection. */
    void withdraw(Errand errand) {
        Sheaf sheaf = sheaves.get(errand.host());
        if (sheaf != null) {
            sheaf.waiting.remove(errand);
            forgetIfEmpty(sheaf);
        }
    }

    /** Not a byte of it went out on a kept connection that turned out closed. */
    void stale(Errand errand) {
        tally.stale++;
        errand.down();
        send(errand);
    }

    private Line take(Sheaf sheaf, Errand errand) {
        long now = now();
        Line newest = null;
        for (Iterator<Line> lines = sheaf.idle.descendingIterator(); lines.hasNext();) {
            Line line = lines.next();
            if (line.usable(now, errand.careful()) && !errand.met(line)) {
                if (now - line.idleSince >= REST_MS) {
                    lines.remove();
                    return line;
                }
                newest = newest == null ? line : newest;
            }
        }
        if (newest != null) {
            sheaf.idle.remove(newest);
        }
        return newest;
    }

    private Sheaf sheaf(String host, String address) {
        Sheaf sheaf = sheaves.get(host);
        if (sheaf == null) {
            Address to = Address.parse(address);
            sheaf = new Sheaf(host, new InetSocketAddress(to.host(), to.port()));
            sheaves.put(host, sheaf);
        }
        return sheaf;
    }

    // ---- Connections ----------------------------------------------------------------------------
    /**
     * Tells whether a host takes connections; where one comes up, it is kept for the next request.
     */
    public void knock(String host, String address, Consumer<Boolean> up) {
        Sheaf sheaf = sheaf(host, address);
        Line last = sheaf.idle.peekLast();
        if (last != null && last.open() && now() - last.idleSince < FRESH_MS) {
            machine.loop().execute(() -> up.accept(true));
            return;
        }
        sheaf.knocks.add(up);
        if (sheaf.dialling == 0) {
            connect(sheaf);
        }
    }

    /** One for each that waits, within the bound; one at a time where the host has refused so far. */
    private void dial(Sheaf sheaf) {
        int wanted = sheaf.unborn ? Math.min(1, sheaf.waiting.size()) : sheaf.waiting.size();
        while (sheaf.dialling < wanted && sheaf.retry == null
            && sheaf.lines.size() + sheaf.dialling < sheaf.waiting.peek().mostLines()) {
            connect(sheaf);
        }
    }

    private void connect(Sheaf sheaf) {
        sheaf.dialling++;
        bootstrap.connect(sheaf.address).addListener((io.netty.channel.ChannelFuture done) -> {
            sheaf.dialling--;
            if (done.isSuccess()) {
                up(sheaf, done.channel());
            } else {
                tally.undialled++;
                down(sheaf);
            }
            forgetIfEmpty(sheaf);
        });
    }

    private void up(Sheaf sheaf, Channel channel) {
        tally.dialled++;
        sheaf.unborn = false;
        Line line = new Line(this, sheaf);
        channel.pipeline().addLast(line.decoder, line);
        sheaf.lines.add(line);
        tell(sheaf, true);
        if (sheaf.gone && sheaf.waiting.isEmpty()) {
            line.close();
        } else {
            idle(line);
        }
        dial(sheaf);
    }

    private void down(Sheaf sheaf) {
        tell(sheaf, false);
        Errand refused = null;
        boolean booting = false;
        for (Iterator<Errand> errands = sheaf.waiting.iterator(); errands.hasNext();) {
            Errand errand = errands.next();
            if (errand.booting() && !sheaf.gone) {
                booting = true;
            } else if (refused == null) {
                refused = errand;
                errands.remove();
            }
        }
        if (booting && sheaf.retry == null) {
            sheaf.unborn = true;
            sheaf.retry = machine.loop().schedule(() -> {
                sheaf.retry = null;
                dial(sheaf);
                forgetIfEmpty(sheaf);
            }, BOOTING_MS, TimeUnit.MILLISECONDS);
        }
        if (refused != null) {
            refused.unreached();
        }
        if (!booting) {
            sheaf.unborn = false;
            dial(sheaf);
        }
    }

    private static void tell(Sheaf sheaf, boolean up) {
        if (!sheaf.knocks.isEmpty()) {
            List<Consumer<Boolean>> told = List.copyOf(sheaf.knocks);
            sheaf.knocks.clear();
            told.forEach(knock -> knock.accept(up));
        }
    }

    /** A connection is free: for who waits, or for later. */
    void idle(Line line) {
        Errand next = next(line);
        if (next != null) {
            line.begin(next);
            return;
        }
        if (!line.sheaf.waiting.isEmpty()) {
            // All that wait have been here before: room for another.
            line.close();
            return;
        }
        line.idleSince = now();
        line.sheaf.idle.add(line);
        if (!sweeping) {
            sweeping = true;
            machine.loop().schedule(this::sweep, SWEEP_MS, TimeUnit.MILLISECONDS);
        }
    }

    private Errand next(Line line) {
        for (Errand errand : List.copyOf(line.sheaf.waiting)) {
            if (!errand.met(line) && line.sheaf.waiting.remove(errand) && errand.wanted()) {
                return errand;
            }
        }
        return null;
    }

    void closed(Line line) {
        line.sheaf.lines.remove(line);
        line.sheaf.idle.remove(line);
        dial(line.sheaf);
        forgetIfEmpty(line.sheaf);
    }

    private void forgetIfEmpty(Sheaf sheaf) {
        if (sheaf.empty()) {
            sheaves.remove(sheaf.id, sheaf);
        }
    }

    private void sweep() {
        sweeping = false;
        long now = now();
        List<Line> stale = new ArrayList<>();
        boolean more = false;
        for (Sheaf sheaf : sheaves.values()) {
            for (Line line : sheaf.idle) {
                if (line.stale(now)) {
                    stale.add(line);
                } else {
                    more = true;
                }
            }
        }
        stale.forEach(Line::close);
        if (more) {
            sweeping = true;
            machine.loop().schedule(this::sweep, SWEEP_MS, TimeUnit.MILLISECONDS);
        }
    }

    /** This host is gone, or leaves: what is under way ends, nothing else is kept. */
    public void gone(String host) {
        Sheaf sheaf = sheaves.get(host);
        if (sheaf != null) {
            sheaf.gone = true;
            List.copyOf(sheaf.lines).forEach(Line::retire);
        }
    }

    /** Connections open now. */
    public int open() {
        int open = 0;
        for (Sheaf sheaf : sheaves.values()) {
            open += sheaf.lines.size();
        }
        return open;
    }
}
