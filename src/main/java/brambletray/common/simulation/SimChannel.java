package brambletray.common.simulation;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.AbstractChannel;
import io.netty.channel.ChannelConfig;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelId;
import io.netty.channel.ChannelMetadata;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.ChannelPromise;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.DuplexChannel;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.net.SocketException;
import java.nio.channels.ClosedChannelException;
import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;

/** One end of a simulated TCP connection. */
public final class SimChannel extends AbstractChannel implements DuplexChannel {
    private static final ChannelMetadata METADATA = new ChannelMetadata(false, 16);

    /** Ids in the order of making: real ones are random, and differ from run to run. */
    private record Id(int number) implements ChannelId {
        private static final long serialVersionUID = 1L;

        @Override
        public String asShortText() {
            return "sim-" + number;
        }

        @Override
        public String asLongText() {
            return asShortText();
        }

        @Override
        public int compareTo(ChannelId other) {
            return other instanceof Id id
                    ? Integer.compare(number, id.number)
                    : asLongText().compareTo(other.asLongText());
        }
    }

    private enum State {
        NEW,
        CONNECTING,
        UP,
        CLOSED
    }

    private final SimNetwork network;
    private final InetAddress home;
    /** That took it in, or null. */
    private final SimServerChannel listener;

    private final SimConfig config = new SimConfig(this);
    private final ArrayDeque<byte[]> inbox = new ArrayDeque<>();
    private InetSocketAddress local;
    private InetSocketAddress remote;
    private SimChannel peer;
    private State state = State.NEW;
    private ChannelPromise connecting;
    private Future<?> connectTimer;
    private boolean readPending;
    private boolean finArrived;
    private boolean finSent;
    private boolean inputShut;
    /** Bytes sent and not yet read at the other end. */
    private int onTheWay;
    /** Bytes that still pass before the connection is cut; -1: no cut. */
    private long cut = -1;
    /** When the last thing sent to this end arrives; on the ticker, ns. */
    long lastArrival;
    /** When this end gives up, as nothing is answered; on the ticker, ns; 0: all is well. */
    long stalled;
    /** What this end has sent and has not arrived is lost. */
    boolean aborted;

    /** A client's end, not yet connected. */
    SimChannel(SimNetwork network, InetAddress home) {
        super(null, new Id(network.nextId()));
        this.network = network;
        this.listener = null;
        this.home = home;
    }

    /** A server's end of a connection that has come up. */
    SimChannel(SimNetwork network, SimServerChannel listener, SimChannel client, InetSocketAddress local) {
        super(listener, new Id(network.nextId()));
        this.network = network;
        this.listener = listener;
        this.home = local.getAddress();
        this.local = local;
        this.remote = client.local;
        this.peer = client;
        this.state = State.UP;
    }

    InetAddress home() {
        return home;
    }

    long number() {
        return ((Id) id()).number();
    }

    /** Its event loop, or the one that it will have: a frozen machine takes connections in later. */
    EventLoop loop() {
        return isRegistered() || listener == null ? eventLoop() : listener.eventLoop();
    }

    /** The other machine, or null. */
    InetAddress away() {
        return remote == null ? null : remote.getAddress();
    }

    int port() {
        return local == null ? 0 : local.getPort();
    }

    int awayPort() {
        return remote == null ? 0 : remote.getPort();
    }

    void join(SimChannel server) {
        peer = server;
    }

    /** Cuts the connection, by a reset at both ends, when so many more bytes have left this end. */
    public void cutAfter(long bytes) {
        cut = bytes;
    }

    /** Cuts the connection now, by a reset at both ends. */
    public void breakBoth() {
        SimChannel other = peer;
        reset();
        if (other != null) {
            other.reset();
        }
    }

    // ---- Connecting -----------------------------------------------------------------------------
    private final class Unsafe extends AbstractUnsafe {
        @Override
        public void connect(SocketAddress to, SocketAddress from, ChannelPromise promise) {
            if (!promise.setUncancellable() || !ensureOpen(promise)) {
                return;
            }
            remote = (InetSocketAddress) to;
            local = network.ephemeral(home);
            state = State.CONNECTING;
            connecting = promise;
            int timeout = config.getConnectTimeoutMillis();
            if (timeout > 0) {
                connectTimer = eventLoop()
                        .schedule(
                                () -> refused(new ConnectTimeoutException(
                                        "connection timed out after " + timeout + " ms: " + to)),
                                timeout,
                                TimeUnit.MILLISECONDS);
            }
            network.connect(SimChannel.this, remote);
        }

