package brambletray.relay.http.hosts;

import brambletray.common.runtime.Clock;
import brambletray.common.runtime.Machine;
import brambletray.relay.control.Relay.Outcome;
import brambletray.relay.core.CallReply;
import brambletray.relay.core.DescriptorBudget;
import brambletray.relay.core.DescriptorBudget.Owner;
import brambletray.relay.core.Host;
import brambletray.relay.core.HostTransport;
import brambletray.relay.core.RateLimitedLog;
import brambletray.relay.message.Message;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.NoRouteToHostException;
import java.net.SocketException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.IntConsumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Connections to hosts: carries out one call at a time on each, and tells what came back. One thread. */
public final class HostPool implements HostTransport {
    private static final Logger LOG = LoggerFactory.getLogger(HostPool.class);
    /** ms; a connection is not used again, and is closed, so long before the host may close it. */
    private static final long IDLE_MARGIN = 1_000;

    private static final long SWEEP = 250;
    /** ns; an answer that has begun and is not at its end by then will not be waited for. */
    private static final long ANSWER_MOST = TimeUnit.SECONDS.toNanos(2);
    /** Bytes of an answer's head and body, and 1xx answers ahead of it; what goes beyond is spoilt. */
    private static final int HEAD_MOST = 8 * 1024;

    private static final int BODY_MOST = 64 * 1024;
    private static final int AHEAD_MOST = 8;
    /** ns; a connection rests so long before its next call: more may come right behind an answer. */
    private static final long REST = TimeUnit.MILLISECONDS.toNanos(5);

    /** One message of a call, from when it was asked for until its reply. */
    private final class Part implements HostTransport.Call {
        private final Call call;
        private final Message message;
        private final Consumer<CallReply> whenEnded;
        private final long patience;
        private final Future<?> timer;
        private boolean ended;

        private Part(Call call, HostTransport.Part asked) {
            this.call = call;
            this.message = asked.message();
            this.patience = asked.timeoutUs();
            this.whenEnded = asked.onReply();
            this.timer = loop.schedule(this::giveUp, patience, TimeUnit.MICROSECONDS);
        }

        /** Stops waiting. Closing the connection, with the last message of the call, is how a host learns. */
        @Override
        public void cancel() {
            abandon(Outcome.CANCELLED);
        }

        /** Its time is up. */
        private void giveUp() {
            abandon(call.written ? Outcome.TIMEOUT : Outcome.CONNECT_FAILED);
        }

        private void abandon(Outcome outcome) {
            if (!ended) {
                end(call.reply(outcome));
                if (call.ended() && call.channel != null) {
                    call.channel.close();
                }
            }
        }

        private void end(CallReply reply) {
            if (!ended) {
                ended = true;
                timer.cancel(false);
                if (call.ended()) {
                    pool(call.host).connecting.remove(call);
                }
                whenEnded.accept(call.reused ? reply.onReusedConnection() : reply);
            }
        }
    }

    /** One call, of one message or of several that share its connection and slot. */
    private final class Call {
        private final Host host;
        private final List<Part> parts = new ArrayList<>(1);
        private final long began = clock.nanos();
        private Channel channel;
        private boolean written;
        private boolean reused;

        private Call(Host host, List<HostTransport.Part> asked) {
            this.host = host;
            asked.forEach(part -> parts.add(new Part(this, part)));
        }

        private boolean ended() {
            return parts.stream().allMatch(part -> part.ended);
        }

        /** True when its answer speaks of each of its messages; known from when it goes out. */
        private boolean bundled() {
            return parts.size() > 1;
        }

        private void abandon(Outcome outcome) {
            parts.forEach(part -> part.abandon(outcome));
        }

        private void end(Outcome outcome) {
            end(reply(outcome));
        }

        private void end(CallReply reply) {
            parts.forEach(part -> part.end(reply));
        }

