package brambletray.relay.http.clients;

import brambletray.common.runtime.Clock;
import brambletray.common.runtime.Machine;
import brambletray.relay.core.MessageReceiver;
import brambletray.relay.core.RateLimitedLog;
import brambletray.relay.core.SubmissionResult;
import brambletray.relay.message.Message;
import brambletray.relay.operations.Drain;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.CodecException;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.math.BigDecimal;
import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * What clients see: takes messages in, answers at once, and says whether the relay serves. Clients are not
 * trusted: each request has a time and a size, and a connection on which no request is open is soon closed.
 */
public final class Server extends ChannelInitializer<Channel> {
    private static final Logger LOG = LoggerFactory.getLogger(Server.class);
    private static final int BODY_MOST = 64 * 1024;
    private static final int HEAD_MOST = 8 * 1024;
    /** ns; from its first byte (on a new connection from the connect) until a request is here as a whole. */
    private static final long REQUEST_MOST = TimeUnit.MILLISECONDS.toNanos(2_300);
    /** ns; a connection with no request open is closed after this. */
    private static final long IDLE_MOST = TimeUnit.MILLISECONDS.toNanos(2_300);
    /**
     * After the last answer on a connection: how long (ns) and how far (bytes) what still comes is thrown
     * away. To close with bytes unread resets the connection, and the answer may be lost with it.
     */
    private static final long LINGER = TimeUnit.MILLISECONDS.toNanos(500);

    private static final int DISCARD_MOST = 256 * 1024;
    /** ms; between looks for connections whose time is over. */
    private static final long SWEEP = 100;

    private static final String MESSAGES = "/v1/messages/";

    private final MessageReceiver intake;
    private final Submission submission;
    private final Clock clock;
    private final int mostClients;
    private final RateLimitedLog complaints;
    private final Set<Client> clients = new LinkedHashSet<>();
    private final Drain drain;
    /** How a message ended, as JSON, by its id; null for one that is not known. Null itself: not served. */
    private Function<String, String> answers;

    private final Map<String, Supplier<String>> views = new HashMap<>();

    /**
     * {@code mostClients}: connections at once; the rest of the descriptors is for hosts and files. In a
     * {@code drain} each answer closes its connection.
     */
    public Server(MessageReceiver intake, Machine machine, int mostClients, Drain drain) {
        this.drain = drain;
        this.intake = intake;
        this.clock = machine.clock();
        this.submission = new Submission(intake, clock);
        this.complaints = new RateLimitedLog(LOG, clock);
        this.mostClients = mostClients;
        machine.loop().scheduleWithFixedDelay(this::sweep, SWEEP, SWEEP, TimeUnit.MILLISECONDS);
    }

    @Override
    protected void initChannel(Channel channel) {
        Client client = new Client(channel);
        channel.pipeline()
                .addLast(
                        client,
                        new Decoder(),
                        new HttpResponseEncoder(),
                        new Heads(client),
                        new Whole(client),
                        new Requests(client));
    }

    /** Serves GET of this path from now on: what it gives is JSON. */
    public void view(String path, Supplier<String> told) {
        views.put(path, told);
    }

    /** Serves GET /v1/messages/ID from now on. */
    public void answers(Function<String, String> byId) {
        answers = byId;
    }

    /** Connections now. */
    public int connections() {
        return clients.size();
    }

    /** Closes the connections on which no request is under way. */
    public void closeIdle() {
        List.copyOf(clients).stream().filter(client -> !client.busy).forEach(client -> client.channel.close());
    }

    /**
     * Closes the connections that clients keep; each has had its answer, for requests are answered as they
     * come.
     */
    public void closeClients() {
        List.copyOf(clients).forEach(client -> client.channel.close());
    }

    private void sweep() {
        long now = clock.nanos();
        List.copyOf(clients).forEach(client -> client.look(now));
    }

    /** One connection: how long it has been at its request, or idle. It stands first, before the decoder. */
    private final class Client extends ChannelInboundHandlerAdapter {
        private final Channel channel;
        /** When it connected, had its last answer, or sent the first byte of the request that is open. */
        private long since = clock.nanos();
        /** A request has begun; some request has been answered; the last answer has been given. */
        private boolean busy;

        private boolean served;
        private boolean last;

        private int discarded;

