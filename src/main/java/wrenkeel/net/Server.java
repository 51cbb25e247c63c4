package wrenkeel.net;

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
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.timeout.ReadTimeoutException;
import io.netty.handler.timeout.ReadTimeoutHandler;
import java.io.IOException;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import wrenkeel.Relay;

/** What clients see: takes messages in, answers at once, and says whether the relay serves. */
final class Server extends ChannelInitializer<Channel> {
    private static final Logger LOG = LoggerFactory.getLogger(Server.class);
    private static final int BODY_MOST = 64 * 1024, ID_MOST = 128, KEY_MOST = 256;
    /** s; a connection on which nothing has come for so long is closed. */
    private static final int SILENT_MOST = 120;
    /** ms; a longer time for a message is taken for a mistake. */
    private static final long TIME_MOST = 3_600_000;

    private final Loop loop;
    private final int mostClients;
    private final Set<Channel> clients = new HashSet<>();
    private boolean leaving;

    /** {@code mostClients}: connections at once; the rest of the descriptors is for hosts and files. */
    Server(Loop loop, int mostClients) {
        this.loop = loop;
        this.mostClients = mostClients;
    }

    @Override
    protected void initChannel(Channel channel) {
        channel.pipeline().addLast(new ReadTimeoutHandler(SILENT_MOST), new HttpServerCodec(), new Whole(),
            new Requests());
    }

    /** From now on each answer closes its connection. */
    void leave() {
        leaving = true;
    }

    /**
     * Closes the connections that clients keep; each has had its answer, for requests are answered as they
     * come.
     */
    void closeClients() {
        List.copyOf(clients).forEach(Channel::close);
    }

    /** A request that cannot be served as it stands. */
    private static final class Bad extends Exception {
        private static final long serialVersionUID = 1L;
        private final HttpResponseStatus status;

        Bad(HttpResponseStatus status, String fault) {
            super(fault);
            this.status = status;
        }

        Bad(String fault) {
            this(HttpResponseStatus.BAD_REQUEST, fault);
        }
    }

    /** Puts requests together; one that is too large is answered 413 and leaves a line in the log. */
    private static final class Whole extends HttpObjectAggregator {
        Whole() {
            super(BODY_MOST, true);
        }

        @Override
        protected void handleOversizedMessage(ChannelHandlerContext context, HttpMessage oversized)
            throws Exception {
            LOG.warn("request turned away: 413 body over {} bytes", BODY_MOST);
            super.handleOversizedMessage(context, oversized);
        }
    }

    private final class Requests extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        public void channelActive(ChannelHandlerContext context) {
            clients.add(context.channel());
            if (clients.size() > mostClients) {
                LOG.warn("connection closed: {} clients are connected", mostClients);
                context.close();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            clients.remove(context.channel());
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            boolean keep = HttpUtil.isKeepAlive(request) && request.decoderResult().isSuccess();
            try {
                if (request.decoderResult().isFailure()) {
                    throw new Bad("malformed request");
                }
                String path = request.uri().split("\\?", 2)[0];
                if (path.equals("/healthz")) {
                    respond(context, HttpResponseStatus.valueOf(leaving ? 503 : 200), 0, keep);
                } else if (!request.method().equals(HttpMethod.POST)) {
                    throw new Bad(HttpResponseStatus.METHOD_NOT_ALLOWED, "only POST hands a message in");
                } else if (context.channel().isActive()) {
                    Message message = message(request, path);
                    loop.accept(message, new ToClient(context, message.id(), keep));
                }
            } catch (Bad e) {
                LOG.warn("request turned away: {} {}", e.status.code(), e.getMessage());
                respond(context, e.status, 0, keep);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            if (!(cause instanceof IOException || cause instanceof ReadTimeoutException)) {
                LOG.error("connection of a client closed", cause);
            }
            context.close();
        }
    }

    private Message message(FullHttpRequest request, String path) throws Bad {
        HttpHeaders headers = request.headers();
        String[] parts = path.split("/");
        String name = headers.get("X-Priority-Class", parts.length > 1 ? parts[1] : "");
        if (parts.length < 2 || !parts[1].equals(name)) {
            throw new Bad(HttpResponseStatus.NOT_FOUND, "path and class differ");
        }
        Relay.MessageClass kind = loop.messageClass(name);
        if (kind == null) {
            throw new Bad(HttpResponseStatus.NOT_FOUND, "unknown class");
        }
        long destination = destination(headers.get("X-Envelope", ""));
        if (!loop.knows(name, destination)) {
            throw new Bad(HttpResponseStatus.NOT_FOUND, "unknown destination " + destination);
        }
        String key = text(headers, "Idempotency-Key", KEY_MOST, kind.effect() == Relay.Effect.KEYED);
        long time = whole(text(headers, "X-Timeout-Ms", ID_MOST, true), "X-Timeout-Ms");
        if (time < 1 || time > TIME_MOST) {
            throw new Bad("X-Timeout-Ms is not within 1 to " + TIME_MOST);
        }
        String tenant = text(headers, "X-Tenant-Id", ID_MOST, false);
        return new Message(text(headers, "X-Request-ID", ID_MOST, true), name,
            tenant == null ? 0 : loop.tenant(tenant), text(headers, "X-Route-Key", KEY_MOST, false), key,
            destination,
            System.currentTimeMillis() + time, ByteBufUtil.getBytes(request.content()));
    }

    private static String text(HttpHeaders headers, String name, int most, boolean needed) throws Bad {
        String value = headers.get(name);
        if (value == null ? needed : value.isEmpty() || value.length() > most) {
            throw new Bad(name + " is missing, empty or too long");
        }
        return value;
    }

    private static long destination(String envelope) throws Bad {
        for (String pair : envelope.split("[,;]")) {
            if (pair.strip().toLowerCase(Locale.ROOT).startsWith("dest=")) {
                return whole(pair.strip().substring(5), "dest");
            }
        }
        throw new Bad("X-Envelope names no dest");
    }

    private static long whole(String text, String name) throws Bad {
        try {
            return Long.parseLong(text.strip());
        } catch (NumberFormatException e) {
            throw new Bad(name + " is not a whole number");
        }
    }

    /** The answer to one client. */
    private final class ToClient implements Loop.Answer {
        private final ChannelHandlerContext context;
        private final String id;
        private final boolean keep;

        ToClient(ChannelHandlerContext context, String id, boolean keep) {
            this.context = context;
            this.id = id;
            this.keep = keep;
        }

        @Override
        public void taken() {
            respond(context, HttpResponseStatus.ACCEPTED, 0, keep).addListener(done -> {
                if (!done.isSuccess()) {
                    loop.withdraw(id);
                }
            });
        }

        @Override
        public void refused(long retryAfter) {
            respond(context, HttpResponseStatus.SERVICE_UNAVAILABLE, retryAfter, keep);
        }

        @Override
        public void failed() {
            respond(context, HttpResponseStatus.GATEWAY_TIMEOUT, 0, keep);
        }
    }

    private ChannelFuture respond(ChannelHandlerContext context, HttpResponseStatus status,
                                  long retryAfter, boolean keep) {
        FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status,
            Unpooled.EMPTY_BUFFER);
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0);
        if (retryAfter > 0) {
            response.headers().set(HttpHeaderNames.RETRY_AFTER,
                String.format(Locale.ROOT, "%.3f", retryAfter / 1e6));
        }
        boolean close = !keep || leaving;
        if (close) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        ChannelFuture written = context.writeAndFlush(response);
        if (close) {
            written.addListener(ChannelFutureListener.CLOSE);
        }
        return written;
    }
}
