package brambletray.common.simulation;

import io.netty.channel.EventLoop;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * A network between simulated machines that does to TCP what real ones do: it takes time, refuses, goes
 * silent, resets, and cuts a connection after any byte. One thread.
 *
 * <p>What is modelled: bytes arrive in order and once, late by the way's latency; a receiver that does not
 * read stops its sender at {@link #window}; FIN and RST travel behind the bytes sent before them. What is
 * not: single losses, congestion, MTU beyond {@link #segment}. A cut direction holds bytes up, as
 * retransmission does, until it is joined or the sender gives the connection up. Links carry any amount
 * at once unless a {@link #rate} is set.
 */
public final class SimNetwork {
    /** What a cut direction holds up. */
    private record Held(SimChannel from, SimChannel to, int bytes, Runnable arrival) {}

    private final Set<InetAddress> muted = new HashSet<>();
    private final Map<List<InetAddress>, List<Held>> cutWays = new HashMap<>();
    private final Map<Integer, long[]> patience = new HashMap<>();
    private Consumer<InetAddress> whenSent = machine -> {};
    /** Bytes that may be on the way or unread in one direction of a connection, where nothing else is set. */
    static final int WINDOW = 64 * 1024;
    /** ns; between the pieces of what was cut, at most. */
    private static final long GAP = TimeUnit.MILLISECONDS.toNanos(3);
    /** Kinds of events in the trace. */
    static final int SYN = 1;

    static final int ACCEPTED = 2;
    static final int REFUSED = 3;
    static final int DATA = 4;
    static final int FIN = 5;
    static final int RST = 6;

    /** How long the way takes between two machines; {@code jitter}: up to this share longer, at random. */
    public record Way(long nanos, double jitter) {}

    private final Simulation simulation;
    private final SplittableRandom random;
    /** Several on one address where all of them share it. */
    private final Map<InetSocketAddress, List<SimServerChannel>> listeners = new HashMap<>();

    private final Map<List<InetAddress>, Way> ways = new HashMap<>();
    /** Bytes a second that a machine's link carries each way, and until when either is taken (ticker, ns). */
    private final Map<InetAddress, Long> rates = new HashMap<>();

    private final Map<InetAddress, Long> sending = new HashMap<>();
    private final Map<InetAddress, Long> receiving = new HashMap<>();
    private final Set<InetAddress> vanished = new LinkedHashSet<>();
    private final Set<SimChannel> open = new LinkedHashSet<>();
    private Way usual = new Way(0, 0);
    private BiConsumer<SimChannel, SimChannel> whenConnected = (client, server) -> {};
    private int segment = WINDOW;
    private int window = WINDOW;
    private double cutShare;
    private SplittableRandom cuts;
    private int nextPort = 32_768;
    private int nextId;

    SimNetwork(Simulation simulation, SplittableRandom random) {
        this.simulation = simulation;
        this.random = random;
    }

    /** The way between machines for which none of their own is set. */
    public void usual(Way way) {
        usual = way;
    }

    /** The way from one machine to another, in this direction. */
    public void way(InetAddress from, InetAddress to, Way way) {
        ways.put(List.of(from, to), way);
    }

    /** A machine's link carries so many bytes a second each way; all its connections share it in turn. */
    public void rate(InetAddress machine, long bytesPerSecond) {
        rates.put(machine, bytesPerSecond);
    }

    /** When so many bytes have passed a link that they reach at that time. */
    private long passed(InetAddress machine, Map<InetAddress, Long> taken, long at, int bytes) {
        Long rate = rates.get(machine);
        if (rate == null) {
            return at;
        }
        long end = Math.max(at, taken.getOrDefault(machine, at)) + TimeUnit.SECONDS.toNanos(bytes) / rate;
        taken.put(machine, end);
        return end;
    }

    /** Bytes on the way or unread in one direction of a connection at most: beyond, writes are partial. */
    public void window(int bytes) {
        window = bytes;
    }

    int window() {
        return window;
    }

    /** Bytes at most that arrive in one piece; 1 brings every byte by itself. */
    public void segment(int most) {
        segment = most;
    }

    /**
     * Cuts streams at seeded places: so large a share of what is written arrives in two pieces or more, some
     * of a single byte, with up to {@link #GAP} between them. The bytes and their order stay the same.
     */
    public void cutStreams(double share, long seed) {
        cutShare = share;
        cuts = new SplittableRandom(seed);
    }

    /** Of so many bytes, how many arrive in one piece. */
    int piece(int bytes) {
        int most = Math.min(bytes, segment);
        if (most < 2 || cutShare == 0 || cuts.nextDouble() >= cutShare) {
            return most;
        }
        return cuts.nextInt(4) == 0 ? 1 : 1 + cuts.nextInt(most - 1);
    }

    /** How much later the piece behind a cut arrives; ns. */
    long gap() {
        return cuts == null ? 0 : cuts.nextLong(GAP);
    }

    /**
     * Told of each new connection (the client's end, the server's end) before any byte has passed: the
     * place to arm {@link SimChannel#cutAfter}.
     */
    public void whenConnected(BiConsumer<SimChannel, SimChannel> listener) {
        whenConnected = listener;
    }

    /**
     * Nothing more goes out from this machine, from this very instruction on: its process is about to be
     * killed at the end of this instant.
     */
    public void mute(InetAddress machine) {
        muted.add(machine);
    }

    /** The machine's next process may send. */
    public void unmute(InetAddress machine) {
        muted.remove(machine);
    }

    boolean muted(InetAddress machine) {
        return muted.contains(machine);
    }

    /** Told after each piece of data that a machine has put on the way. */
    public void whenSent(Consumer<InetAddress> listener) {
        whenSent = listener;
    }

    void sent(InetAddress machine) {
        whenSent.accept(machine);
    }

    /** The machine is gone without a word: open connections stay silent, new ones never come up. */
    public void vanish(InetAddress machine) {
        vanished.add(machine);
        for (SimChannel channel : open) {
            if (machine.equals(channel.away())) {
                stalled(channel, true);
            }
        }
    }

    /** It is back: what was open there is reset, new connections come up. */
    public void comeBack(InetAddress machine) {
        vanished.remove(machine);
        for (SimChannel channel : List.copyOf(open)) {
            if (channel.home().equals(machine)) {
                channel.breakBoth();
            } else if (machine.equals(channel.away()) && channel.stalled != 0) {
                channel.stalled = 0;
                channel.loop().execute(channel::reset);
            }
        }
    }

    /** Nothing passes in this direction, until {@link #join}; connections do not come up in either. */
    public void cut(InetAddress from, InetAddress to) {
        cutWays.putIfAbsent(List.of(from, to), new ArrayList<>());
        for (SimChannel channel : open) {
            if (between(channel, from, to)) {
                stalled(channel, true);
            }
        }
    }

    /** What was held up and whose sender has not given up arrives, in order. */
    public void join(InetAddress from, InetAddress to) {
        List<Held> held = cutWays.remove(List.of(from, to));
        if (held == null) {
            return;
        }
        if (!cutEither(from, to)) {
            for (SimChannel channel : open) {
                if (between(channel, from, to)) {
                    channel.stalled = 0;
                }
            }
        }
        for (Held one : held) {
            if (!one.from().aborted) {
                carry(one.from(), one.to(), one.bytes(), one.arrival());
            }
        }
    }

    /**
     * Connections to this port probe one another: an end gives its connection up when bytes have been
     * unanswered for {@code nanos} or
     * when it was idle for {@code idle} before that, as TCP_USER_TIMEOUT and keep-alive probes make it.
     */
    public void patience(int port, long nanos, long idle) {
        patience.put(port, new long[] {nanos, idle});
    }

    private static boolean between(SimChannel channel, InetAddress one, InetAddress other) {
        InetAddress home = channel.home();
        InetAddress away = channel.away();
        return home.equals(one) && other.equals(away) || home.equals(other) && one.equals(away);
    }

    boolean cutEither(InetAddress one, InetAddress other) {
        return !cutWays.isEmpty()
                && (cutWays.containsKey(List.of(one, other)) || cutWays.containsKey(List.of(other, one)));
    }

    /** Nothing that this end sends is answered from now on; {@code idle}: it has sent nothing yet. */
    void stalled(SimChannel channel, boolean idle) {
        long[] bounds = patience.getOrDefault(channel.port(), patience.get(channel.awayPort()));
        if (bounds == null || channel.stalled != 0 && idle) {
            return;
        }
        long since = simulation.clock().nanos();
        long until = since + bounds[0] + (idle ? bounds[1] : 0);
        if (channel.stalled != 0 && channel.stalled <= until) {
            return;
        }
        channel.stalled = until;
        channel.loop()
                .schedule(
                        () -> {
                            if (channel.stalled == until) {
                                channel.giveUp();
                            }
                        },
                        until - since,
                        TimeUnit.NANOSECONDS);
    }

    boolean silent(InetAddress one, InetAddress other) {
        return vanished.contains(one) || vanished.contains(other);
    }

    /** Open ends of connections, both ends counted. */
    public int openEnds() {
        return open.size();
    }

    void opened(SimChannel channel) {
        open.add(channel);
    }

    void closed(SimChannel channel) {
        open.remove(channel);
    }

    int nextId() {
        return ++nextId;
    }

    /** Ephemeral ports are handed out in turn. */
    InetSocketAddress ephemeral(InetAddress machine) {
        nextPort = nextPort >= 60_999 ? 32_768 : nextPort + 1;
        return new InetSocketAddress(machine, nextPort);
    }

    void bind(InetSocketAddress address, SimServerChannel listener) throws ConnectException {
        List<SimServerChannel> there = listeners.computeIfAbsent(address, a -> new ArrayList<>());
        if (!there.stream().allMatch(other -> other.shared() && listener.shared())) {
            throw new ConnectException("Address already in use: " + address);
        }
        there.add(listener);
    }

    void unbind(InetSocketAddress address, SimServerChannel listener) {
        List<SimServerChannel> there = listeners.getOrDefault(address, List.of());
        if (there.remove(listener) && there.isEmpty()) {
            listeners.remove(address);
        }
    }

    /** A port of this machine on which nothing listens. */
    InetSocketAddress free(InetSocketAddress wanted) {
        InetSocketAddress address = wanted;
        while (address.getPort() == 0 || wanted.getPort() == 0 && listeners.containsKey(address)) {
            address = ephemeral(wanted.getAddress());
        }
        return address;
    }

    private long latency(InetAddress from, InetAddress to) {
        Way way = ways.getOrDefault(List.of(from, to), usual);
        return way.nanos() + (way.jitter() > 0 ? (long) (way.nanos() * way.jitter() * random.nextDouble()) : 0);
    }

    /** Does something at the other end, after the way there; what one end sends arrives in order. */
    void carry(SimChannel from, SimChannel to, Runnable arrival) {
        carry(from, to, 0, arrival);
    }

    /** The same with so many bytes, for which links of bounded rate take their time. */
    void carry(SimChannel from, SimChannel to, int bytes, Runnable arrival) {
        List<Held> held = cutWays.isEmpty() ? null : cutWays.get(List.of(from.home(), to.home()));
        if (held != null) {
            held.add(new Held(from, to, bytes, arrival));
            return;
        }
        long now = simulation.clock().nanos();
        long there = passed(from.home(), sending, now, bytes) + latency(from.home(), to.home());
        long at = Math.max(to.lastArrival, passed(to.home(), receiving, there, bytes));
        to.lastArrival = at;
        ((SimLoop) to.loop()).arrive(at, arrival);
    }

    /** Brings a connection up, or refuses it; a machine that has vanished does neither. */
    void connect(SimChannel client, InetSocketAddress to) {
        long there = latency(client.home(), to.getAddress());
        simulation.note(SYN, client.number(), to.getPort(), new byte[0]);
        client.eventLoop().schedule(() -> arrived(client, to), there, TimeUnit.NANOSECONDS);
    }

    private void arrived(SimChannel client, InetSocketAddress to) {
        if (!client.isOpen() || silent(client.home(), to.getAddress()) || cutEither(client.home(), to.getAddress())) {
            return;
        }
        long back = latency(to.getAddress(), client.home());
        List<SimServerChannel> there = listeners.getOrDefault(to, List.of());
        // As a system does: by a hash of the connection, so that each of several gets its part.
        SimServerChannel listener = there.isEmpty() ? null : there.get((int) (client.number() % there.size()));
        if (listener == null) {
            simulation.note(REFUSED, client.number(), to.getPort(), new byte[0]);
            client.eventLoop()
                    .schedule(
                            () -> client.refused(new ConnectException("Connection refused: " + to)),
                            back,
                            TimeUnit.NANOSECONDS);
            return;
        }
        SimChannel server = new SimChannel(this, listener, client, to);
        simulation.note(ACCEPTED, client.number(), server.number(), new byte[0]);
        client.join(server);
        opened(client);
        opened(server);
        whenConnected.accept(client, server);
        client.lastArrival = simulation.clock().nanos() + back;
        listener.accept(server, () -> client.eventLoop().schedule(client::established, back, TimeUnit.NANOSECONDS));
    }

    void note(int kind, SimChannel from, SimChannel to, byte[] bytes) {
        simulation.note(kind, from.number(), to.number(), bytes);
    }

    /** The process behind a loop has been killed. */
    void resetAll(EventLoop loop) {
        listeners.values().forEach(there -> there.removeIf(listener -> listener.eventLoop() == loop));
        listeners.values().removeIf(List::isEmpty);
        for (SimChannel channel : List.copyOf(open)) {
            if (channel.loop() == loop) {
                closed(channel);
                channel.dead();
            }
        }
    }

    /** Ends of connections whose home is this machine, in the order in which they were opened. */
    public List<SimChannel> at(InetAddress machine) {
        List<SimChannel> there = new ArrayList<>();
        for (SimChannel channel : open) {
            if (channel.home().equals(machine)) {
                there.add(channel);
            }
        }
        return there;
    }
}
