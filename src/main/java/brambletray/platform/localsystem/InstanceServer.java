package brambletray.platform.localsystem;

import brambletray.common.runtime.Machine;
import brambletray.platform.configuration.Service;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.timeout.IdleStateEvent;
import io.netty.handler.timeout.IdleStateHandler;
import io.netty.util.concurrent.ScheduledFuture;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;

/**
 * One host that has started (page PROTOCOL, Hosts): works on so many requests at once and turns the rest away, drops
 * one whose connection closes, ceases at the deadline, answers 421 for another host's. For the loop only.
 */
final class InstanceServer {
    static final String ID = "Brambletray-Attempt-Id";
    static final String REMAINING = "Brambletray-Deadline-Remaining";
    static final String SEAL = "Brambletray-Response-Seal";
    static final String TARGET = "Brambletray-Target-Instance";
    static final String NOT_EXECUTED = "Brambletray-Not-Executed";
    /** s after which an idle connection is closed. */
    private static final int IDLE_S = 10;
    /** Bytes of a request's body, and of an answer's. */
    private static final int BODY = 1 << 20;

    private static final int ANSWER = 600;

    private final Machine machine;
    private final String id;
    private final Service service;
    private final ExecutionLedger ledger;
    private final IntSupplier work;
    private final Set<Channel> open = new HashSet<>();
    private Channel listener;
    private boolean leaving;
    private int working;
    private int turnedAway;

    /** {@code id}: its instance-id; {@code work}: ms that the next request takes. */
    InstanceServer(Machine machine, String id, Service service, ExecutionLedger ledger, IntSupplier work) {
        this.machine = machine;
        this.id = id;
        this.service = service;
        this.ledger = ledger;
        this.work = work;
    }

    /** Listens; the future fails where the address can't be had. */
    ChannelFuture open(InetSocketAddress at) {
        ChannelFuture bound = machine.listening(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline()
                                .addLast(
                                        new IdleStateHandler(0, 0, IDLE_S),
                                        new HttpServerCodec(),
                                        new HttpObjectAggregator(BODY),
                                        new Visit());
                    }
                })
                .bind(at);
        listener = bound.channel();
        return bound;
    }

    /** Listens no more, brings its work to an end and closes its connections then. */
    void stop() {
        leaving = true;
        listener.close();
        if (working == 0) {
            Set.copyOf(open).forEach(Channel::close);
        }
    }

    /** Requests at work. */
    int working() {
        return working;
    }

    /** Requests beyond its slots so far. */
    int turnedAway() {
        return turnedAway;
    }

    private long now() {
        return machine.clock().nanos() / 1_000_000;
    }

    private static void reset(Channel channel) {
        channel.config().setOption(ChannelOption.SO_LINGER, 0);
        channel.close();
    }

    private final class Visit extends SimpleChannelInboundHandler<FullHttpRequest> {
        private ScheduledFuture<?> end;
        /** The attempt at work; meaningful while {@link #end} is set. */
        private String attemptAtWork;

        @Override
        public void channelActive(ChannelHandlerContext context) {
            open.add(context.channel());
            if (open.size() > service.maxConnections()) {
                reset(context.channel());
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            open.remove(context.channel());
            if (end != null && end.cancel(false)) {
                ended();
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            String attempt = request.headers().get(ID);
            String target = request.headers().get(TARGET);
            int remaining = request.headers().getInt(REMAINING, Integer.MAX_VALUE);
            if (end != null || request.decoderResult().isFailure()) {
                context.close();
            } else if (attempt == null) {
                refuse(context, 400, null);
            } else if (target != null && !target.equals(id)) {
                refuse(context, 421, attempt);
            } else if (working >= service.maxConcurrency() || remaining <= 0) {
                turnedAway++;
                refuse(context, 503, attempt);
            } else {
                begin(context, request, attempt, remaining);
            }
        }

        private void begin(ChannelHandlerContext context, FullHttpRequest request, String attempt, int remaining) {
            ledger.ran(attempt, id);
            working++;
            String method = request.method().name();
            String path = request.uri();
            byte[] asked = ByteBufUtil.getBytes(request.content());
            int ms = work.getAsInt();
            attemptAtWork = attempt;
            ledger.departedClients().onRunBegan(attempt, now(), now() + Math.min(ms, remaining));
            end = machine.loop()
                    .schedule(
                            () -> {
                                ended();
                                byte[] body = ms <= remaining ? body(attempt) : new byte[0];
                                answer(
                                        context,
                                        ms <= remaining ? 200 : 504,
                                        attempt,
                                        body,
                                        ms <= remaining
                                                ? ResponseSeal.of(id, attempt, method, path, asked, body)
                                                : null,
                                        false);
                            },
                            Math.min(ms, remaining),
                            TimeUnit.MILLISECONDS);
        }

        private void ended() {
            end = null;
            ledger.departedClients().onRunEnded(attemptAtWork, now());
            working--;
            if (leaving && working == 0) {
                machine.loop().execute(() -> Set.copyOf(open).forEach(Channel::close));
            }
        }

        private byte[] body(String attempt) {
            String head = id + ' ' + service.name() + ' ' + attempt + ' ';
            return (head + "x".repeat(ANSWER - head.length())).getBytes(StandardCharsets.US_ASCII);
        }

        private void refuse(ChannelHandlerContext context, int status, String attempt) {
            answer(context, status, attempt, new byte[0], null, true);
        }

        private void answer(
                ChannelHandlerContext context, int status, String attempt, byte[] body, String seal, boolean notRun) {
            DefaultFullHttpResponse answer = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), Unpooled.wrappedBuffer(body));
            answer.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, body.length);
            if (attempt != null) {
                answer.headers().set(ID, attempt);
            }
            if (seal != null) {
                answer.headers().set(SEAL, seal);
            }
            if (notRun) {
                answer.headers().set(NOT_EXECUTED, "1");
            }
            answer.headers()
                    .set(leaving ? HttpHeaderNames.CONNECTION : "Keep-Alive", leaving ? "close" : "timeout=" + IDLE_S);
            context.writeAndFlush(answer)
                    .addListener(leaving ? ChannelFutureListener.CLOSE : ChannelFutureListener.CLOSE_ON_FAILURE);
        }

        @Override
        public void userEventTriggered(ChannelHandlerContext context, Object event) {
            if (event instanceof IdleStateEvent && end == null) {
                context.close();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
