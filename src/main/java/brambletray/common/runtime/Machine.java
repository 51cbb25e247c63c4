package brambletray.common.runtime;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFactory;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.ServerChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;

/**
 * What a program of ours runs on: one event loop, one clock and the sockets of one network. Real ones, or
 * simulated ones with the same contract; the code above cannot tell which.
 */
public record Machine(
        EventLoop loop,
        Clock clock,
        ChannelFactory<? extends Channel> sockets,
        ChannelFactory<? extends ServerChannel> listeners,
        ChannelFactory<? extends ServerChannel> sharedListeners) {
    private static final int BACKLOG = 512;

    /** Real sockets on an event loop of the NIO transport, and the machine's own time. */
    public static Machine real(EventLoop loop) {
        return new Machine(
                loop, Clock.system(), NioSocketChannel::new, NioServerSocketChannel::new, SharedListener::new);
    }

    /** For connections out; {@code timeout}: ms for one to come up. Addresses are not looked up. */
    public Bootstrap dialling(int timeout, ChannelHandler handler) {
        return new Bootstrap()
                .group(loop)
                .channelFactory(sockets)
                .disableResolver()
                .option(ChannelOption.ALLOCATOR, new UnpooledByteBufAllocator(false))
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, timeout)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(handler);
    }

    /** For connections in; {@code handler} sets each of them up. */
    public ServerBootstrap listening(ChannelHandler handler) {
        return bootstrap(listeners, handler);
    }

    /** The same, on an address that another process may listen on too. */
    public ServerBootstrap sharing(ChannelHandler handler) {
        return bootstrap(sharedListeners, handler);
    }

    private ServerBootstrap bootstrap(ChannelFactory<? extends ServerChannel> made, ChannelHandler handler) {
        return new ServerBootstrap()
                .group(loop, loop)
                .channelFactory(made)
                .option(ChannelOption.SO_REUSEADDR, true)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .childOption(ChannelOption.ALLOCATOR, new UnpooledByteBufAllocator(false))
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(handler);
    }

    /** Closes a listener once all that has connected is taken in: to close it first would reset those. */
    public static void close(Channel listener) {
        if (listener instanceof SharedListener shared && shared.isOpen()) {
            shared.acceptRest();
        }
        listener.close();
    }
}