        /** The answer has been read to its end; a 200 to several messages speaks of each of them. */
        private void end(CallReply reply, byte[] body) {
            if (!bundled() || reply.outcome() != Outcome.OK) {
                end(reply);
                return;
            }
            Map<String, CallReply> replies = Batch.replies(reply, body);
            for (Part part : parts) {
                part.end(replies.getOrDefault(part.message.id(), reply.withOutcome(Outcome.ERROR, false)));
            }
        }

        private CallReply reply(Outcome outcome) {
            return new CallReply(outcome, false, 0, latency(), -1, -1);
        }

        private long latency() {
            return (clock.nanos() - began) / 1_000;
        }
    }

    private static final class Pool {
        /** Idle connections, the latest used last. */
        final ArrayDeque<Connection> idle = new ArrayDeque<>();

        final Set<Connection> open = new LinkedHashSet<>();
        /** Calls of which no byte has gone out. */
        final Set<Call> connecting = new LinkedHashSet<>();

        InetSocketAddress dial;
    }

    private final EventLoop loop;
    private final Clock clock;
    private final Bootstrap bootstrap;
    private final long idleLimit;
    private final IntConsumer whenWritten;
    private final Map<Host, Pool> pools = new LinkedHashMap<>();
    private final DescriptorBudget descriptors;
    private final RateLimitedLog complaints;

    /** {@code whenWritten}: told how many messages a call carries, once its last byte has been written. */
    public HostPool(
            Machine machine,
            long connectTimeout,
            long keepAlive,
            IntConsumer whenWritten,
            DescriptorBudget descriptors) {
        this.whenWritten = whenWritten;
        this.descriptors = descriptors;
        this.complaints = new RateLimitedLog(LOG, machine.clock());
        this.loop = machine.loop();
        this.clock = machine.clock();
        long millis = keepAlive / 1_000;
        this.idleLimit = TimeUnit.MILLISECONDS.toNanos(Math.max(millis / 2, millis - IDLE_MARGIN));
        this.bootstrap = machine.dialling((int) Math.max(1, connectTimeout / 1_000), new ChannelInitializer<Channel>() {
            @Override
            protected void initChannel(Channel channel) {
                Connection connection = new Connection();
                channel.pipeline()
                        .addLast(connection.new Arrivals(), connection.decoder, new HttpRequestEncoder(), connection);
            }
        });
        loop.scheduleWithFixedDelay(this::sweep, SWEEP, SWEEP, TimeUnit.MILLISECONDS);
    }

    private Pool pool(Host host) {
        return pools.computeIfAbsent(host, h -> new Pool());
    }

    @Override
    public HostTransport.Call call(Host host, Message message, long patience, Consumer<CallReply> whenEnded) {
        return begin(host, List.of(new HostTransport.Part(message, patience, whenEnded)))
                .get(0);
    }

    @Override
    public List<HostTransport.Call> callBatch(Host host, List<HostTransport.Part> asked) {
        List<HostTransport.Call> calls = new ArrayList<>();
        int from = 0;
        int bytes = 0;
        for (int i = 0; i < asked.size(); i++) {
            int size = Batch.size(asked.get(i).message());
            if (i > from && bytes + size > BODY_MOST) {
                // Guards the protocol's bound on bodies: what goes beyond it travels by itself.
                calls.addAll(begin(host, asked.subList(from, i)));
                from = i;
                bytes = 0;
            }
            bytes += size;
        }
        calls.addAll(begin(host, asked.subList(from, asked.size())));
        return calls;
    }

    private List<Part> begin(Host host, List<HostTransport.Part> asked) {
        Call call = new Call(host, asked);
        // Those that end before the call goes out are taken off it.
        List<Part> begun = List.copyOf(call.parts);
        Pool pool = pool(host);
        pool.connecting.add(call);
        start(call, pool);
        return begun;
    }

