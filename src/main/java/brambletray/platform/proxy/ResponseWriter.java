package brambletray.platform.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.socket.DuplexChannel;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** Writes responses to a client's connection. */
final class ResponseWriter {
    private static final byte[] LAST_CHUNK = "0\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

    private final Channel channel;
    private boolean chunked;
    /** Future of the last write: done once it and all earlier writes are done. */
    private ChannelFuture lastWrite;

    ResponseWriter(Channel channel) {
        this.channel = channel;
    }

    /** Writes a complete response of an instance. */
    void writeResponse(HostResponse response, boolean close) {
        chunked = false;
        lastWrite = channel.write(HeaderWriter.response(channel.alloc(), response, true, close));
        writeBody(response);
    }

    /** Writes the head of an instance's response and the part of its body received so far. */
    void startStreaming(HostResponse response, boolean close) {
        chunked = response.length < 0;
        lastWrite = channel.write(HeaderWriter.response(channel.alloc(), response, false, close));
        writeBody(response);
    }

    private void writeBody(HostResponse response) {
        ChannelFuture written = null;
        List<ByteBuf> body = response.takeBody();
        for (int i = 0; i < body.size(); i++) {
            written = writePart(body.get(i));
        }
        if (written != null) {
            written.addListener(done -> response.onWritten());
        }
        channel.flush();
    }

    private ChannelFuture writePart(ByteBuf bytes) {
        lastWrite = chunked ? writeChunk(bytes) : channel.write(bytes);
        return lastWrite;
    }

    private ChannelFuture writeChunk(ByteBuf bytes) {
        ByteBuf size = channel.alloc().buffer(10);
        size.writeCharSequence(Integer.toHexString(bytes.readableBytes()), StandardCharsets.US_ASCII);
        channel.write(size.writeByte('\r').writeByte('\n'));
        channel.write(bytes);
        return channel.write(channel.alloc().buffer(2).writeByte('\r').writeByte('\n'));
    }

    /** Returns false if the connection is not writable for now. */
    boolean writeMore(ByteBuf bytes) {
        writePart(bytes);
        channel.flush();
        return channel.isWritable();
    }

    void finishStreaming() {
        if (chunked) {
            lastWrite = channel.writeAndFlush(
                    channel.alloc().buffer(LAST_CHUNK.length).writeBytes(LAST_CHUNK));
        }
    }

    void writeOwnResponse(int status, String code, int retryAfterMs, CharSequence id, boolean bare, boolean close) {
        lastWrite = channel.writeAndFlush(HeaderWriter.ownResponse(
                channel.alloc(), status, Rejection.reason(status), code, retryAfterMs, id, bare, close));
    }

    void writeContinue() {
        channel.writeAndFlush(HeaderWriter.continueResponse(channel.alloc()));
    }

    /** Whether bytes are still queued because the client has not read them yet. */
    boolean isWriting() {
        return lastWrite != null && !lastWrite.isDone();
    }

    /**
     * Runs {@code then} once all writes so far have completed or failed; does nothing if none are pending.
     */
    void whenWritten(Runnable then) {
        if (isWriting()) {
            lastWrite.addListener(done -> then.run());
        }
    }

    /**
     * Closes the output after all writes. Closing the connection at once could reset it and lose the last response.
     */
    void closeAfterFlush() {
        ChannelFuture written = channel.writeAndFlush(io.netty.buffer.Unpooled.EMPTY_BUFFER);
        if (channel instanceof DuplexChannel duplex) {
            written.addListener(done -> duplex.shutdownOutput());
        } else {
            written.addListener(done -> channel.close());
        }
    }
}
