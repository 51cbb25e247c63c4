package brambletray.platform.transport;

import brambletray.common.runtime.Machine;
import brambletray.platform.settings.Address;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/**
 * Takes in links at one address. An address that is still held by the process before us is tried again until it is
 * free.
 */
public final class LinkListener implements AutoCloseable {
    /** Links at a time; who comes beyond that is closed at once. */
    static final int MAX_LINKS = 1_024;

    private static final int BIND_RETRY_MS = 100;

    private final Machine machine;
    private final FrameCodec codec;
    private final Address bind;
    private final LinkHandler handler;
    private final CompletableFuture<Integer> port = new CompletableFuture<>();
    private Channel channel;
    private int linkCount;
    private boolean logged;
    private boolean closed;

    /** Listens from now on; may be called from any thread. */
    public LinkListener(Machine machine, FrameCodec codec, Address bind, LinkHandler handler) {
        this.machine = machine;
        this.codec = codec;
        this.bind = bind;
        this.handler = handler;
        machine.loop().execute(this::listen);
    }

    /** The port, once it listens (of use where port 0 was asked for). */
    public CompletableFuture<Integer> port() {
        return port;
    }

    /** Takes in no more; the links that are there stay. */
    @Override
    public void close() {
        machine.loop().execute(() -> {
            closed = true;
            if (channel != null) {
                channel.close();
            }
        });
    }

    private void listen() {
        if (closed) {
            return;
        }
        ChannelFuture bound = machine.listening(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel one) {
                        accept(one);
                    }
                })
                .childOption(ChannelOption.ALLOCATOR, Sockets.buffers())
                .bind(new InetSocketAddress(bind.host(), bind.port()));
        bound.addListener(done -> {
            if (done.isSuccess()) {
                channel = bound.channel();
                port.complete(channel.localAddress() instanceof InetSocketAddress inet ? inet.getPort() : bind.port());
                if (closed) {
                    channel.close();
                }
                return;
            }
            if (!logged) {
                logged = true;
                Link.log()
                        .warn("not-listening")
                        .with("address", bind)
                        .with("why", done.cause())
                        .with("again-ms", BIND_RETRY_MS)
                        .log();
            }
            machine.loop().schedule(this::listen, BIND_RETRY_MS, TimeUnit.MILLISECONDS);
        });
    }

    private void accept(Channel one) {
        if (linkCount >= MAX_LINKS) {
            one.close();
            return;
        }
        linkCount++;
        one.closeFuture().addListener(done -> linkCount--);
        one.pipeline().addLast(new FrameChannelHandler(codec, handler, false));
    }
}
