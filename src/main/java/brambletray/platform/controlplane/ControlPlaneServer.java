package brambletray.platform.controlplane;

import brambletray.common.runtime.Machine;
import brambletray.platform.settings.Address;
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
 * {@link #MAX_BODY_BYTES} bytes (413 beyond), a connection that is silent for {@link #IDLE_TIMEOUT_S} is closed.
 * Calls of one connection are dealt with one after the other, as answers bear no sign of which call they are to; a
 * caller that sends more than {@link #MAX_PIPELINED_CALLS} ahead is cut off.
 */
final class ControlPlaneServer {
    static final int MAX_BODY_BYTES = 4 << 20;
    static final int IDLE_TIMEOUT_S = 30;
    static final int MAX_PIPELINED_CALLS = 8;
    static final String BASE_REVISION_HEADER = "Brambletray-Base-Revision";

    private final CallRouter<CallHandler> router;

    /** One kind of call. */
    interface CallHandler {
        /** {@code wildcard}: what a {@code *} in the path stood for, or null. */
        void handle(ControlCall call, String wildcard);
    }

    ControlPlaneServer(CallRouter<CallHandler> router) {
        this.router = router;
    }

    /** Listens; the future fails with the system's reason where it cannot. */
    ChannelFuture listen(Machine machine, Address at) {
        return machine.listening(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(new IdleStateHandler(0, 0, IDLE_TIMEOUT_S) {
                            @Override
                            protected void channelIdle(
                                    ChannelHandlerContext context, io.netty.handler.timeout.IdleStateEvent event) {
                                context.close();
                            }
                        });
                        addCallHandlers(channel);
                    }
                })
                .bind(new InetSocketAddress(at.host(), at.port()));
    }

    /** The handlers of a connection's calls, at the end of its pipeline. */
    void addCallHandlers(Channel channel) {
        channel.pipeline()
                .addLast(
                        new HttpServerCodec(4_096, 16_384, 8_192),
                        new HttpObjectAggregator(MAX_BODY_BYTES, true),
                        new CallDispatcher());
    }

    private final class CallDispatcher extends SimpleChannelInboundHandler<FullHttpRequest> {
        private final ArrayDeque<FullHttpRequest> pipelined = new ArrayDeque<>();
        private boolean callInProgress;

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            if (!callInProgress) {
                dispatchCall(context, request);
            } else if (pipelined.size() < MAX_PIPELINED_CALLS) {
                pipelined.add(request.retain());
            } else {
                context.close();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) throws Exception {
            releasePipelined();
            super.channelInactive(context);
        }

        private void releasePipelined() {
            pipelined.forEach(FullHttpRequest::release);
            pipelined.clear();
        }

        private void dispatchCall(ChannelHandlerContext context, FullHttpRequest request) {
            callInProgress = true;
            boolean keepAlive = HttpUtil.isKeepAlive(request);
            if (request.decoderResult().isFailure()) {
                writeResponse(
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
            boolean[] responded = new boolean[1];
            ControlCall call = new ControlCall(
                    request.method().name(),
                    path,
                    request.headers().get(BASE_REVISION_HEADER),
                    ByteBufUtil.getBytes(request.content()),
                    (status, json, headers) -> {
                        if (!responded[0]) {
                            responded[0] = true;
                            writeResponse(context, keepAlive, status, json, headers);
                        }
                    });
            CallRouter.Match<CallHandler> match = path.startsWith("/") ? router.find(call.method(), path) : null;
            if (match == null) {
                call.reject(404, "controlplane.no-such-call", call.method() + " " + path);
            } else {
                match.handler().handle(call, match.wildcard());
            }
        }

        /**
         * The next call of this connection, once the one before it has its response; none after one that closes it.
         * On a later turn of the loop, since the caller may be in the middle of another call.
         */
        private void onResponded(ChannelHandlerContext context, boolean keepAlive) {
            if (!keepAlive) {
                releasePipelined();
            } else if (pipelined.isEmpty()) {
                callInProgress = false;
            } else {
                context.executor().execute(() -> dispatchNext(context));
            }
        }

        private void dispatchNext(ChannelHandlerContext context) {
            FullHttpRequest request = pipelined.poll();
            if (request == null) {
                callInProgress = false;
                return;
            }
            try {
                dispatchCall(context, request);
            } catch (RuntimeException e) {
                exceptionCaught(context, e);
            } finally {
                request.release();
            }
        }

        private void writeResponse(
                ChannelHandlerContext context,
                boolean keepAlive,
                int status,
                byte[] json,
                Map<String, String> headers) {
            ByteBuf body = json == null ? Unpooled.EMPTY_BUFFER : Unpooled.wrappedBuffer(json);
            DefaultFullHttpResponse response =
                    new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), body);
            response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
            if (json != null) {
                response.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
            }
            headers.forEach(response.headers()::set);
            if (!keepAlive) {
                response.headers().set(HttpHeaderNames.CONNECTION, "close");
            }
            context.writeAndFlush(response)
                    .addListener(keepAlive ? ChannelFutureListener.CLOSE_ON_FAILURE : ChannelFutureListener.CLOSE);
            onResponded(context, keepAlive);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
