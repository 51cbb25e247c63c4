package brambletray.relay.partners;

import brambletray.common.runtime.Machine;
import brambletray.relay.emulator.Ledger;
import brambletray.relay.wire.Wire;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.io.StringWriter;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The platform's agent beside one relay: tells the list of hosts by watches, and takes notices. */
public final class Agent {
    private static final Logger LOG = LoggerFactory.getLogger(Agent.class);
    private static final JsonFactory JSON = new JsonFactory();
    private static final int BODY_MOST = 8 << 20;
    private static final long WAIT_MOST_MS = 60_000;

    /** Takes the end of a message that a relay has told; {@code retryIn} ms, 0 for none. */
    public interface Notices {
        void ended(String caller, String message, boolean handedBack, long retryIn);
    }

    private final Machine machine;
    private final Registry registry;
    private final Ledger ledger;
    private final String caller;
    private final LongSupplier world;
    private final Notices notices;
    /** For each endpoint the host that the relay was told of last. */
    private final Map<String, String> told = new HashMap<>();

    private final Set<Watch> watches = new LinkedHashSet<>();
    private ChannelFuture listener;
    private Future<?> timer;

    /**
     * {@code caller}: the relay's address, as the partners see it; {@code world}: the world's time, ns.
     */
    public Agent(
            Machine machine, Registry registry, Ledger ledger, String caller, LongSupplier world, Notices notices) {
        this.machine = machine;
        this.registry = registry;
        this.ledger = ledger;
        this.caller = caller;
        this.world = world;
        this.notices = notices;
        registry.whenChanged(this::changed);
    }

    public ChannelFuture listen(InetSocketAddress address) {
        listener = machine.listening(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline()
                                .addLast(new HttpServerCodec(), new HttpObjectAggregator(BODY_MOST), new Requests());
                    }
                })
                .bind(address);
        return listener;
    }

    public InetSocketAddress address() {
        return (InetSocketAddress) listener.channel().localAddress();
    }

    public void close() {
        if (timer != null) {
            timer.cancel(false);
        }
        listener.channel().close();
        List.copyOf(watches).forEach(w -> w.channel.close());
    }

    /** A list that a relay may be given as the one last had. */
    public String known() {
        return list(0, true);
    }

    private void changed() {
        if (timer != null) {
            timer.cancel(false);
            timer = null;
        }
        long now = world.getAsLong();
        long version = registry.version(now);
        if (!registry.isStalled()) {
            for (Watch watch : List.copyOf(watches)) {
                if (watch.after < version) {
                    watch.tell();
                }
            }
        }
        long next = registry.nextAt();
        if (next != Long.MAX_VALUE) {
            timer = machine.loop().schedule(this::changed, next - now, TimeUnit.NANOSECONDS);
        }
    }

    /** One watch that waits for something newer. */
    private final class Watch {
        private final Channel channel;
        private final long after;
        private final boolean whole;
        private final Future<?> patience;

        Watch(Channel channel, long after, boolean whole, long waitMs) {
            this.channel = channel;
            this.after = after;
            this.whole = whole;
            watches.add(this);
            patience = machine.loop().schedule(this::tell, waitMs, TimeUnit.MILLISECONDS);
        }

        private void tell() {
            if (watches.remove(this)) {
                patience.cancel(false);
                if (registry.isStalled()) {
                    return;
                }
                respond(channel, 200, list(after, whole));
            }
        }
    }

    private String list(long after, boolean whole) {
        long now = world.getAsLong();
        long version = registry.version(now);
        StringWriter text = new StringWriter();
        try (JsonGenerator out = JSON.createGenerator(text)) {
            out.writeStartObject();
            out.writeNumberField("seq", version);
            out.writeBooleanField("whole", whole);
            out.writeArrayFieldStart("hosts");
            for (Registry.Entry e : registry.after(after, whole)) {
                out.writeStartObject();
                out.writeStringField("host", e.host());
                out.writeStringField(
                        "dial",
                        e.dial().getAddress().getHostAddress() + ":" + e.dial().getPort());
                out.writeStringField("site", e.endpoint().zone());
                out.writeStringField("class", e.endpoint().partner().kind());
                out.writeNumberField("block", e.endpoint().partner().destination());
                out.writeStringField("protocol", e.endpoint().protocol());
                out.writeStringField("health", e.health());
                out.writeNumberField("share", e.endpoint().partner().listedRate());
                out.writeNumberField(
                        "born_ms", e.born() == 0 ? 0 : machine.clock().unixMillis() - (now - e.born()) / 1_000_000);
                out.writeEndObject();
                String before =
                        e.health().equals("gone") ? null : told.put(e.endpoint().name(), e.host());
                if (before != null && !before.equals(e.host())) {
                    ledger.replaced(caller, e.endpoint().name());
                }
                ledger.listed(now, caller, e.endpoint().name(), e.health().equals("ready"));
            }
            out.writeEndArray();
            out.writeEndObject();
        } catch (IOException e) {
            throw new IllegalStateException("a string cannot fail to be written", e);
        }
        return text.toString();
    }

    private static void respond(Channel to, int status, String body) {
        FullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                HttpResponseStatus.valueOf(status),
                Unpooled.copiedBuffer(body, StandardCharsets.UTF_8));
        response.headers()
                .set(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes());
        to.writeAndFlush(response);
    }

    private final class Requests extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            QueryStringDecoder uri = new QueryStringDecoder(request.uri());
            if (request.method().equals(HttpMethod.GET) && uri.path().equals("/v1/servers")) {
                watch(context.channel(), uri);
            } else if (request.method().equals(HttpMethod.POST) && uri.path().equals("/reports")) {
                report(context.channel(), request.content().toString(StandardCharsets.UTF_8));
            } else {
                respond(context.channel(), 404, "");
            }
        }

        private void watch(Channel channel, QueryStringDecoder uri) {
            long after = number(uri, "after", -1);
            boolean whole = after < 0 || after > registry.version(world.getAsLong());
            long wait = Math.min(WAIT_MOST_MS, number(uri, "wait_ms", 0));
            if (registry.isStalled()) {
                new Watch(channel, whole ? -1 : after, whole, Math.max(wait, 1));
            } else if (whole || wait <= 0 || registry.version(world.getAsLong()) > after) {
                respond(channel, 200, list(after, whole));
            } else {
                new Watch(channel, after, false, wait);
            }
        }

        private static long number(QueryStringDecoder uri, String name, long absent) {
            try {
                List<String> values = uri.parameters().get(name);
                return values == null ? absent : Long.parseLong(values.get(0));
            } catch (NumberFormatException e) {
                return absent;
            }
        }

        private void report(Channel channel, String lines) {
            try {
                for (String line : lines.lines().toList()) {
                    Wire.Fields fields = Wire.decode(line);
                    notices.ended(
                            caller,
                            fields.text("message"),
                            fields.text("outcome").equals("handed_back"),
                            fields.whole("retry_in_ms", 0));
                }
                respond(channel, 204, "");
            } catch (Wire.Malformed e) {
                LOG.warn("notice that cannot be read: {}", e.getMessage());
                respond(channel, 400, "");
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            for (Watch watch : List.copyOf(watches)) {
                if (watch.channel == context.channel()) {
                    watches.remove(watch);
                    watch.patience.cancel(false);
                }
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            if (!(cause instanceof IOException)) {
                LOG.error("agent: connection closed", cause);
            }
            context.close();
        }
    }
}
