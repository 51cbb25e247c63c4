package brambletray.platform.drill;

import brambletray.common.runtime.Machine;
import brambletray.platform.settings.Address;
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

/** The platform of a system without hosts: empty lists. */
final class EmptyPlatform extends SimpleChannelInboundHandler<FullHttpRequest> {
    static void open(Machine machine, Address at) {
        machine.listening(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline()
                                .addLast(new HttpServerCodec(), new HttpObjectAggregator(65_536), new EmptyPlatform());
                    }
                })
                .bind(new InetSocketAddress(at.host(), at.port()));
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
        byte[] json = (request.uri().startsWith("/instances")
                        ? "{\"instances\":[],\"next-token\":null}"
                        : "{\"workers\":[]}")
                .getBytes(StandardCharsets.US_ASCII);
        DefaultFullHttpResponse answer =
                new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK, Unpooled.wrappedBuffer(json));
        answer.headers().setInt("Content-Length", json.length).set("Content-Type", "application/json");
        context.writeAndFlush(answer);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        context.close();
    }
}
