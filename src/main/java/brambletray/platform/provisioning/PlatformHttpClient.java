package brambletray.platform.provisioning;

import brambletray.runtime.Machine;
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

/**
 * HTTP/1.1 calls to one address over a few connections that are kept, one call at a time on each. All of them may be
 * repeated: one that meets a kept connection as it closes is sent again on a new one. On its loop only.
 */
final class PlatformHttpClient {
    /** What came of a call; called once. {@code status} 0: no whole answer in time. */
    @FunctionalInterface
    interface Reply {
        void came(int status, byte[] body);
    }

    /**
     * ms for a whole answer: more while none comes in time, for a slow platform is better than none; and for a
     * connection to come up.
     */
    private static final int PATIENCE = 1_500;

    private static final int PATIENCE_MOST = 4_000;
    private static final int CONNECT = 1_000;

    private static final int LINES_MOST = 32;
    private static final int KEPT_MOST = 4;
    private static final int QUEUE_MOST = 256;
    /** ms; an idle connection is not used after that. */
    private static final long IDLE = 4_000;

    private static final int HEAD_MOST = 16 * 1024;
    private static final int BODY_MOST = 4 * 1024 * 1024;
    private static final byte[] NOTHING = new byte[0];

    /** One call until its reply. */
    private final class Call {
        private final FullHttpRequest request;
        private final Reply reply;
        private final Future<?> timer;
        private Line line;
        private boolean again;
        private boolean ended;

        private Call(FullHttpRequest request, Reply reply) {
            this.request = request;
            this.reply = reply;
            this.timer = machine.loop().schedule(this::late, patience, TimeUnit.MILLISECONDS);
        }

        private void late() {
            Line mine = line;
            if (mine != null) {
                patience = Math.min(PATIENCE_MOST, patience * 5 / 4);
            }
            end(0, NOTHING);
            if (mine != null) {
                mine.channel.close();
            }
        }

        private void end(int status, byte[] body) {
            if (!ended) {
                ended = true;
                timer.cancel(false);
                waiting.remove(this);
                request.release();
                reply.came(status, body);
            }
        }
    }

    /** One connection. */
    private final class Line extends SimpleChannelInboundHandler<FullHttpResponse> {
        private Channel channel;
        private Call call;
        private boolean used;
        private long idleSince;

        private void send(Call next) {
            call = next;
            next.line = this;
            channel.writeAndFlush(next.request.retainedDuplicate());
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpResponse answer) {
            Call mine = call;
            if (mine == null || !answer.decoderResult().isSuccess()) {
                context.close();
                return;
            }
            call = null;
            used = true;
            boolean keep = HttpUtil.isKeepAlive(answer) && !closed;
            if (keep) {
                idleSince = now();
                idle.push(this);
            }
            patience = Math.max(PATIENCE, patience * 9 / 10);
            mine.end(answer.status().code(), ByteBufUtil.getBytes(answer.content()));
            if (!keep || idle.size() > KEPT_MOST && idle.remove(this)) {
                context.close();
            }
            next();
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            lost(this);
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
    private final ArrayDeque<Line> idle = new ArrayDeque<>();
    private final Set<Line> lines = new LinkedHashSet<>();
    private int patience = PATIENCE;
    private boolean closed;

    PlatformHttpClient(Machine machine, InetSocketAddress address) {
        this.machine = machine;
        this.address = address;
        this.host = address.getHostString() + ":" + address.getPort();
    }

    /** {@code body} null: a GET. {@code headers}: names and values in turn. */
    void call(String path, byte[] body, Reply reply, String... headers) {
        if (closed || waiting.size() >= QUEUE_MOST) {
            machine.loop().execute(() -> reply.came(0, NOTHING));
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
        waiting.add(new Call(request, reply));
        next();
    }

    /** Ends all calls without an answer. */
    void close() {
        closed = true;
        for (Line line : List.copyOf(lines)) {
            line.channel.close();
        }
        for (Call call : new ArrayDeque<>(waiting)) {
            call.end(0, NOTHING);
        }
    }

    private void next() {
        while (!waiting.isEmpty() && !closed) {
            Line line = idle.poll();
            if (line == null) {
                dial();
                return;
            }
            if (!line.channel.isActive() || now() - line.idleSince > IDLE) {
                line.channel.close();
            } else {
                line.send(waiting.poll());
            }
        }
    }

    /** As many connections come up as calls wait, up to the most. */
    private void dial() {
        int coming = 0;
        for (Line line : lines) {
            coming += line.channel.isActive() ? 0 : 1;
        }
        for (; coming < waiting.size() && lines.size() < LINES_MOST; coming++) {
            Line line = new Line();
            Bootstrap bootstrap = machine.dialling(CONNECT, new ChannelInitializer<>() {
                @Override
                protected void initChannel(Channel channel) {
                    channel.pipeline()
                            .addLast(
                                    new HttpClientCodec(HEAD_MOST, HEAD_MOST, 8 * 1024),
                                    new HttpObjectAggregator(BODY_MOST),
                                    line);
                }
            });
            ChannelFuture connecting = bootstrap.connect(address);
            line.channel = connecting.channel();
            lines.add(line);
            connecting.addListener(done -> {
                if (!done.isSuccess()) {
                    refused(line);
                } else if (closed) {
                    line.channel.close();
                } else {
                    line.idleSince = now();
                    idle.push(line);
                    next();
                }
            });
        }
    }

    /** No connection came up: the call that waits longest ends with no answer, lest all be dialled for without end. */
    private void refused(Line line) {
        lines.remove(line);
        Call first = waiting.poll();
        if (first != null) {
            first.end(0, NOTHING);
        }
    }

    private void lost(Line line) {
        lines.remove(line);
        idle.remove(line);
        Call mine = line.call;
        line.call = null;
        if (mine == null || mine.ended) {
            next();
            return;
        }
        mine.line = null;
        if (line.used && !mine.again && !closed) {
            mine.again = true;
            waiting.addFirst(mine);
            next();
        } else {
            mine.end(0, NOTHING);
        }
    }

    private long now() {
        return TimeUnit.NANOSECONDS.toMillis(machine.clock().nanos());
    }
}
