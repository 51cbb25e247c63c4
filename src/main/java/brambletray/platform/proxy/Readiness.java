package brambletray.platform.proxy;

import brambletray.common.runtime.Machine;
import brambletray.platform.settings.Address;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpUtil;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.function.BooleanSupplier;

/**
 * Serves {@code GET /brambletray/readiness}: 200 while this edge is ready, otherwise 503 (PROTOCOL, How clients
 * arrive).
 */
public final class Readiness {
    private static final String PATH = "/brambletray/readiness";
    private static final int MAX_CONNECTIONS = 32;
    private static final int MAX_HEADER_BYTES = 4 * 1024;

    private final Machine machine;
    private final BooleanSupplier isReady;
    /** Oldest first. */
    private final ArrayDeque<Channel> connections = new ArrayDeque<>();

    /** Answers 200 while {@code isReady}, 503 otherwise. */
    public Readiness(Machine machine, BooleanSupplier isReady) {
        this.machine = machine;
        this.isReady = isReady;
    }

    /** Listens on the address; the future fails if it cannot be bound. */
    public ChannelFuture listen(Address address) {
        return machine.listening(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        if (connections.size() >= MAX_CONNECTIONS) {
                            connections.poll().close();
                        }
                        connections.add(channel);
                        channel.closeFuture().addListener(closed -> connections.remove(channel));
                        channel.pipeline()
                                .addLast(
                                        new HttpRequestDecoder(new HttpDecoderConfig()
                                                .setMaxHeaderSize(MAX_HEADER_BYTES)
                                                .setMaxInitialLineLength(MAX_HEADER_BYTES)),
                                        new Probe());
                    }
                })
                .bind(new InetSocketAddress(address.host(), address.port()));
    }

    private final class Probe extends SimpleChannelInboundHandler<HttpObject> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, HttpObject part) {
            boolean bad = part.decoderResult().isFailure();
            if (part instanceof HttpRequest request) {
                int status = bad
                        ? 400
                        : !ClientRequest.path(request.uri()).equals(PATH) ? 404 : isReady.getAsBoolean() ? 200 : 503;
                boolean close = bad || !HttpUtil.isKeepAlive(request);
                ChannelFuture written =
                        context.writeAndFlush(HeaderWriter.emptyResponse(context.alloc(), status, close));
                if (close) {
                    written.addListener(done -> context.close());
                }
            } else if (bad) {
                context.close();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
