package brambletray.platform.provisioning;

import brambletray.common.runtime.Machine;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * HTTP/1.1 calls to one address over a few keep-alive connections, one call at a time on each. All of them are
 * idempotent: one that meets a connection as it closes is sent again on a new one. On its event loop only.
 */
final class PlatformHttpClient {
    /** The result of a call; called once. {@code status} 0: no complete response in time. */
    @FunctionalInterface
    interface ResponseCallback {
        void onResponse(int status, byte[] body);
    }

    /**
     * Time-out of a response: longer while none comes in time, as a slow platform is better than none; and of a
     * connection attempt; ms.
     */
    private static final int MIN_TIMEOUT_MS = 1_500;

    private static final int MAX_TIMEOUT_MS = 4_000;
    private static final int CONNECT_TIMEOUT_MS = 1_000;

    private static final int MAX_CONNECTIONS = 32;
    private static final int MAX_IDLE_CONNECTIONS = 4;
    private static final int MAX_QUEUED_CALLS = 256;
    /** ms; an idle connection is not used after that. */
    private static final long IDLE_TIMEOUT_MS = 4_000;

    private static final int MAX_HEADER_BYTES = 16 * 1024;
    private static final int MAX_BODY_BYTES = 4 * 1024 * 1024;
    private static final byte[] EMPTY_BODY = new byte[0];

    /** One call until its reply. */
    private final class Call {
        private final FullHttpRequest request;
        private final BooleanSupplier mayBeSent;
        private final ResponseCallback callback;
        private final Future<?> timer;
        private Connection connection;
        private boolean retried;
        private boolean ended;

        private Call(FullHttpRequest request, BooleanSupplier mayBeSent, ResponseCallback callback) {
            this.request = request;
            this.mayBeSent = mayBeSent;
            this.callback = callback;
            this.timer = machine.loop().schedule(this::onTimeout, timeoutMs, TimeUnit.MILLISECONDS);
        }

        private void onTimeout() {
            Connection mine = connection;
            if (mine != null) {
                timeoutMs = Math.min(MAX_TIMEOUT_MS, timeoutMs * 5 / 4);
            }
            complete(0, EMPTY_BODY);
            if (mine != null) {
                mine.channel.close();
            }
        }

        private void complete(int status, byte[] body) {
            if (!ended) {
                ended = true;
                timer.cancel(false);
                waiting.remove(this);
                request.release();
                callback.onResponse(status, body);
            }
        }
    }

    /** One connection. */
    private final class Connection extends SimpleChannelInboundHandler<FullHttpResponse> {
        private Channel channel;
        private Call call;
        private boolean used;
        private long idleSinceMs;

        private void send(Call next) {
            call = next;
            next.connection = this;
            channel.writeAndFlush(next.request.retainedDuplicate());
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
            Call mine = call;
            if (mine == null || !response.decoderResult().isSuccess()) {
                context.close();
                return;
            }
            call = null;
            used = true;
            boolean keep = HttpUtil.isKeepAlive(response) && !closed;
            if (keep) {
                idleSinceMs = now();
                idle.push(this);
            }
            timeoutMs = Math.max(MIN_TIMEOUT_MS, timeoutMs * 9 / 10);
            mine.complete(response.status().code(), ByteBufUtil.getBytes(response.content()));
            if (!keep || idle.size() > MAX_IDLE_CONNECTIONS && idle.remove(this)) {
                context.close();
            }
            sendNext();
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            onConnectionLost(this);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }

    private final Machine machine;
    private final InetSocketAddress address;
    private final String host;
    private final ArrayDeque<Call> waiting = new ArrayDeque<>();
    private final ArrayDeque<Connection> idle = new ArrayDeque<>();
    private final Set<Connection> connections = new LinkedHashSet<>();
    private int timeoutMs = MIN_TIMEOUT_MS;
    private boolean closed;

    PlatformHttpClient(Machine machine, InetSocketAddress address) {
        this.machine = machine;
        this.address = address;
        this.host = address.getHostString() + ":" + address.getPort();
    }

    /** Sends a GET. */
    void get(String path, ResponseCallback callback) {
        call(path, null, () -> true, callback);
    }

