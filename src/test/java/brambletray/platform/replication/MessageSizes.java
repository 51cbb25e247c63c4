package brambletray.platform.replication;

import brambletray.platform.transport.FrameCodec;
import brambletray.platform.transport.Link;
import java.util.List;

/** How long frames are on a link, nearly, and what a link bears. */
final class MessageSizes {
    static final int LONGEST = FrameCodec.MAX_FRAME_BYTES;
    static final long MOST_WAITING = Link.MAX_PENDING_BYTES;
    private static final int SMALL = 64;

    private MessageSizes() {}

    static int bytes(Object frame) {
        if (frame instanceof ReplicationMessage.AppendRequest append) {
            return SMALL + bytes(append.entries());
        }
        if (frame instanceof ReplicationMessage.InstallViewRequest install) {
            return 4 * SMALL
                    + install.patch().snapshot().length
                    + bytes(install.patch().entries());
        }
        if (frame instanceof ReplicationMessage.FetchChunkResponse chunk) {
            return SMALL + chunk.bytes().length;
        }
        if (frame instanceof ReplicationMessage.ProposeRequest submit) {
            return SMALL + submit.bytes().length;
        }
        return frame instanceof ReplicationMessage.PrepareResponse || frame instanceof ReplicationMessage.JoinResponse
                ? 4 * SMALL
                : SMALL;
    }

    private static int bytes(List<LogEntry> entries) {
        int bytes = 0;
        for (LogEntry entry : entries) {
            bytes += SMALL + entry.bytes().length;
        }
        return bytes;
    }
}