        Client(Channel channel) {
            this.channel = channel;
        }

        @Override
        public void channelActive(ChannelHandlerContext context) {
            clients.add(this);
            if (clients.size() > mostClients) {
                // Guards clients that ask against crowds that connect and say nothing.
                Client gone = clients.stream()
                        .filter(client -> client != this && client.rank() < 3)
                        .min(Comparator.comparingInt(Client::rank).thenComparingLong(client -> client.since))
                        .orElse(this);
                complaints.warn("connection closed: " + mostClients + " clients are connected");
                gone.channel.close();
            }
        }

        /** In which order connections make room: over, never asked, idle; one at its request does not. */
        private int rank() {
            return last ? 0 : busy ? 3 : served ? 2 : 1;
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            clients.remove(this);
            context.fireChannelInactive();
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object bytes) {
            if (last) {
                discarded += ((ByteBuf) bytes).readableBytes();
                ReferenceCountUtil.release(bytes);
                if (discarded > DISCARD_MOST) {
                    channel.config().setAutoRead(false);
                }
                return;
            }
            if (!busy) {
                busy = true;
                since = served ? clock.nanos() : since;
            }
            context.fireChannelRead(bytes);
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext context) {
            // Guards memory against a client that asks on and on, and reads no answer.
            if (!channel.isWritable()) {
                channel.close();
            }
        }

        /** What time asks for: a request that takes too long is answered 408, an idle connection closed. */
        private void look(long now) {
            if (last ? now - since >= LINGER : !busy && now - since >= IDLE_MOST) {
                channel.close();
            } else if (!last && busy && now - since >= REQUEST_MOST) {
                turnAway(new Bad(HttpResponseStatus.REQUEST_TIMEOUT, "not complete in time"));
            }
        }

        /** Answers what cannot be read further: nothing after it on this connection is served. */
        void turnAway(Bad bad) {
            if (!last) {
                complaints.warn("request turned away: " + bad.status.code() + " " + bad.getMessage());
                respond(bad.status, 0, false);
            }
        }

        ChannelFuture respond(HttpResponseStatus status, long retryAfter, boolean keep) {
            return respond(status, retryAfter, keep, null);
        }