    /** Uses the latest idle connection that has rested, or waits until one has. */
    private void start(Call call, Pool pool) {
        Host host = call.host;
        if (call.ended()) {
            return;
        }
        pool.idle.stream()
                .filter(connection -> !connection.usable(host))
                .toList()
                .forEach(connection -> connection.channel.close());
        Connection free = null;
        for (Connection connection : pool.idle) {
            free = connection.channel.isActive() && connection.rested() ? connection : free;
        }
        if (free != null) {
            pool.idle.remove(free);
            call.reused = true;
            free.begin(call);
            return;
        }
        if (pool.idle.stream().anyMatch(connection -> connection.channel.isActive())) {
            loop.schedule(() -> start(call, pool), REST, TimeUnit.NANOSECONDS);
            return;
        }
        if (!mayOpen()) {
            complaints.warn("no descriptor is left for a call to a host: " + descriptors);
            loop.execute(() -> call.end(Outcome.CONNECT_FAILED));
            return;
        }
        ChannelFuture connect = bootstrap.connect(host.address);
        call.channel = connect.channel();
        if (connect.isDone()
                && !connect.isSuccess()
                && !call.channel.closeFuture().isDone()) {
            // Guards the account: where the system gave no socket, nothing is open that could be closed.
            descriptors.release(Owner.HOSTS);
        } else {
            call.channel.closeFuture().addListener(closed -> descriptors.release(Owner.HOSTS));
        }
        connect.addListener(done -> {
            if (!done.isSuccess()) {
                call.end(cut(done.cause()) ? Outcome.CONNECT_RESET : Outcome.CONNECT_FAILED);
            } else if (call.ended()) {
                call.channel.close();
            } else {
                Connection connection = call.channel.pipeline().get(Connection.class);
                connection.pool = pool;
                pool.open.add(connection);
                connection.begin(call);
            }
        });
    }

    /** Takes a descriptor; where none is left, from the connection that has been idle for longest. */
    private boolean mayOpen() {
        if (descriptors.acquire(Owner.HOSTS)) {
            return true;
        }
        Connection longest = null;
        for (Pool pool : pools.values()) {
            Connection first = pool.idle.peekFirst();
            boolean longer = first != null && (longest == null || first.idleSince < longest.idleSince);
            longest = longer ? first : longest;
        }
        if (longest == null) {
            return false;
        }
        longest.channel.close();
        return descriptors.acquire(Owner.HOSTS);
    }

    /** True for a connection that came up and was reset at once; others are refused or never come up. */
    private static boolean cut(Throwable cause) {
        return cause instanceof SocketException
                && !(cause instanceof ConnectException)
                && !(cause instanceof NoRouteToHostException);
    }

    /**
     * Takes back the calls to a host that still wait for their connection. Guards the rules on drains and
     * waits: such a call would go out as soon as the connection is up, long after the host asked for nothing
     * more.
     */
    @Override
    public void recall(Host host) {
        for (Call call : List.copyOf(pool(host).connecting)) {
            call.abandon(Outcome.NOT_SENT);
        }
    }

    @Override
    public void closeIdle(Host host) {
        for (Connection connection : List.copyOf(pool(host).open)) {
            connection.keep = false;
            if (connection.call == null) {
                connection.channel.close();
            }
        }
        pool(host).idle.clear();
    }

    @Override
    public boolean forget(Host host) {
        Pool pool = pools.get(host);
        if (pool != null && pool.open.isEmpty() && pool.connecting.isEmpty()) {
            pools.remove(host);
        }
        return !pools.containsKey(host);
    }

    /** How many idle connections to a host are held. */
    int idle(Host host) {
        return pool(host).idle.size();
    }

    private void sweep() {
        for (Pool pool : pools.values()) {
            // Guards descriptors and slots against answers that never end.
            List.copyOf(pool.open).stream().filter(Connection::stuck).forEach(Connection::spoilt);
            while (!pool.idle.isEmpty() && pool.idle.peekFirst().stale()) {
                pool.idle.pollFirst().channel.close();
            }
        }
    }

