package brambletray.relay.console;

import brambletray.common.runtime.Clock;
import brambletray.common.runtime.Machine;
import brambletray.relay.core.RateLimitedLog;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The operators' address: HTTP/1.1, one call a connection. Callers are not trusted: one that has not asked
 * within its time is dropped, and the oldest goes when a new one needs its place. One thread, the loop's.
 */
public final class Console extends ChannelInitializer<Channel> {
    private static final Logger LOG = LoggerFactory.getLogger(Console.class);
    /** Connections at once; clients of the relay have a bound of their own, and take none of these. */
    private static final int CALLERS_MOST = 24;

    private static final int HEAD_MOST = 8 * 1024;
    private static final int BODY_MOST = 64 * 1024;
    private static final int DISCARD_MOST = 256 * 1024;
    /** ns; from the connect until the whole call is here, and from its answer until its connection closes. */
    private static final long CALL_MOST = TimeUnit.MILLISECONDS.toNanos(900);

    private static final long LINGER = TimeUnit.MILLISECONDS.toNanos(500);
    /** ms; between looks for callers whose time is over. */
    private static final long SWEEP = 100;

    /** Who takes over connections that ask for it: other processes of this relay. */
    public interface Upgrade {
        /** True for the secret that only they know. */
        boolean allows(String secret);

        /** The connection is theirs; it has no handlers any more, and 101 has been written. */
        void upgraded(Channel channel);
    }

    /** The call that asks for an upgrade, and what to. */
    private static final String UPGRADE_PATH = "/handover";

    private static final String UPGRADE_TO = "brambletray-handover";
    private static final String BEARER = "Bearer ";

    private final Machine machine;
    private final Clock clock;
    private final Operations operations;
    private final Upgrade upgrade;
    private final RateLimitedLog complaints;
    /** In the order in which they connected. */
    private final ArrayDeque<Caller> callers = new ArrayDeque<>();

    public Console(Machine machine, Operations operations) {
        this(machine, operations, null);
    }

    /** {@code upgrade}: null where no other process takes part. */
    public Console(Machine machine, Operations operations, Upgrade upgrade) {
        this.upgrade = upgrade;
        this.machine = machine;
        this.clock = machine.clock();
        this.operations = operations;
        this.complaints = new RateLimitedLog(LOG, clock);
        machine.loop().scheduleWithFixedDelay(this::sweep, SWEEP, SWEEP, TimeUnit.MILLISECONDS);
    }

    /** Listens; done when operators can connect. */
    public ChannelFuture listen(InetSocketAddress address) {
        return machine.listening(this).bind(address);
    }

    /** Connections now. */
    int callers() {
        return callers.size();
    }

    @Override
    protected void initChannel(Channel channel) {
        Caller caller = new Caller(channel);
        channel.pipeline()
                .addLast(
                        caller.new Arrivals(),
                        new HttpRequestDecoder(new HttpDecoderConfig()
                                .setMaxInitialLineLength(HEAD_MOST)
                                .setMaxHeaderSize(HEAD_MOST)),
                        new HttpResponseEncoder(),
                        caller);
        callers.addLast(caller);
        if (callers.size() > CALLERS_MOST) {
            // Guards those that ask against crowds that connect and say nothing.
            complaints.warn("operators' connection closed: " + CALLERS_MOST + " are connected");
            Caller gone = callers.stream().filter(c -> !c.calling).findFirst().orElse(caller);
            callers.remove(gone);
            gone.channel.close();
        }
    }

    private void sweep() {
        long now = clock.nanos();
        List.copyOf(callers).forEach(c -> c.look(now));
    }

    /** One connection: a call on its way in, carried out, answered. */
    private final class Caller extends SimpleChannelInboundHandler<HttpObject> {
        private final Channel channel;
        private long since = clock.nanos();
        /** The call is being carried out; it has been answered. */
        private boolean calling;

        private boolean answered;

        private HttpRequest head;
        private int discarded;

        Caller(Channel channel) {
            this.channel = channel;
        }

        /** Throws away what comes behind the call: to close with bytes unread could cost the answer. */
        private final class Arrivals extends ChannelInboundHandlerAdapter {
            @Override
            public void channelRead(ChannelHandlerContext context, Object bytes) {
                if (!answered && !calling) {
                    context.fireChannelRead(bytes);
                    return;
                }
                discarded += ((ByteBuf) bytes).readableBytes();
                ReferenceCountUtil.release(bytes);
                if (discarded > DISCARD_MOST) {
                    channel.config().setAutoRead(false);
                }
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, HttpObject part) {
            if (answered || calling) {
                return;
            }
            if (part.decoderResult().isFailure()) {
                answer(new CommandResponse(400, "malformed request"));
                return;
            }
            if (part instanceof HttpRequest request) {
                head = request;
                if (HttpUtil.getContentLength(request, 0L) > BODY_MOST) {
                    answer(new CommandResponse(413, "no call has a body of over " + BODY_MOST + " bytes"));
                    return;
                }
            }
            if (part instanceof LastHttpContent && head != null) {
                calling = true;
                if (upgrade != null
                        && head.uri().equals(UPGRADE_PATH)
                        && UPGRADE_TO.equals(head.headers().get(HttpHeaderNames.UPGRADE))) {
                    handOver(context);
                    return;
                }
                CallTable.run(head.method(), head.uri(), operations, this::answer);
            }
        }

        private void handOver(ChannelHandlerContext context) {
            String secret = head.headers().get(HttpHeaderNames.AUTHORIZATION, "");
            if (!secret.startsWith(BEARER) || !upgrade.allows(secret.substring(BEARER.length()))) {
                answer(new CommandResponse(403, "not a process of this relay"));
                return;
            }
            callers.remove(this);
            answered = true;
            FullHttpResponse response = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.SWITCHING_PROTOCOLS, Unpooled.EMPTY_BUFFER);
            response.headers()
                    .set(HttpHeaderNames.CONNECTION, HttpHeaderValues.UPGRADE)
                    .set(HttpHeaderNames.UPGRADE, UPGRADE_TO);
            channel.writeAndFlush(response);
            while (channel.pipeline().first() != null) {
                channel.pipeline().removeFirst();
            }
            upgrade.upgraded(channel);
        }

        private void answer(CommandResponse said) {
            if (answered) {
                return;
            }
            answered = true;
            since = clock.nanos();
            FullHttpResponse response = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1,
                    HttpResponseStatus.valueOf(said.status()),
                    Unpooled.copiedBuffer(said.text() + "\n", StandardCharsets.UTF_8));
            response.headers()
                    .set(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes())
                    .set(HttpHeaderNames.CONTENT_TYPE, "text/plain; charset=utf-8")
                    .set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            channel.writeAndFlush(response).addListener(done -> ((DuplexChannel) channel).shutdownOutput());
        }

        private void look(long now) {
            if (answered ? now - since >= LINGER : now - since >= CALL_MOST) {
                if (answered) {
                    channel.close();
                } else {
                    answer(new CommandResponse(calling ? 503 : 408, "not in time"));
                }
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            callers.remove(this);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            if (!(cause instanceof IOException)) {
                LOG.error("connection of an operator closed", cause);
            }
            context.close();
        }
    }
}
