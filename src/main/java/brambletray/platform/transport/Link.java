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
    public static final int MOST_WAITING = 4 << 20;
    /** Bytes of bulk frames that may wait; what is said beyond that is dropped, as who lacks it asks for it again. */
    public static final int MOST_BULK_WAITING = 512 << 10;

    private static final int FIRST = 512;
    private static final EventLog LOG = EventLog.of("transport");

    private final Channel channel;
    private final FrameCodec speech;
    private final Address peer;
    private final boolean dialled;
    private final BulkQueue bulk;
    private Object tag;
    private ByteBuf turn;
    private boolean open = true;
    private String why;

    Link(Channel channel, FrameCodec speech, boolean dialled) {
        this.channel = channel;
        this.speech = speech;
        this.dialled = dialled;
        this.bulk = new BulkQueue(channel);
        SocketAddress remote = channel.remoteAddress();
        this.peer = remote instanceof InetSocketAddress inet
                ? new Address(inet.getHostString(), inet.getPort())
                : new Address(String.valueOf(remote), 0);
    }

    /**
     * Sends a frame, with all others of this turn of the loop, at the turn's end.
     *
     * @return false if the link is closed, or is closed now as more than {@link #MOST_WAITING} bytes wait in it
     * @throws TransportException {@code speech.unwritable}
     */
    public boolean say(Object frame) {
        if (!open) {
            return false;
        }
        if (waiting() > MOST_WAITING) {
            close("the peer does not read: " + waiting() + " bytes wait");
            return false;
        }
        boolean first = turn == null;
        if (first) {
            turn = channel.alloc().directBuffer(FIRST);
        }
        try {
            speech.write(frame, turn);
        } finally {
            if (first) {
                channel.eventLoop().execute(this::flush);
            }
        }
        return true;
    }

    /**
     * Sends a frame that yields to those of {@link #say}: they overtake it, and stand behind one bulk frame of this
     * link at most. Bulk frames
     * keep their order among each other.
     *
     * @return false if the link is closed, or the frame is dropped as {@link #MOST_BULK_WAITING} bytes wait
     * @throws TransportException {@code speech.unwritable}
     */
    public boolean sayBulk(Object frame) {
        if (!open || bulk.bytes() > MOST_BULK_WAITING) {
            return false;
        }
        ByteBuf bytes = channel.alloc().directBuffer(FIRST);
        try {
            speech.write(frame, bytes);
        } catch (TransportException fault) {
            bytes.release();
            throw fault;
        }
        bulk.add(bytes);
        channel.eventLoop().execute(bulk::advance);
        return true;
    }

    /** Bytes that were said and have not left this process. */
    public long waiting() {
        ChannelOutboundBuffer queue = channel.unsafe().outboundBuffer();
        long handed = queue == null ? 0 : queue.totalPendingWriteBytes();
        return handed + (turn == null ? 0 : turn.readableBytes()) + bulk.bytes();
    }

    /** Ends the link once what was said has been handed to the socket. */
    public void close() {
        close("closed here");
    }

    /** The same, and says why in the log and to the handler. */
    public void close(String why) {
        if (open) {
            open = false;
            this.why = why;
            bulk.clear();
            flush();
            channel.close();
        }
    }

    /** Whether frames may still be said. */
    public boolean open() {
        return open;
    }

    /** Where the other end is; for a link that was accepted its port is none that can be called. */
    public Address peer() {
        return peer;
    }

    /** Whether we called, rather than were called. */
    public boolean dialled() {
        return dialled;
    }

    /** What the owner has put on this link, or null. */
    public Object tag() {
        return tag;
    }

    public void tag(Object tag) {
        this.tag = tag;
    }

    String why() {
        return why;
    }

    /** The channel is gone. */
    void ended(String reason) {
        open = false;
        if (why == null) {
            why = reason;
        }
        bulk.clear();
        if (turn != null) {
            turn.release();
            turn = null;
        }
    }

    /** What is said by the transport before the first frame. */
    void raw(ByteBuf bytes) {
        channel.writeAndFlush(bytes, channel.voidPromise());
    }

    private void flush() {
        ByteBuf said = turn;
        turn = null;
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
        return (dialled ? "to " : "from ") + peer;
    }

    static EventLog log() {
        return LOG;
    }
}
