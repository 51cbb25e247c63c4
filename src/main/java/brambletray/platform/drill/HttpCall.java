package brambletray.platform.drill;

import brambletray.common.runtime.Machine;
import brambletray.platform.settings.Address;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;

/**
 * One HTTP call over a connection of its own; a second of silence, or a connection that ends, is status 0. Answered
 * once.
 */
final class HttpCall extends SimpleChannelInboundHandler<FullHttpResponse> {
    interface Reply {
        void came(int status, String location, byte[] body);
    }

    /** ms, and ms more for each 100 kB. */
    static final int TIMEOUT_MS = 1_000;

    static final int TIMEOUT_PER_100_KB_MS = 300;

    private final DefaultFullHttpRequest request;
    private Reply reply;

    private HttpCall(DefaultFullHttpRequest request, Reply reply) {
        this.request = request;
        this.reply = reply;
    }

    /** {@code body} null: a GET. {@code base} null: none is said. */
    static void make(Machine machine, Address to, String path, Long base, byte[] body, Reply reply) {
        DefaultFullHttpRequest request = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                body == null ? HttpMethod.GET : HttpMethod.POST,
                path,
                body == null ? Unpooled.EMPTY_BUFFER : Unpooled.wrappedBuffer(body));
        request.headers()
                .set("Host", to.toString())
                .set("Content-Length", body == null ? 0 : body.length)
                .set("Connection", "close");
        if (base != null) {
            request.headers().set("Brambletray-Base-Revision", base.toString());
        }
        HttpCall call = new HttpCall(request, reply);
        int timeoutMs = TIMEOUT_MS + (body == null ? 0 : body.length / 100_000 * TIMEOUT_PER_100_KB_MS);
        Channel channel = machine.dialling(timeoutMs, new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel made) {
                        made.pipeline().addLast(new HttpClientCodec(), new HttpObjectAggregator(8 << 20), call);
                    }
                })
                .connect(new InetSocketAddress(to.host(), to.port()))
                .addListener(done -> {
                    if (!done.isSuccess()) {
                        call.end(0, null, new byte[0]);
                    }
                })
                .channel();
        machine.loop()
                .schedule(
                        () -> {
                            call.end(0, null, new byte[0]);
                            channel.close();
                        },
                        timeoutMs,
                        TimeUnit.MILLISECONDS);
    }

    private void end(int status, String location, byte[] body) {
        Reply once = reply;
        reply = null;
        if (once != null) {
            once.came(status, location, body);
        }
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        context.writeAndFlush(request);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpResponse answer) {
        byte[] body = ByteBufUtil.getBytes(answer.content());
        boolean complete = answer.decoderResult().isSuccess();
        context.close();
        end(complete ? answer.status().code() : 0, answer.headers().get("Location"), body);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        end(0, null, new byte[0]);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        context.close();
    }
}