    /**
     * Reads answers, and tells the code of a status line as soon as that is here: a 200 is true whatever
     * becomes of the rest.
     */
    private static final class Decoder extends HttpResponseDecoder {
        /** Of the last status line read; 0 before the first. */
        private int code;

        Decoder() {
            super(new HttpDecoderConfig().setMaxHeaderSize(HEAD_MOST).setMaxInitialLineLength(HEAD_MOST));
        }

        @Override
        protected HttpMessage createMessage(String[] line) {
            HttpMessage message = super.createMessage(line);
            code = ((HttpResponse) message).status().code();
            return message;
        }

        /** Bytes are here that belong to no answer read so far. */
        private boolean holdsMore() {
            return actualReadableBytes() > 0;
        }
    }

    /**
     * One connection. A 200 is reported as soon as it has been read, for the message has been delivered;
     * anything else only at the answer's end: if that is spoilt, the call may have run. It is free again once
     * a read has ended with the answer and brought nothing behind it.
     */
    private final class Connection extends SimpleChannelInboundHandler<HttpObject> {
        private final Decoder decoder = new Decoder();
        private Channel channel;
        private Pool pool;
        private Call call;
        private InetSocketAddress dial;
        /** The answer's head, once it is here; what it means; bytes of its body; answers ahead of it. */
        private HttpResponse head;

        private CallReply reply;
        private int body;
        private int ahead;
        /** The answer's body, where it names messages; at most {@link #BODY_MOST}. */
        private final ByteArrayOutputStream told = new ByteArrayOutputStream(0);

        private boolean complete;
        private boolean keep = true;
        /** When the answer began to come; 0 before. */
        private long answeredAt;

        private long idleSince;

        @Override
        public void handlerAdded(ChannelHandlerContext context) {
            channel = context.channel();
        }

        private boolean stale() {
            return clock.nanos() - idleSince >= idleLimit;
        }

        private boolean rested() {
            return clock.nanos() - idleSince >= REST;
        }

        private boolean stuck() {
            return call != null && answeredAt != 0 && clock.nanos() - answeredAt >= ANSWER_MOST;
        }

        private boolean usable(Host host) {
            return channel.isActive() && !stale() && host.address.equals(dial);
        }

        private void begin(Call next) {
            call = next;
            dial = next.host.address;
            head = null;
            reply = null;
            body = 0;
            told.reset();
            ahead = 0;
            complete = false;
            decoder.code = 0;
            answeredAt = 0;
            keep = true;
            next.channel = channel;
            pool.connecting.remove(next);
            next.parts.removeIf(part -> part.ended);
            FullHttpRequest request;
            try {
                request = request(next);
            } catch (IOException e) {
                LOG.warn(
                        "call to {} with message {} not made: {}",
                        next.host.name,
                        next.parts.get(0).message.id(),
                        e.getMessage());
                call = null;
                next.end(Outcome.NOT_SENT);
                channel.close();
                return;
            }
            // The promise of a write is kept when its last byte has been handed to the socket: from then on
            // the call may run, before that it cannot.
            channel.writeAndFlush(request).addListener(done -> {
                next.written = done.isSuccess();
                if (done.isSuccess()) {
                    whenWritten.accept(next.parts.size());
                } else {
                    channel.close();
                }
            });
        }

