package brambletray.platform.replication;

import brambletray.platform.transport.FrameCodec;
import brambletray.platform.transport.Link;
import java.util.List;

/** How long frames are on a link, nearly, and what a link bears. */
final class MessageSizes {
    static final int MAX_FRAME_BYTES = FrameCodec.MAX_FRAME_BYTES;
    static final long MAX_PENDING_BYTES = Link.MAX_PENDING_BYTES;
    private static final int SMALL_MESSAGE_BYTES = 64;

    private MessageSizes() {}

    static int bytes(Object frame) {
        if (frame instanceof ReplicationMessage.AppendRequest append) {
            return SMALL_MESSAGE_BYTES + bytes(append.entries());
        }
        if (frame instanceof ReplicationMessage.InstallViewRequest install) {
            return 4 * SMALL_MESSAGE_BYTES
                    + install.patch().snapshot().length
                    + bytes(install.patch().entries());
        }
        if (frame instanceof ReplicationMessage.FetchChunkResponse chunk) {
            return SMALL_MESSAGE_BYTES + chunk.bytes().length;
        }
        if (frame instanceof ReplicationMessage.ProposeRequest submit) {
            return SMALL_MESSAGE_BYTES + submit.bytes().length;
        }
        return frame instanceof ReplicationMessage.PrepareResponse || frame instanceof ReplicationMessage.JoinResponse
                ? 4 * SMALL_MESSAGE_BYTES
                : SMALL_MESSAGE_BYTES;
    }

    private static int bytes(List<LogEntry> entries) {
        int bytes = 0;
        for (LogEntry entry : entries) {
            bytes += SMALL_MESSAGE_BYTES + entry.bytes().length;
        }
        return bytes;
    }
}
