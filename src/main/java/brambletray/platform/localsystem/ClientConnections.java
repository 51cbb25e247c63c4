package brambletray.platform.localsystem;

import brambletray.common.runtime.Machine;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;

/** Client connections to edges, kept for a few requests or opened for one. To be used on the loop only. */
final class ClientConnections {
    /** ms for a new connection to come up; for which an idle one is kept where the edge says nothing. */
    private static final int CONNECT_MS = 1_000;

    private static final int MAX_IDLE_MS = 3_000;
    /** Idle connections to one edge. */
    private static final int IDLE = 8;

    private static final int BODY = 1 << 20;

    /** One try: what is sent; {@code fresh}: on a new connection. */
    record PendingRequest(TrafficRequest visit, String attempt, int remainingMs, boolean fresh) {}

    private final Machine machine;
    private final Map<String, ArrayDeque<Wire>> idle = new HashMap<>();
    /** The connections that wait for a response. */
    private final Map<TrafficRequest, Wire> waiting = new HashMap<>();

    ClientConnections(Machine machine) {
        this.machine = machine;
    }

    private long now() {
        return machine.clock().nanos() / 1_000_000;
    }

    void send(String ip, int port, PendingRequest pending) {
        Wire idleConnection = pending.fresh ? null : idleConnection(ip);
        if (idleConnection != null) {
            idleConnection.write(pending);
            return;
        }
        Wire wire = new Wire(ip);
        ChannelFuture connecting = machine.dialling(CONNECT_MS, new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(new HttpClientCodec(), new HttpObjectAggregator(BODY), wire);
                    }
                })
                .connect(new InetSocketAddress(ip, port));
        connecting.addListener(done -> {
            if (!done.isSuccess()) {
                pending.visit.broke(false, now());
            } else if (pending.visit.isOver()) {
                connecting.channel().close();
            } else {
                wire.channel = connecting.channel();
                wire.write(pending);
            }
        });
    }

    /**
     * The client of this request disconnects. {@code reset}: with a TCP reset. False if no response is waited for now.
     */
    boolean disconnect(TrafficRequest visit, boolean reset) {
        Wire wire = waiting.remove(visit);
        if (wire == null) {
            return false;
        }
        wire.pending = null;
        if (reset) {
            wire.channel.config().setOption(ChannelOption.SO_LINGER, 0);
        }
        wire.channel.close();
        return true;
    }

    private Wire idleConnection(String ip) {
        ArrayDeque<Wire> of = idle.get(ip);
        for (Wire wire = of == null ? null : of.pollLast(); wire != null; wire = of.pollLast()) {
            if (wire.channel.isActive() && now() < wire.until) {
                return wire;
            }
            wire.channel.close();
        }
        return null;
    }

    private final class Wire extends SimpleChannelInboundHandler<FullHttpResponse> {
        private final String ip;
        private Channel channel;
        private PendingRequest pending;
        private long until;

        Wire(String ip) {
            this.ip = ip;
        }

        void write(PendingRequest next) {
            pending = next;
            TrafficRequest visit = next.visit;
            waiting.put(visit, this);
            FullHttpRequest request = new DefaultFullHttpRequest(
                    HttpVersion.HTTP_1_1,
                    HttpMethod.valueOf(visit.method),
                    visit.path,
                    Unpooled.wrappedBuffer(visit.body));
            request.headers()
                    .set(HttpHeaderNames.HOST, visit.route.host())
                    .set(InstanceServer.ID, next.attempt)
                    .set(InstanceServer.REMAINING, next.remainingMs);
            if (visit.body.length > 0) {
                request.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, visit.body.length);
            }
            channel.writeAndFlush(request);
            machine.loop()
                    .schedule(
                            () -> {
                                if (pending == next) {
                                    channel.close();
                                }
                            },
                            next.remainingMs,
                            java.util.concurrent.TimeUnit.MILLISECONDS);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpResponse answer) {
            PendingRequest of = pending;
            pending = null;
            boolean good = !answer.decoderResult().isFailure();
            if (of == null || !good || !HttpUtil.isKeepAlive(answer)) {
                context.close();
            }
            if (of == null) {
                return;
            }
            waiting.remove(of.visit);
            if (!good) {
                of.visit.broke(true, now());
                return;
            }
            if (HttpUtil.isKeepAlive(answer)) {
                keep(answer);
            }
            of.visit.answered(
                    answer.status().code(),
                    answer.headers().get(InstanceServer.ID),
                    answer.headers().get(InstanceServer.SEAL),
                    ByteBufUtil.getBytes(answer.content()),
                    millis(answer.headers().get(HttpHeaderNames.RETRY_AFTER)),
                    now());
        }

        private void keep(FullHttpResponse answer) {
            String keepAlive = answer.headers().get("Keep-Alive");
            int at = keepAlive == null ? -1 : keepAlive.indexOf("timeout=");
            int ms = at < 0
                    ? MAX_IDLE_MS
                    : Math.min(MAX_IDLE_MS, millis(keepAlive.substring(at + 8).split("[,; ]")[0]) - 200);
            until = now() + ms;
            ArrayDeque<Wire> of = idle.computeIfAbsent(ip, none -> new ArrayDeque<>());
            of.addLast(this);
            if (of.size() > IDLE) {
                of.pollFirst().channel.close();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            ArrayDeque<Wire> of = idle.get(ip);
            if (of != null) {
                of.remove(this);
            }
            PendingRequest lost = pending;
            pending = null;
            if (lost != null) {
                waiting.remove(lost.visit);
                lost.visit.broke(true, now());
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }

    /** Seconds as a text, fractions included, as ms; -1: none, or no number. */
    static int millis(String seconds) {
        try {
            return seconds == null ? -1 : (int) (Double.parseDouble(seconds.strip()) * 1_000);
        } catch (NumberFormatException e) {
            return -1;
        }
    }
}
