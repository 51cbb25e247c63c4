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
    private static final int GREETING_MS = 2_000;

    private final FrameCodec speech;
    private final LinkHandler handler;
    private final boolean dialled;
    private Link link;
    private boolean greeted;
    private Future<?> late;

    FrameChannelHandler(FrameCodec speech, LinkHandler handler, boolean dialled) {
        this.speech = speech;
        this.handler = handler;
        this.dialled = dialled;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        Sockets.watch(context.channel());
        link = new Link(context.channel(), speech, dialled);
        link.raw(context.alloc()
                .directBuffer(GREETING_BYTES)
                .writeInt(GREETING)
                .writeInt(FrameCodec.FORMAT)
                .writeLong(speech.fingerprint()));
        late = context.executor().schedule(() -> link.close("no greeting"), GREETING_MS, TimeUnit.MILLISECONDS);
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out) {
        if (!link.open()) {
            in.skipBytes(in.readableBytes());
        } else if (!greeted) {
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
        late.cancel(false);
        if (word != GREETING || format != FrameCodec.FORMAT || fingerprint != speech.fingerprint()) {
            Link.log()
                    .warn("stranger")
                    .with("link", link)
                    .with("format", format)
                    .with("ours", FrameCodec.FORMAT)
                    .with("fingerprint", Long.toHexString(fingerprint))
                    .with("our-fingerprint", Long.toHexString(speech.fingerprint()))
                    .with("why", word == GREETING ? "another build, with other frames" : "no process of ours")
                    .log();
            link.close("a stranger");
            return;
        }
        greeted = true;
        call(() -> handler.up(link));
    }

    private void frame(ByteBuf in) {
        if (in.readableBytes() < FrameCodec.LENGTH_BYTES) {
            return;
        }
        int length = in.getInt(in.readerIndex());
        if (length <= 0 || length > FrameCodec.LONGEST) {
            bad("transport.frame-too-long", "a frame of " + Integer.toUnsignedLong(length) + " bytes");
            return;
        }
        if (in.readableBytes() < FrameCodec.LENGTH_BYTES + length) {
            return;
        }
        in.skipBytes(FrameCodec.LENGTH_BYTES);
        Object frame;
        try {
            frame = speech.read(in, length);
        } catch (TransportException e) {
            bad(e.code(), e.getMessage());
            return;
        }
        call(() -> handler.heard(link, frame));
    }

    private void bad(String code, String why) {
        Link.log()
                .warn("bad-frame")
                .with("code", code)
                .with("link", link)
                .with("why", why)
                .log();
        link.close(why);
    }

    private void call(Runnable step) {
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
        if (late != null) {
            late.cancel(false);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) throws Exception {
        super.channelInactive(context);
        if (link == null) {
            return;
        }
        late.cancel(false);
        link.ended("the other end closed it");
        if (greeted) {
            greeted = false;
            call(() -> handler.down(link, link.why()));
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