        /** Sees bytes before they are read as answers. */
        private final class Arrivals extends ChannelInboundHandlerAdapter {
            @Override
            public void channelRead(ChannelHandlerContext context, Object bytes) {
                if (call == null || !channel.isActive()) {
                    // Guards the next call against an answer that is not its own.
                    ReferenceCountUtil.release(bytes);
                    channel.close();
                    return;
                }
                answeredAt = answeredAt == 0 ? clock.nanos() : answeredAt;
                context.fireChannelRead(bytes);
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, HttpObject part) {
            // An answer's end may be the connection's: one that names messages is told with that.
            if (call == null || !channel.isActive() && !call.bundled()) {
                return;
            }
            if (complete || part.decoderResult().isFailure()) {
                spoilt();
                return;
            }
            if (part instanceof HttpResponse answer) {
                if (answer.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
                    if (answer.status().code() == 101 || ++ahead > AHEAD_MOST) {
                        spoilt();
                    }
                    return;
                }
                head = answer;
                keep &= HttpUtil.isKeepAlive(head) && call.written;
                reply = call.bundled() ? Answers.batchReply(head, call.latency()) : Answers.reply(head, call.latency());
                if (reply.outcome() == Outcome.OK && !call.bundled()) {
                    call.end(reply);
                }
                if (HttpUtil.getContentLength(head, 0L) > BODY_MOST) {
                    spoilt();
                    return;
                }
            }
            if (part instanceof HttpContent content && head != null) {
                body += content.content().readableBytes();
                if (body > BODY_MOST) {
                    spoilt();
                    return;
                }
                if (call.bundled()) {
                    told.writeBytes(ByteBufUtil.getBytes(content.content()));
                }
                complete = part instanceof LastHttpContent;
            }
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext context) {
            if (call == null || !channel.isActive()) {
                return;
            }
            if (complete) {
                keep &= !decoder.holdsMore();
                Call ended = call;
                call = null;
                idleSince = clock.nanos();
                if (keep) {
                    pool.idle.addLast(this);
                } else {
                    channel.close();
                }
                ended.end(reply, told.toByteArray());
            } else if (decoder.code == 200 && head == null && !call.bundled()) {
                call.end(Outcome.OK);
            }
        }

        /** A status line of 200 is true whatever follows, but where the answer must name each message. */
        private boolean delivered() {
            return decoder.code == 200 && !call.bundled();
        }

        /** The answer can't be read or does not end; its call has run unless it was never written. */
        private void spoilt() {
            if (complete) {
                // What came behind a good answer takes nothing from it.
                call.end(reply, told.toByteArray());
            } else {
                call.end(delivered() ? Outcome.OK : Outcome.ERROR);
            }
            channel.close();
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            if (pool != null) {
                pool.open.remove(this);
                pool.idle.remove(this);
            }
            if (call != null) {
                if (complete && call.bundled()) {
                    // Guards answers that end with their connection: all of it is here.
                    call.end(reply, told.toByteArray());
                }
                Outcome broken = call.written ? Outcome.RESET : Outcome.CONNECT_RESET;
                call.end(delivered() ? Outcome.OK : broken);
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

    private static FullHttpRequest request(Call call) throws IOException {
        List<byte[]> bodies = new ArrayList<>(call.parts.size());
        long patience = 0;
        for (Part part : call.parts) {
            bodies.add(part.message.body().bytes());
            patience = Math.max(patience, part.patience);
        }
        boolean bundled = call.bundled();
        byte[] body = bundled
                ? Batch.body(call.parts.stream().map(part -> part.message).toList(), bodies)
                : bodies.get(0);
        FullHttpRequest request = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                HttpMethod.POST,
                bundled ? Batch.PATH : "/v1/messages",
                Unpooled.wrappedBuffer(body));
        request.headers()
                .set(
                        HttpHeaderNames.HOST,
                        call.host.address.getAddress().getHostAddress() + ":" + call.host.address.getPort())
                .set("X-Timeout-Ms", Math.max(1, (patience - call.latency()) / 1_000))
                .set(HttpHeaderNames.CONTENT_LENGTH, body.length);
        if (!bundled) {
            Message message = call.parts.get(0).message;
            request.headers().set("X-Request-ID", message.id());
            if (message.idempotencyKey() != null) {
                request.headers().set("Idempotency-Key", message.idempotencyKey());
            }
        }
        return request;
    }
}
