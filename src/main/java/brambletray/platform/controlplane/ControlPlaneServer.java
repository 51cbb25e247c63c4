package brambletray.platform.controlplane;

import brambletray.platform.settings.Address;
import brambletray.runtime.Machine;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.timeout.IdleStateHandler;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Map;

/**
 * The control-plane address: calls of hosts and operators, one table of method and path segments. A body has at most
 * {@link #BODY} bytes (413 beyond), a connection that is silent for {@link #IDLE_S} is closed. Calls of one connection
 * are dealt with one after the other, as answers bear no sign of which call they are to; a caller that sends more than
 * {@link #AHEAD} ahead is cut off.
 */
final class ControlPlaneServer {
    static final int BODY = 4 << 20;
    static final int IDLE_S = 30;
    static final int AHEAD = 8;
    static final String BASE = "Brambletray-Base-Revision";

    private final Dispatch<Desk> table;

    /** One kind of call. */
    interface Desk {
        /** {@code part}: what a {@code *} in the path stood for, or null. */
        void handle(ControlCall call, String part);
    }

    ControlPlaneServer(Dispatch<Desk> table) {
        this.table = table;
    }

    /** Listens; the future fails with what the system says where it cannot. */
    ChannelFuture open(Machine machine, Address at) {
        return machine.listening(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(new IdleStateHandler(0, 0, IDLE_S) {
                            @Override
                            protected void channelIdle(
                                    ChannelHandlerContext context, io.netty.handler.timeout.IdleStateEvent event) {
                                context.close();
                            }
                        });
                        calls(channel);
                    }
                })
                .bind(new InetSocketAddress(at.host(), at.port()));
    }

    /** The handlers of a connection's calls, at the end of its pipeline. */
    void calls(Channel channel) {
        channel.pipeline()
                .addLast(new HttpServerCodec(4_096, 16_384, 8_192), new HttpObjectAggregator(BODY, true), new Visit());
    }

    private final class Visit extends SimpleChannelInboundHandler<FullHttpRequest> {
        private final ArrayDeque<FullHttpRequest> ahead = new ArrayDeque<>();
        private boolean busy;

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            if (!busy) {
                visit(context, request);
            } else if (ahead.size() < AHEAD) {
                ahead.add(request.retain());
            } else {
                context.close();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) throws Exception {
            drop();
            super.channelInactive(context);
        }

        private void drop() {
            ahead.forEach(FullHttpRequest::release);
            ahead.clear();
        }

        private void visit(ChannelHandlerContext context, FullHttpRequest request) {
            busy = true;
            boolean keep = HttpUtil.isKeepAlive(request);
            if (request.decoderResult().isFailure()) {
                reply(
                        context,
                        false,
                        400,
                        ErrorBodies.json("controlplane.malformed", "not a request of HTTP/1.1"),
                        Map.of());
                return;
            }
            String uri = request.uri();
            int query = uri.indexOf('?');
            String path = query < 0 ? uri : uri.substring(0, query);
            boolean[] given = new boolean[1];
            ControlCall call = new ControlCall(
                    request.method().name(),
                    path,
                    request.headers().get(BASE),
                    ByteBufUtil.getBytes(request.content()),
                    (status, json, headers) -> {
                        if (!given[0]) {
                            given[0] = true;
                            reply(context, keep, status, json, headers);
                        }
                    });
            Dispatch.Found<Desk> found = path.startsWith("/") ? table.find(call.method(), path) : null;
            if (found == null) {
                call.refuse(404, "controlplane.no-such-call", call.method() + " " + path);
            } else {
                found.handler().handle(call, found.part());
            }
        }

        /**
         * The next call of this connection, once the one before it has its answer; none after one that closes it. By
         * way of the loop, since whoever gives an answer may be in the midst of its own calls.
         */
        private void next(ChannelHandlerContext context, boolean keep) {
            if (!keep) {
                drop();
            } else if (ahead.isEmpty()) {
                busy = false;
            } else {
                context.executor().execute(() -> visitNext(context));
            }
        }

        private void visitNext(ChannelHandlerContext context) {
            FullHttpRequest request = ahead.poll();
            if (request == null) {
                busy = false;
                return;
            }
            try {
                visit(context, request);
            } catch (RuntimeException e) {
                exceptionCaught(context, e);
            } finally {
                request.release();
            }
        }

        private void reply(
                ChannelHandlerContext context, boolean keep, int status, byte[] json, Map<String, String> headers) {
            ByteBuf body = json == null ? Unpooled.EMPTY_BUFFER : Unpooled.wrappedBuffer(json);
            DefaultFullHttpResponse answer =
                    new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), body);
            answer.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
            if (json != null) {
                answer.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
            }
            headers.forEach(answer.headers()::set);
            if (!keep) {
                answer.headers().set(HttpHeaderNames.CONNECTION, "close");
            }
            context.writeAndFlush(answer)
                    .addListener(keep ? ChannelFutureListener.CLOSE_ON_FAILURE : ChannelFutureListener.CLOSE);
            next(context, keep);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