        /** {@code json}: its body, null for none. */
        ChannelFuture respond(HttpResponseStatus status, long retryAfter, boolean keep, String json) {
            FullHttpResponse response = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1,
                    status,
                    json == null ? Unpooled.EMPTY_BUFFER : Unpooled.copiedBuffer(json, StandardCharsets.UTF_8));
            response.headers()
                    .set(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes());
            if (json != null) {
                response.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
            }
            if (retryAfter > 0) {
                response.headers().set(HttpHeaderNames.RETRY_AFTER, seconds(retryAfter));
            }
            last = !keep || drain.sendsAway();
            busy = false;
            served = true;
            since = clock.nanos();
            if (!last) {
                return channel.writeAndFlush(response);
            }
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            // The client closes when it has read this; look() does if it does not.
            return channel.writeAndFlush(response).addListener(done -> ((DuplexChannel) channel).shutdownOutput());
        }
    }

    /** Decimal seconds, rounded up to a millisecond. */
    private static String seconds(long micros) {
        return BigDecimal.valueOf((micros + 999) / 1_000, 3).toPlainString();
    }

    /** Guards against a request hidden in another's body: two lengths are one too many. */
    private static final class Decoder extends HttpRequestDecoder {
        Decoder() {
            super(new HttpDecoderConfig().setMaxHeaderSize(HEAD_MOST));
        }

        @Override
        protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
            throw new IllegalArgumentException("both Content-Length and Transfer-Encoding");
        }
    }

    /** Looks at a request as soon as its head is here: what can't be served is not read to its end. */
    private static final class Heads extends ChannelInboundHandlerAdapter {
        private final Client client;

        Heads(Client client) {
            this.client = client;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object part) {
            try {
                if (part instanceof HttpObject object && object.decoderResult().isFailure()) {
                    throw new Bad("malformed request");
                }
                if (part instanceof HttpRequest head) {
                    check(head);
                }
            } catch (Bad bad) {
                client.turnAway(bad);
            }
            if (client.last) {
                ReferenceCountUtil.release(part);
            } else {
                context.fireChannelRead(part);
            }
        }

        private static void check(HttpRequest head) throws Bad {
            List<String> encodings = head.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
            boolean length = head.headers().contains(HttpHeaderNames.CONTENT_LENGTH);
            if (!encodings.isEmpty()
                    && (length || encodings.size() > 1 || !encodings.get(0).equalsIgnoreCase("chunked"))) {
                throw new Bad("Transfer-Encoding other than chunked, or a length with it");
            }
            if (HttpUtil.getContentLength(head, 0L) > BODY_MOST) {
                throw tooLarge();
            }
        }
    }

    private static Bad tooLarge() {
        return new Bad(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "body over " + BODY_MOST + " bytes");
    }

    /** Puts requests together. */
    private static final class Whole extends HttpObjectAggregator {
        private final Client client;

        Whole(Client client) {
            super(BODY_MOST);
            this.client = client;
        }

        @Override
        protected void handleOversizedMessage(ChannelHandlerContext context, HttpMessage oversized) {
            client.turnAway(tooLarge());
        }
    }

    /** Serves a request once all that came with it has been seen: clients send one at a time. */
    private final class Requests extends SimpleChannelInboundHandler<FullHttpRequest> {
        private final Client client;
        private FullHttpRequest next;

        Requests(Client client) {
            this.client = client;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            if (next == null && !client.last) {
                next = request.retain();
                return;
            }
            drop();
            client.turnAway(new Bad("more than one request at a time"));
        }

        private void drop() {
            ReferenceCountUtil.release(next);
            next = null;
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext context) {
            if (next != null && !client.last && context.channel().isActive()) {
                serve(next);
            }
            drop();
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            drop();
        }

        private void serve(FullHttpRequest request) {
            boolean keep = HttpUtil.isKeepAlive(request);
            try {
                String path = request.uri().split("\\?", 2)[0];
                if (path.equals("/healthz")) {
                    client.respond(HttpResponseStatus.valueOf(drain.welcome() ? 200 : 503), 0, keep);
                } else if (answers != null && request.method().equals(HttpMethod.GET) && path.startsWith(MESSAGES)) {
                    String told = answers.apply(path.substring(MESSAGES.length()));
                    if (told == null) {
                        throw new Bad(HttpResponseStatus.NOT_FOUND, "no such message, or too old");
                    }
                    client.respond(HttpResponseStatus.OK, 0, keep, told);
                } else if (request.method().equals(HttpMethod.GET) && views.containsKey(path)) {
                    client.respond(
                            HttpResponseStatus.OK, 0, keep, views.get(path).get());
                } else if (!request.method().equals(HttpMethod.POST)) {
                    throw new Bad(HttpResponseStatus.METHOD_NOT_ALLOWED, "only POST hands a message in");
                } else {
                    Message message = submission.message(request, path);
                    intake.accept(message, new ToClient(client, message.id(), keep));
                }
            } catch (Bad bad) {
                complaints.warn("request turned away: " + bad.status.code() + " " + bad.getMessage());
                client.respond(bad.status, 0, keep);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            if (!(cause instanceof IOException || cause instanceof CodecException)) {
                LOG.error("connection of a client closed", cause);
            }
            context.close();
        }
    }

    /** The answer to one client. */
    private final class ToClient implements SubmissionResult {
        private final Client client;
        private final String id;
        private final boolean keep;

        ToClient(Client client, String id, boolean keep) {
            this.client = client;
            this.id = id;
            this.keep = keep;
        }

        @Override
        public void accepted() {
            client.respond(HttpResponseStatus.ACCEPTED, 0, keep).addListener(done -> {
                if (!done.isSuccess()) {
                    intake.withdraw(id);
                }
            });
        }

        @Override
        public void duplicate() {
            client.respond(HttpResponseStatus.ACCEPTED, 0, keep);
        }

        @Override
        public void conflict() {
            complaints.warn("request turned away: 409 its id belongs to another message");
            client.respond(HttpResponseStatus.CONFLICT, 0, keep);
        }

        @Override
        public void refused(long retryAfter) {
            client.respond(HttpResponseStatus.SERVICE_UNAVAILABLE, retryAfter, keep);
        }

        @Override
        public void failed() {
            client.respond(HttpResponseStatus.GATEWAY_TIMEOUT, 0, keep);
        }
    }
}
