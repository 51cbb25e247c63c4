package brambletray.relay.handover;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import java.io.IOException;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The connection between two processes of one relay: frames either way, and its end, told once. */
final class HandoverLink extends SimpleChannelInboundHandler<HandoverFrame> {
    private static final Logger LOG = LoggerFactory.getLogger(HandoverLink.class);
    /** Bytes not yet written beyond which the other process is taken for dead: it does not read. */
    private static final int UNSENT_MOST = 16 << 20;

    private final Channel channel;
    private final Consumer<HandoverFrame> whenTold;
    private final Runnable whenLost;
    private boolean lost;

    /** Frames of a connection from now on; its other handlers have done their part. */
    HandoverLink(Channel channel, Consumer<HandoverFrame> whenTold, Runnable whenLost) {
        this.channel = channel;
        this.whenTold = whenTold;
        this.whenLost = whenLost;
        channel.pipeline().addLast(new HandoverFrameCodec(), this);
    }

    void send(HandoverFrame frame) {
        if (lost) {
            return;
        }
        channel.writeAndFlush(frame).addListener(done -> {
            if (!done.isSuccess()) {
                channel.close();
            }
        });
        if (channel.unsafe().outboundBuffer() != null
                && channel.unsafe().outboundBuffer().totalPendingWriteBytes() > UNSENT_MOST) {
            channel.close();
        }
    }

    void close() {
        channel.close();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, HandoverFrame frame) {
        whenTold.accept(frame);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        if (!lost) {
            lost = true;
            whenLost.run();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (!(cause instanceof IOException)) {
            LOG.warn("the connection to the other process is closed: {}", cause.toString());
        }
        context.close();
    }
}
