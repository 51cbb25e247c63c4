package brambletray.platform.transport;

import brambletray.common.runtime.Clock;
import brambletray.common.runtime.Machine;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.PooledByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.ServerChannelRecvByteBufAllocator;
import io.netty.channel.epoll.Epoll;
import io.netty.channel.epoll.EpollChannelOption;
import io.netty.channel.epoll.EpollIoHandler;
import io.netty.channel.epoll.EpollServerSocketChannel;
import io.netty.channel.epoll.EpollSocketChannel;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;

/** The sockets of a program: one event loop, epoll where there is one, and a lost peer is noticed soon. */
public final class Sockets {
    /** ms that bytes may stay unanswered before a connection counts as lost. */
    public static final int USER_TIMEOUT_MS = 2_500;
    /** ms for a connection to come up. */
    public static final int CONNECT_TIMEOUT_MS = 1_000;
    /** s of silence after which an idle connection is probed, and between two probes. */
    private static final int KEEPALIVE_INTERVAL_S = 1;

    private static final int KEEPALIVE_PROBES = 3;
    /** Bytes of a connection with bulk frames that the kernel may hold unsent: 66 ms of a link of 2 Mbit/s. */
    private static final long MAX_UNSENT_BYTES = 16 << 10;

    /** Connections accepted before other events are handled. */
    private static final int MAX_ACCEPTED_AT_ONCE = 256;

    private static final int PAGE = 8_192;
    /** Chunks of 8 kB x 2^5 = 256 kB: machines have little memory. */
    private static final int CHUNK_ORDER = 5;

    private static final ByteBufAllocator BUFFERS =
            new PooledByteBufAllocator(true, 1, 1, PAGE, CHUNK_ORDER, 0, 0, false);

    private Sockets() {}

    /** One event loop of a thread of its own, with the sockets of this machine. */
    public static Machine machine() {
        boolean epoll = Epoll.isAvailable();
        EventLoop loop = new MultiThreadIoEventLoopGroup(
                        1,
                        new DefaultThreadFactory("loop"),
                        epoll ? EpollIoHandler.newFactory() : NioIoHandler.newFactory())
                .next();
        return epoll
                ? new Machine(loop, Clock.system(), EpollSocketChannel::new, Sockets::listener, Sockets::sharedBuffers)
                : Machine.real(loop);
    }

    /** The transport of {@link #machine}: {@code epoll}, or {@code nio} where the native library is missing. */
    public static String transport() {
        return Epoll.isAvailable() ? "epoll" : "nio";
    }

    /** The pool that all connections of a process take buffers from: one small arena. */
    public static ByteBufAllocator buffers() {
        return BUFFERS;
    }

    /**
     * Sets what lets a connection notice that its other end is cut off or without power, where the transport knows how.
     */
    public static void detectLostPeer(Channel channel) {
        if (channel instanceof EpollSocketChannel) {
            channel.config().setOption(EpollChannelOption.TCP_USER_TIMEOUT, USER_TIMEOUT_MS);
            channel.config().setOption(ChannelOption.SO_KEEPALIVE, true);
            channel.config().setOption(EpollChannelOption.TCP_KEEPIDLE, KEEPALIVE_INTERVAL_S);
            channel.config().setOption(EpollChannelOption.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S);
            channel.config().setOption(EpollChannelOption.TCP_KEEPCNT, KEEPALIVE_PROBES);
        }
    }

    /**
     * Bounds what the kernel holds of this connection and hasn't sent, so that a frame said now doesn't stand behind
     * megabytes there. Without
     * effect where the transport has no such option.
     */
    static void limitUnsentBytes(Channel channel) {
        if (!(channel instanceof EpollSocketChannel)) {
            return;
        }
        try {
            channel.config().setOption(EpollChannelOption.TCP_NOTSENT_LOWAT, MAX_UNSENT_BYTES);
        } catch (ChannelException refused) {
            Link.log()
                    .info("no bound of unsent bytes")
                    .with("why", refused.getMessage())
                    .log();
        }
    }

    /** A listener that accepts all connections that wait, as clients give up soon when many come at once. */
    private static EpollServerSocketChannel listener() {
        EpollServerSocketChannel channel = new EpollServerSocketChannel();
        channel.config()
                .setRecvByteBufAllocator(new ServerChannelRecvByteBufAllocator()
                        .respectMaybeMoreData(false)
                        .maxMessagesPerRead(MAX_ACCEPTED_AT_ONCE));
        return channel;
    }

    private static EpollServerSocketChannel sharedBuffers() {
        EpollServerSocketChannel channel = listener();
        channel.config().setReusePort(true);
        return channel;
    }
}
