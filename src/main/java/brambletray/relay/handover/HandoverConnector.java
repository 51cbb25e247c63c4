package brambletray.relay.handover;

import brambletray.common.runtime.Machine;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Connects to the owner at its operators' address and asks for an upgrade of the connection (RFC 9110, 7.8):
 * behind the answer 101 both sides speak frames.
 */
final class HandoverConnector extends SimpleChannelInboundHandler<HttpObject> {
    /** The path, and the protocol's name. */
    static final String PATH = "/handover";

    static final String PROTOCOL = "brambletray-handover";
    /** ms; to connect, and to be answered. */
    private static final int CONNECT = 300;

    private static final int ANSWER = 1_000;

    private final OwnerAddressFile meeting;
    private final Consumer<Channel> then;
    private boolean over;
    private boolean upgraded;

    private HandoverConnector(OwnerAddressFile meeting, Consumer<Channel> then) {
        this.meeting = meeting;
        this.then = then;
    }

    /** {@code then}: gets the connection, or null, once. */
    static void connect(Machine machine, OwnerAddressFile meeting, Consumer<Channel> then) {
        HandoverConnector joining = new HandoverConnector(meeting, then);
        machine.dialling(CONNECT, new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(new HttpClientCodec(), joining);
                    }
                })
                .connect(meeting.address())
                .addListener(done -> {
                    if (!done.isSuccess()) {
                        joining.end(null);
                    }
                });
    }

    private void end(Channel channel) {
        if (!over) {
            over = true;
            then.accept(channel);
        }
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        FullHttpRequest request =
                new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, PATH, Unpooled.EMPTY_BUFFER);
        request.headers()
                .set(HttpHeaderNames.HOST, "owner")
                .set(HttpHeaderNames.CONTENT_LENGTH, 0)
                .set(HttpHeaderNames.CONNECTION, HttpHeaderValues.UPGRADE)
                .set(HttpHeaderNames.UPGRADE, PROTOCOL)
                .set(HttpHeaderNames.AUTHORIZATION, "Bearer " + meeting.secret());
        context.writeAndFlush(request);
        context.channel()
                .eventLoop()
                .schedule(
                        () -> {
                            if (!over) {
                                context.close();
                            }
                        },
                        ANSWER,
                        TimeUnit.MILLISECONDS);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, HttpObject part) {
        if (part instanceof HttpResponse answer) {
            upgraded = answer.status().code() == 101;
        }
        if (part instanceof LastHttpContent) {
            if (!upgraded) {
                context.close();
                return;
            }
            Channel channel = context.channel();
            // Out of the way before the frames' own handlers come; the owner says nothing before it is asked.
            channel.pipeline().remove(this);
            channel.pipeline().remove(HttpClientCodec.class);
            end(channel);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        end(null);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        context.close();
    }
}
