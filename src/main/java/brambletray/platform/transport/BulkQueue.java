package brambletray.platform.transport;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import java.util.ArrayDeque;

/**
 * Frames of a link that yield to all its other frames. One at a time is handed to the connection, and the next one
 * only after the socket has taken it. Another frame therefore waits behind one bulk frame in this process at most.
 * For the event loop only.
 */
final class BulkQueue {
    private final Channel channel;
    private final ArrayDeque<ByteBuf> frames = new ArrayDeque<>();
    private long bytes;
    private boolean writing;

    BulkQueue(Channel channel) {
        this.channel = channel;
    }

    /** Bytes that haven't been handed to the connection. */
    long bytes() {
        return bytes;
    }

    /** Takes the frame over. */
    void enqueue(ByteBuf frame) {
        if (frames.isEmpty() && !writing) {
            Sockets.limitUnsentBytes(channel);
        }
        frames.add(frame);
        bytes += frame.readableBytes();
    }

    /** Hands the next frame to the connection unless one is there already. */
    void advance() {
        if (writing || frames.isEmpty() || !channel.isActive()) {
            return;
        }
        ByteBuf frame = frames.remove();
        bytes -= frame.readableBytes();
        writing = true;
        channel.writeAndFlush(frame).addListener(done -> {
            writing = false;
            // from a turn of its own, so that frames that were said meanwhile go first
            channel.eventLoop().execute(this::advance);
        });
    }

    /** Drops all that waits. */
    void clear() {
        frames.forEach(ByteBuf::release);
        frames.clear();
        bytes = 0;
    }
}