        /** Writes on what was flushed and had no room. */
        void resume() {
            flush0();
        }

        void closeNow() {
            close(voidPromise());
        }
    }

    /** The connection has come up at the other end, and word of it is here. */
    void established() {
        if (state != State.CONNECTING) {
            return;
        }
        state = State.UP;
        connectTimer.cancel(false);
        ChannelPromise promise = connecting;
        connecting = null;
        promise.trySuccess();
        pipeline().fireChannelActive();
        arrivedEarly();
    }

    private void arrivedEarly() {
        if (readPending) {
            drain();
        }
    }

    void refused(Throwable cause) {
        if (state == State.CONNECTING && connecting != null) {
            ChannelPromise promise = connecting;
            connecting = null;
            promise.tryFailure(cause);
            ((Unsafe) unsafe()).closeNow();
        }
    }

    // ---- Bytes ----------------------------------------------------------------------------------
    @Override
    protected void doWrite(ChannelOutboundBuffer out) throws Exception {
        if (state != State.UP) {
            throw new ClosedChannelException();
        }
        while (onTheWay < network.window() && out.current() instanceof ByteBuf bytes) {
            int most = Math.min(bytes.readableBytes(), network.window() - onTheWay);
            int size = network.piece(most);
            byte[] piece = new byte[size];
            bytes.getBytes(bytes.readerIndex(), piece);
            if (size > 0) {
                transmit(piece);
            }
            if (size < most && peer != null) {
                peer.lastArrival += network.gap();
            }
            out.removeBytes(size);
            if (size == 0 && out.current() == bytes) {
                out.remove();
            }
            if (state != State.UP) {
                return;
            }
        }
    }

    private void transmit(byte[] piece) {
        if (network.muted(home)) {
            onTheWay += piece.length;
            return;
        }
        byte[] passing = piece;
        boolean cutNow = cut >= 0 && piece.length >= cut;
        if (cutNow) {
            passing = java.util.Arrays.copyOf(piece, (int) cut);
        } else if (cut >= 0) {
            cut -= piece.length;
        }
        onTheWay += piece.length;
        if (network.cutEither(home, remote.getAddress()) || network.silent(home, remote.getAddress())) {
            network.stalled(this, false);
        }
        if (passing.length > 0 && !network.silent(home, remote.getAddress())) {
            byte[] sent = passing;
            network.carry(this, peer, sent.length, () -> peer.arrived(sent));
            network.sent(home);
        }
        if (cutNow) {
            cut = -1;
            SimChannel other = peer;
            // Behind the bytes that still passed, and never inside the write that is going on.
            network.carry(this, other, other::reset);
            network.carry(other, this, this::reset);
        }
    }

    private void arrived(byte[] bytes) {
        if (network.silent(home, remote.getAddress())) {
            return;
        }
        if (state == State.CLOSED) {
            // What comes for a connection that is closed is answered by a reset.
            network.carry(this, peer, peer::reset);
            return;
        }
        network.note(SimNetwork.DATA, peer, this, bytes);
        inbox.add(bytes);
        if (readPending && state == State.UP) {
            drain();
        }
    }

    private void drain() {
        if (inbox.isEmpty() && !finArrived) {
            return;
        }
        readPending = false;
        int read = 0;
        for (byte[] bytes = inbox.poll(); bytes != null; bytes = inbox.poll()) {
            read += bytes.length;
            pipeline().fireChannelRead(Unpooled.wrappedBuffer(bytes));
            if (state != State.UP) {
                return;
            }
        }
        if (read > 0) {
            int consumed = read;
            network.carry(this, peer, () -> peer.consumed(consumed));
            pipeline().fireChannelReadComplete();
        }
        if (finArrived && inbox.isEmpty() && state == State.UP && !inputShut) {
            inputShut = true;
            ((Unsafe) unsafe()).closeNow();
        }
    }

    /** The other end has read so much: room for more. */
    private void consumed(int bytes) {
        onTheWay -= bytes;
        if (state == State.UP) {
            ((Unsafe) unsafe()).resume();
        }
    }

    @Override
    protected void doBeginRead() {
        readPending = true;
        if (state == State.UP && (!inbox.isEmpty() || finArrived)) {
            eventLoop().execute(() -> {
                if (readPending && state == State.UP) {
                    drain();
                }
            });
        }
    }

    // ---- Ends -----------------------------------------------------------------------------------
    private void fin() {
        if (!finSent && peer != null) {
            finSent = true;
            if (!network.silent(home, remote.getAddress())) {
                network.carry(this, peer, () -> peer.finished());
            }
        }
    }

