package brambletray.tray.speech;

import brambletray.tray.berth.Address;
import brambletray.tray.tale.Tale;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOutboundBuffer;
import java.net.InetSocketAddress;
import java.net.SocketAddress;

/** One end of a connection between two processes of ours. For the loop only. */
public final class Link {
    /** Bytes that may wait for a slow peer; with more than that the link is closed. */
    public static final int MOST_WAITING = 4 << 20;

    private static final int FIRST = 512;
    private static final Tale TALE = Tale.of("speech");

    private final Channel channel;
    private final Speech speech;
    private final Address peer;
    private final boolean dialled;
    private Object tag;
    private ByteBuf turn;
    private boolean open = true;
    private String why;

    Link(Channel channel, Speech speech, boolean dialled) {
        this.channel = channel;
        this.speech = speech;
        this.dialled = dialled;
        SocketAddress remote = channel.remoteAddress();
        this.peer = remote instanceof InetSocketAddress inet
                ? new Address(inet.getHostString(), inet.getPort())
                : new Address(String.valueOf(remote), 0);
    }

    /**
     * Sends a frame, with all others of this turn of the loop, at the turn's end.
     *
     * @return false if the link is closed, or is closed now as more than {@link #MOST_WAITING} bytes wait in it
     * @throws SpeechFault {@code speech.unwritable}
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

    /** Bytes that were said and have not left this process. */
    public long waiting() {
        ChannelOutboundBuffer queue = channel.unsafe().outboundBuffer();
        return (queue == null ? 0 : queue.totalPendingWriteBytes()) + (turn == null ? 0 : turn.readableBytes());
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

    static Tale tale() {
        return TALE;
    }
}
