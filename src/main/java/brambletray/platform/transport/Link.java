package brambletray.platform.transport;

import brambletray.platform.logging.EventLog;
import brambletray.platform.settings.Address;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOutboundBuffer;
import java.net.InetSocketAddress;
import java.net.SocketAddress;

/** One end of a connection between two processes of ours. For the loop only. */
public final class Link {
    /** Bytes that may wait for a slow peer; with more than that the link is closed. */
    public static final int MAX_PENDING_BYTES = 4 << 20;
    /**
     * Bytes of bulk frames that may be queued; frames beyond that are dropped, as the receiver requests them again.
     */
    public static final int MAX_PENDING_BULK_BYTES = 512 << 10;

    private static final int INITIAL_BUFFER_BYTES = 512;
    private static final EventLog LOG = EventLog.of("transport");

    private final Channel channel;
    private final FrameCodec codec;
    private final Address peer;
    private final boolean outbound;
    private final BulkQueue bulkQueue;
    private Object tag;
    private ByteBuf pendingBytes;
    private boolean isOpen = true;
    private String closeReason;

    Link(Channel channel, FrameCodec codec, boolean outbound) {
        this.channel = channel;
        this.codec = codec;
        this.outbound = outbound;
        this.bulkQueue = new BulkQueue(channel);
        SocketAddress remote = channel.remoteAddress();
        this.peer = remote instanceof InetSocketAddress inet
                ? new Address(inet.getHostString(), inet.getPort())
                : new Address(String.valueOf(remote), 0);
    }

    /**
     * Sends a frame, with all others of this turn of the loop, at the turn's end.
     *
     * @return false if the link is closed, or is closed now as more than {@link #MAX_PENDING_BYTES} bytes wait in it
     * @throws TransportException {@code speech.unwritable}
     */
    public boolean send(Object frame) {
        if (!isOpen) {
            return false;
        }
        if (pendingByteCount() > MAX_PENDING_BYTES) {
            close("the peer does not read: " + pendingByteCount() + " bytes wait");
            return false;
        }
        boolean first = pendingBytes == null;
        if (first) {
            pendingBytes = channel.alloc().directBuffer(INITIAL_BUFFER_BYTES);
        }
        try {
            codec.write(frame, pendingBytes);
        } finally {
            if (first) {
                channel.eventLoop().execute(this::flush);
            }
        }
        return true;
    }

    /**
     * Sends a frame that yields to those of {@link #send}: they overtake it, and stand behind one bulk frame of this
     * link at most. Bulk frames
     * keep their order among each other.
     *
     * @return false if the link is closed, or the frame is dropped as {@link #MAX_PENDING_BULK_BYTES} bytes wait
     * @throws TransportException {@code speech.unwritable}
     */
    public boolean sendBulk(Object frame) {
        if (!isOpen || bulkQueue.bytes() > MAX_PENDING_BULK_BYTES) {
            return false;
        }
        ByteBuf bytes = channel.alloc().directBuffer(INITIAL_BUFFER_BYTES);
        try {
            codec.write(frame, bytes);
        } catch (TransportException fault) {
            bytes.release();
            throw fault;
        }
        bulkQueue.enqueue(bytes);
        channel.eventLoop().execute(bulkQueue::advance);
        return true;
    }

    /** Bytes that were said and have not left this process. */
    public long pendingByteCount() {
        ChannelOutboundBuffer queue = channel.unsafe().outboundBuffer();
        long handed = queue == null ? 0 : queue.totalPendingWriteBytes();
        return handed + (pendingBytes == null ? 0 : pendingBytes.readableBytes()) + bulkQueue.bytes();
    }

    /** Ends the link once what was said has been handed to the socket. */
    public void close() {
        close("closed here");
    }

    /** The same, and says why in the log and to the handler. */
    public void close(String reason) {
        if (isOpen) {
            isOpen = false;
            this.closeReason = reason;
            bulkQueue.clear();
            flush();
            channel.close();
        }
    }

    /** Whether frames may still be said. */
    public boolean isOpen() {
        return isOpen;
    }

    /** Where the other end is; for a link that was accepted its port is none that can be called. */
    public Address peer() {
        return peer;
    }

    /** Whether we called, rather than were called. */
    public boolean isOutbound() {
        return outbound;
    }

    /** What the owner has put on this link, or null. */
    public Object tag() {
        return tag;
    }

    /** Puts an object of the owner on this link. */
    public void tag(Object tag) {
        this.tag = tag;
    }

    String closeReason() {
        return closeReason;
    }

    /** The channel is gone. */
    void onClosed(String reason) {
        isOpen = false;
        if (closeReason == null) {
            closeReason = reason;
        }
        bulkQueue.clear();
        if (pendingBytes != null) {
            pendingBytes.release();
            pendingBytes = null;
        }
    }

    /** What is said by the transport before the first frame. */
    void sendRaw(ByteBuf bytes) {
        channel.writeAndFlush(bytes, channel.voidPromise());
    }

    private void flush() {
        ByteBuf said = pendingBytes;
        pendingBytes = null;
        if (said == null) {
            return;
        }
        if (said.isReadable() && channel.isActive()) {
            channel.writeAndFlush(said, channel.voidPromise());
        } else {
            said.release();
        }
    }

    @Override
    public String toString() {
        return (outbound ? "to " : "from ") + peer;
    }

    static EventLog log() {
        return LOG;
    }
}