    private void finished() {
        if (state == State.CLOSED || network.silent(home, remote.getAddress())) {
            return;
        }
        network.note(SimNetwork.FIN, peer, this, new byte[0]);
        finArrived = true;
        if (readPending && state == State.UP) {
            drain();
        }
    }

    /** The connection is given up at this end, and the other cannot be told. */
    void giveUp() {
        aborted = true;
        finSent = true;
        inbox.clear();
        if (state == State.UP && isRegistered()) {
            pipeline().fireExceptionCaught(new SocketException("Connection timed out"));
            ((Unsafe) unsafe()).closeNow();
        }
    }

    /** The connection is reset at this end. */
    void reset() {
        aborted = true;
        if (state == State.CLOSED) {
            return;
        }
        if (peer != null) {
            network.note(SimNetwork.RST, peer, this, new byte[0]);
        }
        finSent = true;
        inbox.clear();
        if (state == State.CONNECTING) {
            refused(new SocketException("Connection reset"));
            return;
        }
        if (isRegistered()) {
            pipeline().fireExceptionCaught(new SocketException("Connection reset"));
            ((Unsafe) unsafe()).closeNow();
        } else {
            state = State.CLOSED;
        }
    }

    /** The process at this end is dead: its machine resets the connection. */
    void dead() {
        state = State.CLOSED;
        finSent = true;
        ChannelOutboundBuffer out = unsafe().outboundBuffer();
        if (out != null) {
            try {
                out.forEachFlushedMessage(message -> {
                    ReferenceCountUtil.release(message);
                    return true;
                });
            } catch (Exception e) {
                throw new IllegalStateException(e);
            }
        }
        if (network.cutEither(home, remote.getAddress())) {
            aborted = true;
        }
        if (peer != null && !network.silent(home, remote.getAddress())) {
            network.carry(this, peer, peer::reset);
        }
    }

    @Override
    protected void doClose() {
        if (state == State.CLOSED) {
            return;
        }
        boolean hard = config.linger() == 0 || !inbox.isEmpty();
        boolean up = state == State.UP;
        state = State.CLOSED;
        network.closed(this);
        if (connectTimer != null) {
            connectTimer.cancel(false);
        }
        if (connecting != null) {
            connecting.tryFailure(new ClosedChannelException());
            connecting = null;
        }
        if (peer != null && (hard || !up)) {
            // To close with bytes unread resets, as on real sockets.
            if (!finSent && !network.silent(home, remote.getAddress())) {
                finSent = true;
                network.carry(this, peer, peer::reset);
            }
        } else if (up) {
            fin();
        }
    }

    @Override
    protected void doDisconnect() {
        doClose();
    }

    @Override
    protected void doShutdownOutput() {
        fin();
    }

    @Override
    public boolean isInputShutdown() {
        return inputShut;
    }

    @Override
    public ChannelFuture shutdownInput() {
        return shutdownInput(newPromise());
    }

    @Override
    public ChannelFuture shutdownInput(ChannelPromise promise) {
        return promise.setFailure(new IOException("not simulated"));
    }

    @Override
    public boolean isOutputShutdown() {
        return finSent;
    }

    @Override
    public ChannelFuture shutdownOutput() {
        return shutdownOutput(newPromise());
    }

    @Override
    public ChannelFuture shutdownOutput(ChannelPromise promise) {
        ((Unsafe) unsafe()).shutdownOutput(promise);
        return promise;
    }

    @Override
    public boolean isShutdown() {
        return inputShut && finSent;
    }

    @Override
    public ChannelFuture shutdown() {
        return shutdownOutput();
    }

    @Override
    public ChannelFuture shutdown(ChannelPromise promise) {
        return shutdownOutput(promise);
    }

    // ---- What a channel is ----------------------------------------------------------------------
    @Override
    protected AbstractUnsafe newUnsafe() {
        return new Unsafe();
    }

    @Override
    protected boolean isCompatible(EventLoop loop) {
        return loop instanceof SimLoop;
    }

    @Override
    protected SocketAddress localAddress0() {
        return local;
    }

    @Override
    protected SocketAddress remoteAddress0() {
        return remote;
    }

    @Override
    protected void doBind(SocketAddress address) {
        throw new UnsupportedOperationException("a simulated client has no address of its choice");
    }

    @Override
    public ChannelConfig config() {
        return config;
    }

    @Override
    public boolean isOpen() {
        return state != State.CLOSED;
    }

    @Override
    public boolean isActive() {
        return state == State.UP;
    }

    @Override
    public ChannelMetadata metadata() {
        return METADATA;
    }
}
