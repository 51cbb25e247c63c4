package brambletray.relay.partners;

import brambletray.common.runtime.Machine;
import brambletray.relay.emulator.Answer;
import brambletray.relay.emulator.Call;
import brambletray.relay.emulator.Endpoint;
import brambletray.relay.emulator.Step;
import brambletray.relay.emulator.World;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.math.BigDecimal;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The endpoints of a {@link World} as HTTP/1.1 and MQTT servers on one machine, real or simulated: it
 * carries calls to them and their answers back, and moves the world on with the machine's clock. It decides
 * nothing.
 */
public final class PartnerFront {
    private static final Logger LOG = LoggerFactory.getLogger(PartnerFront.class);
    private static final int BODY_MOST = 256 * 1024;
    private static final byte[] NOISE = "\u0001 this is no answer\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1);

    /** Where an endpoint listens; port 0 for any that is free. */
    public interface Addresses {
        InetSocketAddress of(Endpoint endpoint);
    }

    private final Machine machine;
    private final World world;
    private final long start;
    private final Map<Endpoint, Site> sites = new LinkedHashMap<>();
    private BiConsumer<InetSocketAddress, Boolean> silence;
    private Consumer<Step> whenBegun = step -> {};
    private Future<?> worldTimer;

    /** The world's time 0 is now. */
    public PartnerFront(Machine machine, World world) {
        this.machine = machine;
        this.world = world;
        this.start = machine.clock().nanos();
    }

    /**
     * How a machine vanishes and comes back, where the network can do it (simulated ones can). Without it, an
     * endpoint that has vanished reads and accepts nothing, which on real sockets looks the same but for
     * connections that the system brings up by itself.
     */
    public void silence(BiConsumer<InetSocketAddress, Boolean> how) {
        silence = how;
    }

    /** Told of each of the script's events as it begins. */
    public void whenBegun(Consumer<Step> told) {
        whenBegun = told;
    }

    /** The world's time; ns. */
    public long now() {
        return machine.clock().nanos() - start;
    }

    /** Binds all endpoints; done when each listens. */
    public List<ChannelFuture> listen(Addresses addresses) {
        List<ChannelFuture> bound = new ArrayList<>();
        for (Endpoint endpoint : world.endpoints()) {
            Site site = new Site(endpoint);
            sites.put(endpoint, site);
            endpoint.sink(site);
            site.listener = machine.listening(site.setUp()).bind(addresses.of(endpoint));
            bound.add(site.listener);
        }
        return bound;
    }

    /** Lets the script begin. */
    public void begin() {
        moveWorld();
    }

    /** Where an endpoint listens. */
    public InetSocketAddress address(Endpoint endpoint) {
        Site site = sites.get(endpoint);
        if (site.address == null) {
            site.address = (InetSocketAddress) site.listener.channel().localAddress();
        }
        return site.address;
    }

    /** Closes all listeners and connections. */
    public void close() {
        if (worldTimer != null) {
            worldTimer.cancel(false);
        }
        sites.values().forEach(Site::shutDown);
    }

    private void moveWorld() {
        List<Step> begun = world.advance(now());
        begun.forEach(whenBegun);
        sites.values().forEach(Site::arm);
        long next = world.nextAt();
        if (next != Long.MAX_VALUE) {
            worldTimer = machine.loop().schedule(this::moveWorld, Math.max(0, next - now()), TimeUnit.NANOSECONDS);
        }
    }

    /** The script's events that are due come before what arrives at the same instant. */
    private void moveWorldIfDue() {
        if (world.nextAt() <= now()) {
            worldTimer.cancel(false);
            moveWorld();
        }
    }

    /** A connection of a caller, of whatever protocol. */
    interface Line {
        Channel channel();

        void answer(NetCall call, Answer answer);

        /** Ends it by a reset. */
        default void reset() {
            channel().config().setOption(ChannelOption.SO_LINGER, 0);
            channel().close();
        }
    }

    /** A call, and the connection that it came on. */
    static final class NetCall extends Call {
        private final Line line;

        NetCall(Line line, String caller, String message, String key, boolean first) {
            super(caller, message, key, first);
            this.line = line;
        }
    }

    /** What connections of an endpoint need of it. */
    final class Door {
        private final Site site;

        private Door(Site site) {
            this.site = site;
        }

        /** A connection has come; false, and it is reset, where there is no room for it. */
        boolean enter(Line line) {
            moveWorldIfDue();
            boolean admitted = site.endpoint.reach() == Endpoint.Reach.OPEN && site.endpoint.connect(now());
            if (admitted) {
                site.connections.add(line);
            } else {
                line.reset();
            }
            return admitted;
        }

        /** One that was let in has ended. */
        void leave(Line line) {
            site.connections.remove(line);
            site.endpoint.disconnect();
        }

