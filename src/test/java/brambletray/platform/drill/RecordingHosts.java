package brambletray.platform.drill;

import brambletray.common.runtime.Machine;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Instances that answer each request after a while and record which operations they have run, for which tenant. */
final class RecordingHosts {
    private static final int WORK_MS = 40;
    private static final int MAX_BODY_BYTES = 65_536;

    /** A run of an operation: its attempt's id, and the tenant that the instance was told. */
    record Run(String operation, String attempt, String tenant) {}

    private final List<Run> runs = new ArrayList<>();

    void listen(Machine machine, InetSocketAddress at) {
        machine.listening(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline()
                                .addLast(
                                        new HttpServerCodec(),
                                        new HttpObjectAggregator(MAX_BODY_BYTES),
                                        new RequestHandler(machine));
                    }
                })
                .bind(at);
    }

    /** The runs of this operation, in their order. */
    List<Run> runs(String operation) {
        return runs.stream().filter(run -> run.operation().equals(operation)).toList();
    }

    private final class RequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
        private final Machine machine;

        RequestHandler(Machine machine) {
            this.machine = machine;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            String attempt = request.headers().get("Brambletray-Attempt-Id");
            String operation = request.headers().get("Brambletray-Operation-Key");
            runs.add(new Run(operation, attempt, request.headers().get("Brambletray-Tenant-Name", "")));
            byte[] body = ("done by " + attempt).getBytes(StandardCharsets.UTF_8);
            DefaultFullHttpResponse response = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.OK, Unpooled.wrappedBuffer(body));
            response.headers()
                    .setInt("Content-Length", body.length)
                    .set("Brambletray-Attempt-Id", attempt)
                    .set("Brambletray-Response-Seal", "seal of " + attempt)
                    .set("Keep-Alive", "timeout=10");
            machine.loop().schedule(() -> context.writeAndFlush(response), WORK_MS, TimeUnit.MILLISECONDS);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
