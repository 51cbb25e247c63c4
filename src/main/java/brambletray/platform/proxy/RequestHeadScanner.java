package brambletray.platform.proxy;

import io.netty.buffer.ByteBuf;

/**
 * Follows the lines of one request's head while its bytes arrive, in whatever pieces. Each byte is inspected once. Like
 * the decoder, it ignores blank bytes before the request line.
 */
final class RequestHeadScanner {
    /** What is known of the head. */
    enum Result {
        /** No fault so far, and the head's end has not arrived. */
        INCOMPLETE,
        /** The head's end has arrived. Nothing more is inspected until {@link #reset}. */
        COMPLETE,
        /** A header line begins with white space, and so continues the line before it. */
        FOLDED
    }

    private enum Phase {
        BEFORE_HEAD,
        REQUEST_LINE,
        HEADERS,
        AFTER_HEAD
    }

    private Phase phase = Phase.BEFORE_HEAD;
    /** Inspected bytes of the line that is arriving. */
    private int lineBytes;
    /** The last inspected byte of that line. */
    private byte lastByte;
    /** Index after the last inspected byte, in the buffer of the latest {@link #scan}. */
    private int position;

    /** Expects the next head. */
    void reset() {
        phase = Phase.BEFORE_HEAD;
        lineBytes = 0;
    }

    /** Index after the last byte that {@link #scan} inspected. */
    int position() {
        return position;
    }

    /** Inspects the bytes from this index on, up to the end of the head. */
    Result scan(ByteBuf in, int from) {
        position = from;
        int end = in.writerIndex();
        while (position < end && phase != Phase.AFTER_HEAD) {
            if (phase == Phase.BEFORE_HEAD) {
                skipBlanks(in, end);
            } else if (phase == Phase.HEADERS && lineBytes == 0 && isSpaceOrTab(in.getByte(position))) {
                return Result.FOLDED;
            } else {
                scanLine(in, end);
            }
        }
        return phase == Phase.AFTER_HEAD ? Result.COMPLETE : Result.INCOMPLETE;
    }

    private void skipBlanks(ByteBuf in, int end) {
        while (position < end && isBlank(in.getByte(position))) {
            position++;
        }
        if (position < end) {
            phase = Phase.REQUEST_LINE;
        }
    }

    private void scanLine(ByteBuf in, int end) {
        int lineFeed = in.indexOf(position, end, (byte) '\n');
        int to = lineFeed < 0 ? end : lineFeed;
        if (to > position) {
            lastByte = in.getByte(to - 1);
            lineBytes += to - position;
        }
        if (lineFeed < 0) {
            position = end;
            return;
        }
        position = lineFeed + 1;
        boolean isEmpty = lineBytes == 0 || lineBytes == 1 && lastByte == '\r';
        phase = phase == Phase.HEADERS && isEmpty ? Phase.AFTER_HEAD : Phase.HEADERS;
        lineBytes = 0;
    }

    private static boolean isBlank(byte b) {
        return b >= 0 && b <= ' ' || b == 0x7f;
    }

    private static boolean isSpaceOrTab(byte b) {
        return b == ' ' || b == '\t';
    }
}
