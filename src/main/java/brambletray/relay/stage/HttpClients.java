package brambletray.relay.stage;

import brambletray.common.runtime.Machine;
import brambletray.relay.script.Script;
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
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Clients by HTTP/1.1: they keep connections, one request at a time on each, and wait so long. */
final class HttpClients implements Clients {
    private static final Logger LOG = LoggerFactory.getLogger(HttpClients.class);
    /** How long a client waits for the answer to a request; ms. */
    private static final int ANSWER_MS = 400;

    private static final int CONNECT_MS = 400;
    /** A kept connection is not used after this time; ns. */
    private static final long KEPT = TimeUnit.MILLISECONDS.toNanos(1_900);

    private static final int BODY_MOST = 64 * 1024;

    private final Machine machine;
    private final Script script;
    private final Bootstrap bootstrap;
    private final List<Relay> relays = new ArrayList<>();

    HttpClients(Machine machine, Script script) {
        this.machine = machine;
        this.script = script;
        this.bootstrap = machine.dialling(CONNECT_MS, new ChannelInitializer<Channel>() {
            @Override
            protected void initChannel(Channel channel) {
                channel.pipeline().addLast(new HttpClientCodec(), new HttpObjectAggregator(BODY_MOST), new Answers());
            }
        });
    }

    /** One relay, and the connections that clients keep to it. */
    private static final class Relay {
        InetSocketAddress address;
        final ArrayDeque<Answers> kept = new ArrayDeque<>();
    }

    @Override
    public void relay(int number, InetSocketAddress address) {
        while (relays.size() <= number) {
            relays.add(new Relay());
        }
        relays.get(number).address = address;
    }

    @Override
    public void handIn(Handed message) {
        new Request(message, relays.get(message.relay())).send(true);
    }

    @Override
    public void stop() {
        for (Relay relay : relays) {
            List.copyOf(relay.kept).forEach(answers -> answers.channel.close());
        }
    }

    /** One request, which may be written twice if its first connection closed unread. */
    private final class Request {
        private final Handed message;
        private final Relay relay;
        private Future<?> timer;
        private Answers on;
        private boolean over;

        Request(Handed message, Relay relay) {
            this.message = message;
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
                    message.heard().left();
                }
            });
        }

        /** Its client does not wait any longer. */
        private void leave() {
            if (!over) {
                Answers was = on;
                end();
                if (was != null) {
                    was.request = null;
                    was.channel.close();
                }
                message.heard().left();
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
                message.heard().taken();
            } else {
                message.heard()
                        .refused(
                                status == 429 || status == 503,
                                retryAfter == null ? 0 : Math.round(Double.parseDouble(retryAfter) * 1e3));
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
            message.heard().left();
        }

        private FullHttpRequest http() {
            byte[] body = new byte[script.traffic().bodyBytes()];
            FullHttpRequest http = new DefaultFullHttpRequest(
                    HttpVersion.HTTP_1_1,
                    HttpMethod.POST,
                    "/" + message.messageClass().name(),
                    Unpooled.wrappedBuffer(body));
            http.headers()
                    .set(HttpHeaderNames.HOST, "api.internal")
                    .set("X-Request-ID", message.id())
                    .set("X-Priority-Class", message.messageClass().name())
                    .set("X-Timeout-Ms", Math.max(1, message.left().getAsLong()))
                    .set("X-Envelope", "dest=" + message.destination())
                    .set(HttpHeaderNames.CONTENT_LENGTH, body.length);
            if (message.key() != null) {
                http.headers().set("Idempotency-Key", message.key());
            }
            if (message.retried() != null) {
                http.headers().set("X-Retried", message.retried());
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
