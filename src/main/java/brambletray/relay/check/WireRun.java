package brambletray.relay.check;

import brambletray.common.runtime.Machine;
import brambletray.relay.check.Sample.Outcome;
import brambletray.relay.emulator.Endpoint;
import brambletray.relay.emulator.World;
import brambletray.relay.partners.PartnerFront;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The plan's load over HTTP against the emulated endpoints on one machine, measured where the callers are.
 */
final class WireRun {
    private static final Logger LOG = LoggerFactory.getLogger(WireRun.class);
    private static final int CONNECT_MS = 60_000;
    private static final int BODY_MOST = 64 * 1024;

    private final Machine machine;
    private final Plan plan;
    private final PartnerFront front;
    private final World world;
    private final List<Caller> callers = new ArrayList<>();
    private int left;

    WireRun(Machine machine, Plan plan) {
        this.machine = machine;
        this.plan = plan;
        this.world = plan.world();
        this.front = new PartnerFront(machine, world);
    }

    PartnerFront front() {
        return front;
    }

    List<ChannelFuture> listen(PartnerFront.Addresses addresses) {
        return front.listen(addresses);
    }

    /** The endpoints listen: callers begin with the script. */
    void begin() {
        front.begin();
        for (Endpoint endpoint : world.endpoints()) {
            Caller caller = new Caller(endpoint, plan.arrivals(callers.size()));
            callers.add(caller);
            left += caller.arrivals.length;
        }
        callers.forEach(Caller::next);
    }

    /** True when all calls have ended. */
    boolean over() {
        return left == 0;
    }

    List<List<Sample>> samples() {
        return callers.stream().map(caller -> Arrays.asList(caller.samples)).toList();
    }

    void close() {
        front.close();
        callers.forEach(caller -> List.copyOf(caller.open).forEach(connection -> connection.channel.close()));
    }

    /** Sends to one endpoint, on the connection that came free last. */
    private final class Caller {
        private final Endpoint endpoint;
        private final long[] arrivals;
        private final Sample[] samples;
        private final ArrayDeque<Connection> idle = new ArrayDeque<>();
        private final List<Connection> open = new ArrayList<>();
        private final Bootstrap bootstrap;
        private int next;

        Caller(Endpoint endpoint, long[] arrivals) {
            this.endpoint = endpoint;
            this.arrivals = arrivals;
            this.samples = new Sample[arrivals.length];
            this.bootstrap = machine.dialling(CONNECT_MS, new ChannelInitializer<Channel>() {
                @Override
                protected void initChannel(Channel channel) {
                    channel.pipeline()
                            .addLast(
                                    new HttpClientCodec(),
                                    new HttpObjectAggregator(BODY_MOST),
                                    new Connection(Caller.this));
                }
            });
        }

        private void next() {
            if (next < arrivals.length) {
                machine.loop()
                        .schedule(
                                () -> {
                                    send(next++);
                                    next();
                                },
                                Math.max(0, arrivals[next] - front.now()),
                                TimeUnit.NANOSECONDS);
            }
        }

        private void send(int index) {
            samples[index] = new Sample(index, front.now(), Long.MAX_VALUE, Outcome.NOTHING);
            Connection kept = idle.pollLast();
            if (kept != null) {
                kept.send(index);
                return;
            }
            ChannelFuture connect = bootstrap.connect(front.address(endpoint));
            connect.addListener(done -> {
                if (done.isSuccess()) {
                    connect.channel().pipeline().get(Connection.class).send(index);
                } else {
                    ended(index, Outcome.UNREACHABLE);
                }
            });
        }

        private void ended(int index, Outcome outcome) {
            samples[index] = new Sample(index, samples[index].sent(), front.now(), outcome);
            left--;
        }
    }

    private static final class Connection extends SimpleChannelInboundHandler<FullHttpResponse> {
        private final Caller caller;
        private Channel channel;
        private int call = -1;
        private boolean used;

        Connection(Caller caller) {
            this.caller = caller;
        }

        @Override
        public void handlerAdded(ChannelHandlerContext context) {
            channel = context.channel();
            caller.open.add(this);
        }

        private void send(int index) {
            call = index;
            DefaultFullHttpRequest request =
                    new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/v1/messages");
            request.headers()
                    .set("X-Request-ID", Plan.message(caller.endpoint, index))
                    .set(HttpHeaderNames.CONTENT_LENGTH, 0);
            channel.writeAndFlush(request);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpResponse answer) {
            if (call < 0 || answer.decoderResult().isFailure()) {
                end(Outcome.SPOILT);
                channel.close();
                return;
            }
            used = true;
            int status = answer.status().code();
            Outcome outcome = status == 200 ? Outcome.DELIVERED : status == 500 ? Outcome.FAILED : Outcome.REFUSED;
            caller.idle.addLast(this);
            end(outcome);
        }

        private void end(Outcome outcome) {
            if (call >= 0) {
                int ended = call;
                call = -1;
                caller.ended(ended, outcome);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            caller.open.remove(this);
            caller.idle.remove(this);
            // A connection that is ended before it carried anything was one too many for the endpoint.
            end(used || caller.endpoint.reach() != Endpoint.Reach.OPEN ? Outcome.BROKEN : Outcome.UNREACHABLE);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            if (!(cause instanceof IOException)) {
                LOG.error("check: connection closed", cause);
            }
            context.close();
        }
    }
}
