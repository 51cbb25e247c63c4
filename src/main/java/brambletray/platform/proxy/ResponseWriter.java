package brambletray.platform.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.socket.DuplexChannel;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** Writes answers on a client's connection. */
final class ResponseWriter {
    private static final byte[] LAST_CHUNK = "0\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

    private final Channel channel;
    private boolean chunked;
    /** Of the newest bytes: done once they and all before them are out. */
    private ChannelFuture newest;

    ResponseWriter(Channel channel) {
        this.channel = channel;
    }

    /** A host's whole answer. */
    void answer(HostResponse answer, boolean close) {
        chunked = false;
        newest = channel.write(HeaderWriter.answer(channel.alloc(), answer, true, close));
        body(answer);
    }

    /** The head of a host's answer and what has come of its body. */
    void flow(HostResponse answer, boolean close) {
        chunked = answer.length < 0;
        newest = channel.write(HeaderWriter.answer(channel.alloc(), answer, false, close));
        body(answer);
    }

    private void body(HostResponse answer) {
        ChannelFuture written = null;
        List<ByteBuf> body = answer.take();
        for (int i = 0; i < body.size(); i++) {
            written = piece(body.get(i));
        }
        if (written != null) {
            written.addListener(done -> answer.written());
        }
        channel.flush();
    }

    private ChannelFuture piece(ByteBuf bytes) {
        newest = chunked ? chunk(bytes) : channel.write(bytes);
        return newest;
    }

    private ChannelFuture chunk(ByteBuf bytes) {
        ByteBuf size = channel.alloc().buffer(10);
        size.writeCharSequence(Integer.toHexString(bytes.readableBytes()), StandardCharsets.US_ASCII);
        channel.write(size.writeByte('\r').writeByte('\n'));
        channel.write(bytes);
        return channel.write(channel.alloc().buffer(2).writeByte('\r').writeByte('\n'));
    }

    /** False where the client has enough to read for now. */
    boolean more(ByteBuf bytes) {
        piece(bytes);
        channel.flush();
        return channel.isWritable();
    }

    void flowed() {
        if (chunked) {
            newest = channel.writeAndFlush(
                    channel.alloc().buffer(LAST_CHUNK.length).writeBytes(LAST_CHUNK));
        }
    }

    void own(int status, String code, int comeBackMs, CharSequence id, boolean bare, boolean close) {
        newest = channel.writeAndFlush(
                HeaderWriter.own(channel.alloc(), status, Rejection.reason(status), code, comeBackMs, id, bare, close));
    }

    void proceed() {
        channel.writeAndFlush(HeaderWriter.proceed(channel.alloc()));
    }

    /** Whether bytes wait here because the client does not take them yet. */
    boolean isWriting() {
        return newest != null && !newest.isDone();
    }

    /** Runs {@code then} once all that has been written so far is out, or can't go out any more. */
    void whenWritten(Runnable then) {
        if (isWriting()) {
            newest.addListener(done -> then.run());
        }
    }

    /**
     * Nothing more will be written; to close at once could reset the connection, and the last answer be lost with it.
     */
    void last() {
        ChannelFuture written = channel.writeAndFlush(io.netty.buffer.Unpooled.EMPTY_BUFFER);
        if (channel instanceof DuplexChannel duplex) {
            written.addListener(done -> duplex.shutdownOutput());
        } else {
            written.addListener(done -> channel.close());
        }
    }
}