        void arrive(NetCall call) {
            moveWorldIfDue();
            site.endpoint.arrive(now(), call);
            site.arm();
        }

        void abandon(NetCall call) {
            site.endpoint.abandon(now(), call);
            site.arm();
        }

        /** What this endpoint keeps of its MQTT clients; lost with its process. */
        Map<String, MqttSession> sessions() {
            return site.sessions;
        }

        void detach(NetCall call) {
            site.endpoint.detach(call);
        }

        void attach(NetCall call) {
            site.endpoint.attach(call);
        }

        void heard(NetCall call) {
            site.endpoint.heard(now(), call);
        }

        void ended(NetCall call) {
            site.endpoint.ended(now(), call);
        }
    }

    /** One endpoint's listener and connections. */
    private final class Site implements Endpoint.Sink {
        private final Endpoint endpoint;
        private final Set<Line> connections = new LinkedHashSet<>();
        private final Map<String, MqttSession> sessions = new LinkedHashMap<>();
        private ChannelFuture listener;
        private InetSocketAddress address;
        private Future<?> timer;
        private long armedFor = Long.MAX_VALUE;
        private boolean silent;

        Site(Endpoint endpoint) {
            this.endpoint = endpoint;
        }

        ChannelInitializer<Channel> setUp() {
            return new ChannelInitializer<>() {
                @Override
                protected void initChannel(Channel channel) {
                    if (!endpoint.protocol().equals("http")) {
                        MqttPartner.setUp(channel, new Door(Site.this));
                        return;
                    }
                    channel.pipeline()
                            .addLast(
                                    new HttpRequestDecoder(),
                                    new HttpResponseEncoder(),
                                    new HttpObjectAggregator(BODY_MOST),
                                    new Connection(Site.this));
                }
            };
        }

        /** Wakes up when the endpoint has something to end. */
        void arm() {
            long next = endpoint.nextAt();
            if (next == armedFor) {
                return;
            }
            if (timer != null) {
                timer.cancel(false);
            }
            armedFor = next;
            timer = next == Long.MAX_VALUE
                    ? null
                    : machine.loop()
                            .schedule(
                                    () -> {
                                        armedFor = Long.MAX_VALUE;
                                        endpoint.advance(now());
                                        arm();
                                    },
                                    Math.max(0, next - now()),
                                    TimeUnit.NANOSECONDS);
        }

        @Override
        public void answer(Call call, Answer answer) {
            ((NetCall) call).line.answer((NetCall) call, answer);
        }

        @Override
        public void reachChanged() {
            switch (endpoint.reach()) {
                case OPEN -> {
                    if (silent) {
                        silent = false;
                        speak();
                    } else if (!listener.channel().isOpen()) {
                        listener = machine.listening(setUp()).bind(address);
                        listener.addListener(done -> {
                            if (!done.isSuccess()) {
                                LOG.error(
                                        "endpoint {} cannot listen again on {}: {}",
                                        endpoint.name(),
                                        address,
                                        done.cause().toString());
                            }
                        });
                    }
                }
                case REFUSED -> {
                    sessions.clear();
                    address(endpoint);
                    listener.channel().close();
                    resetAll();
                }
                case SILENT -> {
                    silent = true;
                    if (silence != null) {
                        silence.accept(address(endpoint), true);
                    } else {
                        listener.channel().config().setAutoRead(false);
                        connections.forEach(line -> line.channel().config().setAutoRead(false));
                    }
                }
            }
        }

        private void speak() {
            if (silence != null) {
                silence.accept(address(endpoint), false);
            } else {
                resetAll();
                listener.channel().config().setAutoRead(true);
            }
        }

        private void resetAll() {
            List.copyOf(connections).forEach(Line::reset);
        }

        void shutDown() {
            if (timer != null) {
                timer.cancel(false);
            }
            listener.channel().close();
            resetAll();
        }
    }

    /** One connection of a caller, with one call at a time. */
    private final class Connection extends SimpleChannelInboundHandler<FullHttpRequest> implements Line {
        private final Site site;
        private Channel channel;
        private NetCall call;
        /** The call that was answered last on this connection. */
        private NetCall answered;

        private boolean admitted;
        /** The last call is one of several messages, which its answer names. */
        private boolean bundled;

        private boolean fresh = true;
        private long idleSince;
        private Future<?> idleTimer;

        Connection(Site site) {
            this.site = site;
        }

        @Override
        public void channelActive(ChannelHandlerContext context) {
            channel = context.channel();
            moveWorldIfDue();
            admitted = site.endpoint.reach() == Endpoint.Reach.OPEN && site.endpoint.connect(now());
            if (!admitted) {
                reset();
                return;
            }
            site.connections.add(this);
            idle();
        }

        private void idle() {
            idleSince = machine.clock().nanos();
            if (idleTimer == null) {
                watchIdle(site.endpoint.partner().connections().idle());
            }
        }

