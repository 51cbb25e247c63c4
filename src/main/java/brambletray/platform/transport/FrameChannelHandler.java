package brambletray.platform.transport;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/** The inside of a link: greets, checks the other's greeting, and turns bytes into frames. */
final class FrameChannelHandler extends ByteToMessageDecoder {
    private static final int GREETING = 0x42544b31;
    private static final int GREETING_BYTES = 16;
    /** ms for the other end to greet. */
    private static final int GREETING_TIMEOUT_MS = 2_000;

    private final FrameCodec codec;
    private final LinkHandler handler;
    private final boolean outbound;
    private Link link;
    private boolean greetingReceived;
    private Future<?> greetingTimeout;

    FrameChannelHandler(FrameCodec codec, LinkHandler handler, boolean outbound) {
        this.codec = codec;
        this.handler = handler;
        this.outbound = outbound;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        Sockets.detectLostPeer(context.channel());
        link = new Link(context.channel(), codec, outbound);
        link.sendRaw(context.alloc()
                .directBuffer(GREETING_BYTES)
                .writeInt(GREETING)
                .writeInt(FrameCodec.FORMAT)
                .writeLong(codec.fingerprint()));
        greetingTimeout = context.executor()
                .schedule(() -> link.close("no greeting"), GREETING_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out) {
        if (!link.isOpen()) {
            in.skipBytes(in.readableBytes());
        } else if (!greetingReceived) {
            greeting(in);
        } else {
            frame(in);
        }
    }

    private void greeting(ByteBuf in) {
        if (in.readableBytes() < GREETING_BYTES) {
            return;
        }
        int word = in.readInt();
        int format = in.readInt();
        long fingerprint = in.readLong();
        greetingTimeout.cancel(false);
        if (word != GREETING || format != FrameCodec.FORMAT || fingerprint != codec.fingerprint()) {
            Link.log()
                    .warn("stranger")
                    .with("link", link)
                    .with("format", format)
                    .with("ours", FrameCodec.FORMAT)
                    .with("fingerprint", Long.toHexString(fingerprint))
                    .with("our-fingerprint", Long.toHexString(codec.fingerprint()))
                    .with("why", word == GREETING ? "another build, with other frames" : "no process of ours")
                    .log();
            link.close("a stranger");
            return;
        }
        greetingReceived = true;
        runHandler(() -> handler.onLinkUp(link));
    }

    private void frame(ByteBuf in) {
        if (in.readableBytes() < FrameCodec.LENGTH_BYTES) {
            return;
        }
        int length = in.getInt(in.readerIndex());
        if (length <= 0 || length > FrameCodec.MAX_FRAME_BYTES) {
            closeWithError("transport.frame-too-long", "a frame of " + Integer.toUnsignedLong(length) + " bytes");
            return;
        }
        if (in.readableBytes() < FrameCodec.LENGTH_BYTES + length) {
            return;
        }
        in.skipBytes(FrameCodec.LENGTH_BYTES);
        Object frame;
        try {
            frame = codec.read(in, length);
        } catch (TransportException e) {
            closeWithError(e.code(), e.getMessage());
            return;
        }
        runHandler(() -> handler.onFrame(link, frame));
    }

    private void closeWithError(String code, String reason) {
        Link.log()
                .warn("bad-frame")
                .with("code", code)
                .with("link", link)
                .with("why", reason)
                .log();
        link.close(reason);
    }

    private void runHandler(Runnable step) {
        try {
            step.run();
        } catch (RuntimeException e) {
            StackTraceElement[] trace = e.getStackTrace();
            Link.log()
                    .warn("handler-failed")
                    .with("link", link)
                    .with("why", e)
                    .with("at", trace.length == 0 ? "" : trace[0])
                    .log();
            link.close("its handler failed: " + e);
        }
    }

    @Override
    protected void handlerRemoved0(ChannelHandlerContext context) {
        if (greetingTimeout != null) {
            greetingTimeout.cancel(false);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) throws Exception {
        super.channelInactive(context);
        if (link == null) {
            return;
        }
        greetingTimeout.cancel(false);
        link.onClosed("the other end closed it");
        if (greetingReceived) {
            greetingReceived = false;
            runHandler(() -> handler.onLinkDown(link, link.closeReason()));
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (link == null) {
            context.close();
            return;
        }
        if (!(cause instanceof IOException)) {
            Link.log().warn("link-failed").with("link", link).with("why", cause).log();
        }
        link.close(String.valueOf(cause.getMessage()));
    }
}
