package brambletray.relay.membership;

import brambletray.common.runtime.Machine;
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
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** One kept connection to the agent, which carries one request at a time. */
final class AgentLine {
    private static final Logger LOG = LoggerFactory.getLogger(AgentLine.class);
    /** ms; how long a connection may take to come up. */
    private static final int CONNECT = 2_000;
    /** Bytes of an answer at most. */
    private static final int ANSWER_MOST = 8 << 20;

    private final Machine machine;
    private final Bootstrap bootstrap;
    final InetSocketAddress agent;
    private Channel channel;
    private Consumer<FullHttpResponse> waiting;
    private Future<?> timer;

    AgentLine(Machine machine, InetSocketAddress agent) {
        this.machine = machine;
        this.agent = agent;
        this.bootstrap = machine.dialling(CONNECT, new ChannelInitializer<Channel>() {
            @Override
            protected void initChannel(Channel fresh) {
                fresh.pipeline().addLast(new HttpClientCodec(), new HttpObjectAggregator(ANSWER_MOST), new Reader());
            }
        });
    }

    /** Ends the connection; an answer that is still out will not be told. */
    void drop() {
        waiting = null;
        if (timer != null) {
            timer.cancel(false);
        }
        if (channel != null) {
            channel.close();
        }
    }

    /** Sends a request; its answer, or null for none in time, comes exactly once. */
    void ask(HttpMethod method, String uri, String body, long patience, Consumer<FullHttpResponse> whenAnswered) {
        waiting = whenAnswered;
        timer = machine.loop().schedule(() -> answered(channel, null), patience, TimeUnit.MILLISECONDS);
        FullHttpRequest request = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1, method, uri, Unpooled.copiedBuffer(body, StandardCharsets.UTF_8));
        request.headers()
                .set(HttpHeaderNames.HOST, agent.getAddress().getHostAddress() + ":" + agent.getPort())
                .set(HttpHeaderNames.CONTENT_LENGTH, request.content().readableBytes());
        if (channel != null && channel.isActive()) {
            write(channel, request);
        } else {
            ChannelFuture connect = bootstrap.connect(agent);
            channel = connect.channel();
            connect.addListener(done -> {
                if (done.isSuccess()) {
                    write(connect.channel(), request);
                } else {
                    request.release();
                    answered(connect.channel(), null);
                }
            });
        }
    }

    private void write(Channel to, FullHttpRequest request) {
        to.writeAndFlush(request).addListener(done -> {
            if (!done.isSuccess()) {
                answered(to, null);
            }
        });
    }

    private void answered(Channel from, FullHttpResponse answer) {
        if (from != channel || waiting == null) {
            return;
        }
        if (answer == null || !HttpUtil.isKeepAlive(answer)) {
            channel = null;
            from.close();
        }
        timer.cancel(false);
        Consumer<FullHttpResponse> told = waiting;
        waiting = null;
        told.accept(answer);
    }

    private final class Reader extends SimpleChannelInboundHandler<FullHttpResponse> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpResponse answer) {
            answered(context.channel(), answer.decoderResult().isFailure() ? null : answer);
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            answered(context.channel(), null);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            if (!(cause instanceof IOException)) {
                LOG.error("connection to discovery closed", cause);
            }
            context.close();
        }
    }
}
