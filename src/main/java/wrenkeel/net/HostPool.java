package wrenkeel.net;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import wrenkeel.Relay.Outcome;

/** Connections to hosts: carries out one call at a time on each, and tells what came back. One thread. */
final class HostPool {
    private static final Logger LOG = LoggerFactory.getLogger(HostPool.class);
    /** ms; a connection is not used again, and is closed, so long before the host may close it. */
    private static final long IDLE_MARGIN = 1_000, SWEEP = 250;
    /** ns; an answer that has begun and is not at its end by then will not be waited for. */
    private static final long ANSWER_MOST = TimeUnit.SECONDS.toNanos(2);

    /** What came back; times in microseconds, {@code left} and {@code limit} -1 if untold. */
    record Reply(Outcome outcome, boolean over, long waitFor, long latency, double left, double limit) { }

    /** One call, from when it was asked for until its reply. */
    final class Call {
        private final HostList.Host host;
        private final Message message;
        private final Consumer<Reply> whenEnded;
        private final long began = System.nanoTime();
        private final long patience;
        private Future<?> timer;
        private Channel channel;
        private boolean written;
        private boolean ended;

        private Call(HostList.Host host, Message message, long patience, Consumer<Reply> whenEnded) {
            this.host = host;
            this.message = message;
            this.patience = patience;
            this.whenEnded = whenEnded;
        }

        /** Stops waiting. Closing the connection is how a host learns of it. */
        void cancel() {
            abandon(Outcome.CANCELLED);
        }

        /** Its time is up. */
        private void giveUp() {
            abandon(written ? Outcome.TIMEOUT : Outcome.CONNECT_FAILED);
        }

        private void abandon(Outcome outcome) {
            if (!ended) {
                end(outcome);
                if (channel != null) {
                    channel.close();
                }
            }
        }

        private void end(Outcome outcome) {
            end(new Reply(outcome, false, 0, latency(), -1, -1));
        }

        private void end(Reply reply) {
            if (!ended) {
                ended = true;
                timer.cancel(false);
                pool(host).connecting.remove(this);
                whenEnded.accept(reply);
            }
        }

        private long latency() {
            return (System.nanoTime() - began) / 1_000;
        }
    }

    private static final class Pool {
        /** Idle connections, the latest used last. */
        final ArrayDeque<Connection> idle = new ArrayDeque<>();
        final Set<Connection> open = new HashSet<>();
        /** Calls of which no byte has gone out. */
        final Set<Call> connecting = new HashSet<>();
        InetSocketAddress dial;
    }

    private final EventLoop loop;
    private final Bootstrap bootstrap;
    private final long idleLimit;
    private final Map<Long, Pool> pools = new HashMap<>();