        private void watchIdle(long left) {
            idleTimer = machine.loop()
                    .schedule(
                            () -> {
                                idleTimer = null;
                                long more = idleSince
                                        + site.endpoint.partner().connections().idle()
                                        - machine.clock().nanos();
                                if (call == null && more <= 0) {
                                    channel.close();
                                } else if (channel.isActive()) {
                                    watchIdle(Math.max(more, 1_000_000));
                                }
                            },
                            left,
                            TimeUnit.NANOSECONDS);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            String id = request.headers().get("X-Request-ID");
            boolean several =
                    site.endpoint.partner().bundle() > 1 && request.uri().equals(Bundle.PATH);
            if (request.decoderResult().isFailure()
                    || !request.method().equals(HttpMethod.POST)
                    || !several && (!request.uri().equals("/v1/messages") || id == null)) {
                respond(HttpResponseStatus.BAD_REQUEST, null, null, false);
                return;
            }
            if (call != null) {
                // One call at a time: what comes before the answer cannot be served.
                reset();
                return;
            }
            String caller =
                    ((InetSocketAddress) channel.remoteAddress()).getAddress().getHostAddress();
            if (several) {
                List<Bundle.Part> parts = Bundle.read(ByteBufUtil.getBytes(request.content()));
                if (parts.isEmpty() || parts.size() > site.endpoint.partner().bundle()) {
                    respond(
                            parts.isEmpty()
                                    ? HttpResponseStatus.BAD_REQUEST
                                    : HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE,
                            null,
                            null,
                            true);
                    return;
                }
                List<NetCall> calls = new ArrayList<>();
                for (Bundle.Part part : parts) {
                    calls.add(new NetCall(this, caller, part.id(), part.key(), fresh));
                }
                call = calls.get(0);
                call.together(calls.subList(1, calls.size()));
            } else {
                call = new NetCall(this, caller, id, request.headers().get("Idempotency-Key"), fresh);
            }
            bundled = several;
            fresh = false;
            moveWorldIfDue();
            if (call != null) {
                site.endpoint.arrive(now(), call);
                site.arm();
            }
        }

        @Override
        public Channel channel() {
            return channel;
        }

        @Override
        public void answer(NetCall ended, Answer answer) {
            if (ended != call) {
                return;
            }
            call = null;
            answered = ended;
            if (answer instanceof Answer.Delivered delivered) {
                respond(
                        HttpResponseStatus.OK,
                        bundled ? Bundle.accepted(ended) : Unpooled.EMPTY_BUFFER,
                        delivered.load(),
                        null,
                        true);
            } else if (answer instanceof Answer.Refused refused) {
                respond(
                        refused.told() > 0
                                ? HttpResponseStatus.TOO_MANY_REQUESTS
                                : HttpResponseStatus.SERVICE_UNAVAILABLE,
                        refused.load(),
                        refused.told() > 0 ? seconds(refused.told()) : null,
                        true);
            } else if (answer instanceof Answer.Failed failed) {
                respond(HttpResponseStatus.INTERNAL_SERVER_ERROR, failed.load(), null, true);
            } else if (answer instanceof Answer.Spoilt) {
                ByteBuf noise = Unpooled.wrappedBuffer(NOISE);
                channel.pipeline().firstContext().writeAndFlush(noise);
            } else {
                reset();
            }
            idle();
        }

        private void respond(HttpResponseStatus status, Answer.Load load, String retryAfter, boolean keep) {
            respond(status, Unpooled.EMPTY_BUFFER, load, retryAfter, keep);
        }

        private void respond(
                HttpResponseStatus status, ByteBuf body, Answer.Load load, String retryAfter, boolean keep) {
            FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body);
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
            if (load != null) {
                response.headers()
                        .set("X-Server-Load", String.format(Locale.ROOT, "x0=%.3f,x1=%.3f", load.left(), load.limit()));
            }
            if (retryAfter != null) {
                response.headers().set(HttpHeaderNames.RETRY_AFTER, retryAfter);
            }
            ChannelFuture written = channel.writeAndFlush(response);
            if (!keep) {
                written.addListener(done -> channel.close());
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            if (idleTimer != null) {
                idleTimer.cancel(false);
            }
            if (admitted) {
                site.connections.remove(this);
                site.endpoint.disconnect();
            }
            if (call != null) {
                NetCall gone = call;
                call = null;
                site.endpoint.abandon(now(), gone);
                site.arm();
            } else if (answered != null) {
                site.endpoint.ended(now(), answered);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            if (!(cause instanceof IOException)) {
                LOG.error("endpoint {}: connection closed", site.endpoint.name(), cause);
            }
            context.close();
        }
    }

    /** Decimal seconds, rounded up to a microsecond: a wait that is told is never too short. */
    private static String seconds(long nanos) {
        return BigDecimal.valueOf((nanos + 999) / 1_000, 6).toPlainString();
    }
}
