package brambletray.stage;

import brambletray.emulator.PartnerSpec;
import brambletray.runtime.Machine;
import brambletray.script.Script;
import io.netty.bootstrap.Bootstrap;
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
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The clients: they hand lines in by Poisson arrivals whatever becomes of earlier ones, keep connections,
 * wait so long for an answer, and come again as the script has it. A front deals them out over the relays
 * that it holds to be alive.
 */
final class Crowd {
    private static final Logger LOG = LoggerFactory.getLogger(Crowd.class);
    /** How long a client waits for the answer to a request; ms. */
    private static final int ANSWER_MS = 400, CONNECT_MS = 400;
    /** A client waits so long before it comes again on its own; ms. */
    private static final int BACKOFF_LEAST_MS = 720, BACKOFF_MOST_MS = 1_300, ADVICE_MOST_MS = 3_000;
    /** A kept connection is not used after this time; ns. */
    private static final long KEPT = TimeUnit.MILLISECONDS.toNanos(1_900);
    private static final int BODY_MOST = 64 * 1024;

    private final Machine machine;
    private final Script script;
    private final Score score;
    private final LongSupplier world;
    private final SplittableRandom random;
    private final Bootstrap bootstrap;
    private final List<Relay> relays = new ArrayList<>();
    private final double[] partnerShares;
    private final double[] classShares;
    private int next;
    private long made;
    private boolean stopped;

    /** {@code world}: the world's time, ns; {@code seed}: for arrivals and habits. */
    Crowd(Machine machine, Script script, Score score, LongSupplier world, long seed) {
        this.machine = machine;
        this.script = script;
        this.score = score;
        this.world = world;
        this.random = new SplittableRandom(seed);
        this.bootstrap = machine.dialling(CONNECT_MS, new ChannelInitializer<Channel>() {
            @Override
            protected void initChannel(Channel channel) {
                channel.pipeline().addLast(new HttpClientCodec(), new HttpObjectAggregator(BODY_MOST),
                    new Answers());
            }
        });
        partnerShares = sums(script.partners().stream().mapToDouble(PartnerSpec::traffic).toArray());
        classShares = sums(script.classes().stream().mapToDouble(Script.MessageClass::share).toArray());
    }

    private static double[] sums(double[] shares) {
        double[] sums = new double[shares.length];
        double sum = 0;
        for (int i = 0; i < shares.length; i++) {
            sum += shares[i];
            sums[i] = sum;
        }
        return sums;
    }

    private int draw(double[] sums) {
        double at = random.nextDouble() * sums[sums.length - 1];
        int i = 0;
        while (i < sums.length - 1 && sums[i] <= at) {
            i++;
        }
        return i;
    }

    /** One relay, and the connections that clients keep to it. */
    private static final class Relay {
        InetSocketAddress address;
        boolean alive = true;
        final ArrayDeque<Answers> kept = new ArrayDeque<>();
    }

    /** A relay that clients may use, by its number. */
    void relay(int number, InetSocketAddress address) {
        while (relays.size() <= number) {
            relays.add(new Relay());
        }
        relays.get(number).address = address;
    }

    /** The front has noticed that a relay is dead, or serves again. */
    void alive(int number, boolean alive) {
        relays.get(number).alive = alive;
    }

    void begin() {
        arrival();
    }

    void stop() {
        stopped = true;
        for (Relay relay : relays) {
            List.copyOf(relay.kept).forEach(c -> c.channel.close());
        }
    }

    /** How many lines have been asked for. */
    long made() {
        return made;
    }

    /** Poisson arrivals at a rate that moves: candidates at the peak rate, of which some are dropped. */
    private void arrival() {
        Script.Traffic traffic = script.traffic();
        double peak = traffic.peak();
        if (peak <= 0) {
            return;
        }
        long gap = Math.max(1, (long) (-Math.log(1 - random.nextDouble()) / peak * 1e9));
        machine.loop().schedule(() -> {
            long now = world.getAsLong();
            if (stopped || now >= traffic.until()) {
                return;
            }
            if (random.nextDouble() * peak < traffic.rateAt(now)) {
                ask(now);
            }
            arrival();
        }, gap, TimeUnit.NANOSECONDS);
    }

    private void ask(long now) {
        PartnerSpec partner = script.partners().get(draw(partnerShares));
        Script.MessageClass messageClass = script.classes().get(draw(classShares));
        Line line = new Line(String.format("%s-%08d", script.name(), ++made), partner.destination(),
            messageClass,
            now);
        score.asked(line.name, messageClass, now);
        line.handIn(null);
    }

    /** One line that a client wants delivered, over all its tries. */
    private final class Line {
        private final String name;
        private final long destination;
        private final Script.MessageClass messageClass;
        private final long asked;
        private int tries;

        Line(String name, long destination, Script.MessageClass messageClass, long asked) {
            this.name = name;
            this.destination = destination;
            this.messageClass = messageClass;
            this.asked = asked;
        }

        private long leftMs() {
            return messageClass.limit() - (world.getAsLong() - asked) / 1_000_000;
        }

        private void handIn(String retried) {
            if (leftMs() < 1 || stopped) {
                return;
            }
            Relay relay = nextRelay();
            if (relay == null) {
                again("again", 0);
                return;
            }
            tries++;
            Request request = new Request(this, name + "." + tries, retried, relay);
            score.handedIn(request.id);
            request.send(true);
        }