    /**
     * {@code body} null: a GET. {@code mayBeSent}: asked right before each sending, as a call may wait for a
     * connection; one that may not be sent any more ends without a response. {@code headers}: names and values in turn.
     */
    void call(String path, byte[] body, BooleanSupplier mayBeSent, ResponseCallback callback, String... headers) {
        if (closed || waiting.size() >= MAX_QUEUED_CALLS) {
            machine.loop().execute(() -> callback.onResponse(0, EMPTY_BODY));
            return;
        }
        FullHttpRequest request = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                body == null ? HttpMethod.GET : HttpMethod.POST,
                path,
                body == null ? Unpooled.EMPTY_BUFFER : Unpooled.wrappedBuffer(body));
        HttpHeaders fields = request.headers();
        fields.set(HttpHeaderNames.HOST, host);
        if (body != null) {
            fields.set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON);
            fields.setInt(HttpHeaderNames.CONTENT_LENGTH, body.length);
        }
        for (int i = 0; i + 1 < headers.length; i += 2) {
            fields.set(headers[i], headers[i + 1]);
        }
        waiting.add(new Call(request, mayBeSent, callback));
        sendNext();
    }

    /** Ends all calls without an answer. */
    void close() {
        closed = true;
        for (Connection connection : List.copyOf(connections)) {
            connection.channel.close();
        }
        for (Call call : new ArrayDeque<>(waiting)) {
            call.complete(0, EMPTY_BODY);
        }
    }

    private void sendNext() {
        while (!waiting.isEmpty() && !closed) {
            Connection connection = idle.poll();
            if (connection == null) {
                dial();
                return;
            }
            if (!connection.channel.isActive() || now() - connection.idleSinceMs > IDLE_TIMEOUT_MS) {
                connection.channel.close();
            } else {
                sendFirst(connection);
            }
        }
    }

    private void sendFirst(Connection connection) {
        Call first = waiting.poll();
        if (first.mayBeSent.getAsBoolean()) {
            connection.send(first);
        } else {
            idle.push(connection);
            first.complete(0, EMPTY_BODY);
        }
    }

    /** As many connections come up as calls wait, up to the most. */
    private void dial() {
        int coming = 0;
        for (Connection connection : connections) {
            coming += connection.channel.isActive() ? 0 : 1;
        }
        for (; coming < waiting.size() && connections.size() < MAX_CONNECTIONS; coming++) {
            Connection connection = new Connection();
            Bootstrap bootstrap = machine.dialling(CONNECT_TIMEOUT_MS, new ChannelInitializer<>() {
                @Override
                protected void initChannel(Channel channel) {
                    channel.pipeline()
                            .addLast(
                                    new HttpClientCodec(MAX_HEADER_BYTES, MAX_HEADER_BYTES, 8 * 1024),
                                    new HttpObjectAggregator(MAX_BODY_BYTES),
                                    connection);
                }
            });
            ChannelFuture connecting = bootstrap.connect(address);
            connection.channel = connecting.channel();
            connections.add(connection);
            connecting.addListener(done -> {
                if (!done.isSuccess()) {
                    onConnectFailed(connection);
                } else if (closed) {
                    connection.channel.close();
                } else {
                    connection.idleSinceMs = now();
                    idle.push(connection);
                    sendNext();
                }
            });
        }
    }

    /** No connection came up: the call that waits longest ends with no answer, lest all be dialled for without end. */
    private void onConnectFailed(Connection connection) {
        connections.remove(connection);
        Call first = waiting.poll();
        if (first != null) {
            first.complete(0, EMPTY_BODY);
        }
    }

    private void onConnectionLost(Connection connection) {
        connections.remove(connection);
        idle.remove(connection);
        Call call = connection.call;
        connection.call = null;
        if (call == null || call.ended) {
            sendNext();
            return;
        }
        call.connection = null;
        if (connection.used && !call.retried && !closed) {
            call.retried = true;
            waiting.addFirst(call);
            sendNext();
        } else {
            call.complete(0, EMPTY_BODY);
        }
    }

    private long now() {
        return TimeUnit.NANOSECONDS.toMillis(machine.clock().nanos());
    }
}