    HostPool(EventLoop loop, Bootstrap bootstrap, long connectTimeout, long keepAlive) {
        this.loop = loop;
        long millis = keepAlive / 1_000;
        this.idleLimit = TimeUnit.MILLISECONDS.toNanos(Math.max(millis / 2, millis - IDLE_MARGIN));
        this.bootstrap = bootstrap.clone(loop).channel(NioSocketChannel.class)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.max(1, connectTimeout / 1_000))
            .option(ChannelOption.TCP_NODELAY, true)
            .handler(new ChannelInitializer<Channel>() {
                @Override
                protected void initChannel(Channel channel) {
                    channel.pipeline().addLast(new HttpClientCodec(), new Connection());
                }
            });
        loop.scheduleWithFixedDelay(this::sweep, SWEEP, SWEEP, TimeUnit.MILLISECONDS);
    }

    private Pool pool(HostList.Host host) {
        return pools.computeIfAbsent(host.number, n -> new Pool());
    }

    /** Begins a call, which ends within {@code patience} microseconds; its reply comes exactly once. */
    Call call(HostList.Host host, Message message, long patience, Consumer<Reply> whenEnded) {
        Call call = new Call(host, message, patience, whenEnded);
        call.timer = loop.schedule(call::giveUp,
            patience, TimeUnit.MICROSECONDS);
        Pool pool = pool(host);
        for (Connection c = pool.idle.pollLast(); c != null; c = pool.idle.pollLast()) {
            if (c.usable(host)) {
                c.begin(call);
                return call;
            }
            c.channel.close();
        }
        pool.connecting.add(call);
        ChannelFuture connect = bootstrap.connect(host.dial);
        call.channel = connect.channel();
        connect.addListener(done -> {
            if (!done.isSuccess()) {
                call.end(Outcome.CONNECT_FAILED);
            } else if (call.ended) {
                call.channel.close();
            } else {
                Connection c = call.channel.pipeline().get(Connection.class);
                c.pool = pool;
                pool.open.add(c);
                c.begin(call);
            }
        });
        return call;
    }

    /**
     * Takes back the calls to a host that still wait for their connection. Guards the rules on drains and
     * waits: such a call would go out as soon as the connection is up, long after the host asked for nothing
     * more.
     */
    void takeBack(HostList.Host host) {
        for (Call call : List.copyOf(pool(host).connecting)) {
            call.abandon(Outcome.NOT_SENT);
        }
    }

    /**
     * Closes the connections to a host that carry no call; one whose answer is still coming in, after that.
     */
    void closeIdle(HostList.Host host) {
        for (Connection c : List.copyOf(pool(host).open)) {
            c.keep = false;
            if (c.call == null) {
                c.channel.close();
            }
        }
        pool(host).idle.clear();
    }

    /** How many idle connections to a host are held. */
    int idle(HostList.Host host) {
        return pool(host).idle.size();
    }

    private void sweep() {
        for (Pool pool : pools.values()) {
            // Guards the descriptors against answers that never end: their calls are over already.
            List.copyOf(pool.open).stream().filter(Connection::stuck).forEach(c -> c.channel.close());
            while (!pool.idle.isEmpty() && pool.idle.peekFirst().stale()) {
                pool.idle.pollFirst().channel.close();
            }
        }
    }

    /** One connection. It reports a call at the answer's head and is free again at its end. */
    private final class Connection extends SimpleChannelInboundHandler<HttpObject> {
        private Channel channel;
        private Pool pool;
        private Call call;
        private InetSocketAddress dial;
        private boolean answered;
        private boolean keep = true;
        private long answeredAt;
        private long idleSince;

        @Override
        public void handlerAdded(ChannelHandlerContext context) {
            channel = context.channel();
        }

        private boolean stale() {
            return System.nanoTime() - idleSince >= idleLimit;
        }

        private boolean stuck() {
            return call != null && answered && System.nanoTime() - answeredAt >= ANSWER_MOST;
        }

        private boolean usable(HostList.Host host) {
            return channel.isActive() && !stale() && host.dial.equals(dial);
        }

        private void begin(Call next) {
            call = next;
            dial = next.host.dial;
            answered = false;
            keep = true;
            next.channel = channel;
            pool.connecting.remove(next);
            long left = Math.max(1, (next.patience - next.latency()) / 1_000);
            // The promise of a write is kept when its last byte has been handed to the socket: from then on
            // the call may run, before that it cannot.
            channel.writeAndFlush(request(next, left)).addListener(done -> {
                next.written = done.isSuccess();
                if (!done.isSuccess()) {
                    channel.close();
                }
            });
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, HttpObject part) {
            if (part.decoderResult().isFailure() || call == null) {
                channel.close();
                return;
            }
            if (part instanceof HttpResponse head
                && head.status().codeClass() != HttpStatusClass.INFORMATIONAL) {
                answered = true;
                answeredAt = System.nanoTime();
                keep &= HttpUtil.isKeepAlive(head) && call.written;
                call.end(Answers.reply(head, call.latency()));
            }
            if (part instanceof LastHttpContent && answered) {
                call = null;
                idleSince = System.nanoTime();
                if (keep) {
                    pool.idle.addLast(this);
                } else {
                    channel.close();
                }
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            if (pool != null) {
                pool.open.remove(this);
                pool.idle.remove(this);
            }
            if (call != null) {
                call.end(call.written ? Outcome.RESET : Outcome.CONNECT_FAILED);
                call = null;
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            if (!(cause instanceof IOException)) {
                LOG.error("connection to a host closed", cause);
            }
            context.close();
        }
    }

    private static FullHttpRequest request(Call call, long leftMillis) {
        Message m = call.message;
        FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST,
            "/v1/messages",
            Unpooled.wrappedBuffer(m.body()));
        request.headers().set(HttpHeaderNames.HOST,
                call.host.dial.getAddress().getHostAddress() + ":" + call.host.dial.getPort())
            .set("X-Request-ID", m.id()).set("X-Timeout-Ms", leftMillis)
            .set(HttpHeaderNames.CONTENT_LENGTH, m.body().length);
        if (m.idempotencyKey() != null) {
            request.headers().set("Idempotency-Key", m.idempotencyKey());
        }
        return request;
    }
}