        /** Comes again after a refusal (or when a relay did not answer), if it has tries left. */
        private void again(String retried, long advice) {
            if (tries > script.traffic().retries()) {
                return;
            }
            long wait = BACKOFF_LEAST_MS + random.nextInt(BACKOFF_MOST_MS - BACKOFF_LEAST_MS);
            if (advice > 0 && advice <= ADVICE_MOST_MS && random.nextDouble() < script.traffic().honour()) {
                wait = advice;
            }
            tries = Math.max(tries, 1);
            machine.loop().schedule(() -> handIn(retried), wait, TimeUnit.MILLISECONDS);
        }
    }

    private Relay nextRelay() {
        for (int i = 0; i < relays.size(); i++) {
            Relay relay = relays.get(next++ % relays.size());
            if (relay.alive) {
                return relay;
            }
        }
        return null;
    }

    /** A relay has ended a message by a notice: handed back, its client comes again. */
    void noticed(String id, boolean handedBack, long retryIn) {
        if (score.noticed(id, handedBack, world.getAsLong()) && handedBack) {
            Line line = waiting.remove(id);
            if (line != null) {
                line.again("1", retryIn);
            }
        } else {
            waiting.remove(id);
        }
    }

    /** Messages that were taken on, until a notice ends them; those whose time is up are dropped by turns. */
    private final Map<String, Line> waiting = new LinkedHashMap<>();

    /** One request, which may be written twice if its first connection closed unread. */
    private final class Request {
        private final Line line;
        private final String id;
        private final String retried;
        private final Relay relay;
        private Future<?> timer;
        private Answers on;
        private boolean over;

        Request(Line line, String id, String retried, Relay relay) {
            this.line = line;
            this.id = id;
            this.retried = retried;
            this.relay = relay;
        }

        private void send(boolean onKept) {
            if (timer == null) {
                timer = machine.loop().schedule(this::leave, ANSWER_MS, TimeUnit.MILLISECONDS);
            }
            long now = machine.clock().nanos();
            while (onKept && !relay.kept.isEmpty()) {
                Answers kept = relay.kept.pollLast();
                if (kept.channel.isActive() && now - kept.keptSince < KEPT) {
                    kept.begin(this, true);
                    return;
                }
                kept.channel.close();
            }
            ChannelFuture connect = bootstrap.connect(relay.address);
            connect.addListener(done -> {
                if (over) {
                    connect.channel().close();
                } else if (done.isSuccess()) {
                    connect.channel().pipeline().get(Answers.class).begin(this, false);
                } else {
                    // Nobody there: another relay may be.
                    end();
                    score.left(id);
                    line.again("again", 0);
                }
            });
        }

        /** Its client does not wait any longer. */
        private void leave() {
            if (!over) {
                Answers was = on;
                end();
                score.left(id);
                if (was != null) {
                    was.request = null;
                    was.channel.close();
                }
                line.again("again", 0);
            }
        }

        private void end() {
            over = true;
            timer.cancel(false);
        }

        private void answered(int status, String retryAfter) {
            if (over) {
                return;
            }
            end();
            if (status == 202 || status == 200) {
                score.taken(id);
                waiting.put(id, line);
                // A bound on the map: the eldest is past its time when so many are in it.
                if (waiting.size() > 200_000) {
                    waiting.remove(waiting.keySet().iterator().next());
                }
            } else {
                score.refused(id);
                if (status == 429 || status == 503) {
                    line.again("1", retryAfter == null ? 0
                        : Math.round(Double.parseDouble(retryAfter) * 1e3));
                }
            }
        }

        /** The connection has ended with no answer. */
        private void broken(boolean reused) {
            if (over) {
                return;
            }
            if (reused) {
                // It crossed the relay's close: the client sends it once more, on a new connection.
                send(false);
                return;
            }
            end();
            score.left(id);
            line.again("again", 0);
        }

        private FullHttpRequest http() {
            byte[] body = new byte[script.traffic().bodyBytes()];
            FullHttpRequest http = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST,
                "/" + line.messageClass.name(), Unpooled.wrappedBuffer(body));
            http.headers().set(HttpHeaderNames.HOST, "api.internal").set("X-Request-ID", id)
                .set("X-Priority-Class", line.messageClass.name())
                .set("X-Timeout-Ms", Math.max(1, line.leftMs()))
                .set("X-Envelope", "dest=" + line.destination)
                .set(HttpHeaderNames.CONTENT_LENGTH, body.length);
            if (line.messageClass.effect().equals("keyed")) {
                http.headers().set("Idempotency-Key", "key-" + line.name);
            }
            if (retried != null) {
                http.headers().set("X-Retried", retried);
            }
            return http;
        }
    }

    /** A client's end of one connection. */
    private final class Answers extends SimpleChannelInboundHandler<FullHttpResponse> {
        private Channel channel;
        private Request request;
        private boolean reused;
        private long keptSince;

        @Override
        public void handlerAdded(ChannelHandlerContext context) {
            channel = context.channel();
        }

        private void begin(Request next, boolean onKept) {
            request = next;
            reused = onKept;
            next.on = this;
            channel.writeAndFlush(next.http());
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpResponse answer) {
            Request answered = request;
            request = null;
            if (answered == null) {
                channel.close();
                return;
            }
            if (HttpUtil.isKeepAlive(answer)) {
                keptSince = machine.clock().nanos();
                answered.relay.kept.addLast(this);
            } else {
                channel.close();
            }
            answered.answered(answer.status().code(), answer.headers().get(HttpHeaderNames.RETRY_AFTER));
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            for (Relay relay : relays) {
                relay.kept.remove(this);
            }
            if (request != null) {
                Request broken = request;
                request = null;
                broken.broken(reused);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            if (!(cause instanceof IOException)) {
                LOG.error("client's connection closed", cause);
            }
            context.close();
        }
    }
}
