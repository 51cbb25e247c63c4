package brambletray.relay.standalone;

import brambletray.common.runtime.Machine;
import io.netty.buffer.Unpooled;
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
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Posts final answers to a URL, a JSON object a line, until it answers 204 or 200; one post at a time, each
 * on
 * a connection of its own.
 */
final class Poster {
    private static final Logger LOG = LoggerFactory.getLogger(Poster.class);
    private static final int MOST = 100;
    private static final int PATIENCE_MS = 2_000;
    private static final int AGAIN_MS = 100;
    private static final int AGAIN_MOST_MS = 5_000;

    private final Machine machine;
    private final Outcomes outcomes;
    private final InetSocketAddress to;
    private final String path;
    private boolean posting;
    private boolean unheard;
    private int again = AGAIN_MS;

    Poster(Machine machine, Outcomes outcomes, InetSocketAddress to, String path) {
        this.machine = machine;
        this.outcomes = outcomes;
        this.to = to;
        this.path = path;
        outcomes.whenUntold(this::wake);
    }

    void wake() {
        if (!posting && outcomes.hasUntold()) {
            posting = true;
            // After the batch of this pass: what is told lasts.
            machine.loop().execute(this::post);
        }
    }

    private void post() {
        List<Outcomes.Outcome> batch = outcomes.untold(MOST);
        StringBuilder lines = new StringBuilder();
        batch.forEach(outcome -> lines.append(outcome.json()).append('\n'));
        Attempt attempt = new Attempt(batch);
        ChannelFuture connect = machine.dialling(PATIENCE_MS, new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel fresh) {
                        fresh.pipeline().addLast(new HttpClientCodec(), new HttpObjectAggregator(64 * 1024), attempt);
                    }
                })
                .connect(to);
        attempt.timer = machine.loop()
                .schedule(
                        () -> {
                            connect.channel().close();
                            attempt.over(null);
                        },
                        PATIENCE_MS,
                        TimeUnit.MILLISECONDS);
        connect.addListener(done -> {
            if (!done.isSuccess()) {
                attempt.over(null);
                return;
            }
            DefaultFullHttpRequest post = new DefaultFullHttpRequest(
                    HttpVersion.HTTP_1_1, HttpMethod.POST, path, Unpooled.copiedBuffer(lines, StandardCharsets.UTF_8));
            post.headers()
                    .set(HttpHeaderNames.HOST, to.getAddress().getHostAddress() + ":" + to.getPort())
                    .set(HttpHeaderNames.CONTENT_TYPE, "application/x-ndjson")
                    .set(HttpHeaderNames.CONNECTION, "close")
                    .set(HttpHeaderNames.CONTENT_LENGTH, post.content().readableBytes());
            connect.channel().writeAndFlush(post);
        });
    }

    private final class Attempt extends SimpleChannelInboundHandler<FullHttpResponse> {
        private final List<Outcomes.Outcome> batch;
        private Future<?> timer;
        private boolean over;

        Attempt(List<Outcomes.Outcome> batch) {
            this.batch = batch;
        }

        /** {@code status}: null for no answer. */
        private void over(Integer status) {
            if (over) {
                return;
            }
            over = true;
            timer.cancel(false);
            if (status != null && (status == 204 || status == 200)) {
                outcomes.told(batch);
                unheard = false;
                again = AGAIN_MS;
                posting = false;
                wake();
                return;
            }
            if (!unheard) {
                LOG.warn(
                        "{} final answers not acknowledged by {}:{} ({}), posted until they are",
                        batch.size(),
                        to.getAddress().getHostAddress(),
                        to.getPort(),
                        status == null ? "no answer" : status);
            }
            unheard = true;
            machine.loop().schedule(Poster.this::post, again, TimeUnit.MILLISECONDS);
            again = Math.min(AGAIN_MOST_MS, again * 2);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpResponse answer) {
            over(answer.decoderResult().isFailure() ? null : answer.status().code());
            context.close();
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            over(null);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
