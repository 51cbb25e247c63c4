package brambletray.platform.proxy;

import io.netty.buffer.ByteBuf;

/**
 * Follows the lines of one request's head while its bytes arrive, in whatever pieces. Each byte is inspected once. Like
 * the decoder, it ignores blank bytes before the request line. The request line, and all header lines together, have a
 * maximum size each, without the ends of lines.
 */
final class RequestHeadScanner {
    /** What is known of the head. */
    enum Result {
        /** No fault so far, and the head's end has not arrived. */
        INCOMPLETE,
        /** The head's end has arrived. Nothing more is inspected until {@link #reset}. */
        COMPLETE,
        /** A header line begins with white space, and so continues the line before it. */
        FOLDED,
        /** The request line, or the header lines together, exceed the maximum size. */
        TOO_LONG
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
    /** Size of the complete header lines. */
    private int headerBytes;
    /** The last inspected byte of that line. */
    private byte lastByte;
    /** Index after the last inspected byte, in the buffer of the latest {@link #scan}. */
    private int position;

    /** Expects the next head. */
    void reset() {
        phase = Phase.BEFORE_HEAD;
        lineBytes = 0;
        headerBytes = 0;
    }

    /** Whether a byte of the request line has been inspected since {@link #reset}. */
    boolean hasBegun() {
        return phase != Phase.BEFORE_HEAD;
    }

    /** Index after the last byte that {@link #scan} inspected. */
    int position() {
        return position;
    }

    /** Passes over blank bytes from this index on; whether the request line begins behind them. */
    boolean skipBlanks(ByteBuf in, int from) {
        position = from;
        int end = in.writerIndex();
        while (position < end && isBlank(in.getByte(position))) {
            position++;
        }
        if (position < end) {
            phase = Phase.REQUEST_LINE;
        }
        return hasBegun();
    }

    /** Inspects the bytes from this index on, up to the end of the head, which has begun. */
    Result scan(ByteBuf in, int from, int maxBytes) {
        position = from;
        int end = in.writerIndex();
        while (position < end && phase != Phase.AFTER_HEAD) {
            if (phase == Phase.HEADERS && lineBytes == 0 && isSpaceOrTab(in.getByte(position))) {
                return Result.FOLDED;
            }
            scanLine(in, end);
            if (headerBytes + lineLength() > maxBytes) {
                return Result.TOO_LONG;
            }
            if (position > from && in.getByte(position - 1) == '\n') {
                endLine();
            }
        }
        return phase == Phase.AFTER_HEAD ? Result.COMPLETE : Result.INCOMPLETE;
    }

    /** Inspects the rest of the line, up to its line feed. */
    private void scanLine(ByteBuf in, int end) {
        int lineFeed = in.indexOf(position, end, (byte) '\n');
        int to = lineFeed < 0 ? end : lineFeed;
        if (to > position) {
            lastByte = in.getByte(to - 1);
            lineBytes += to - position;
        }
        position = lineFeed < 0 ? end : lineFeed + 1;
    }

    private void endLine() {
        if (phase == Phase.REQUEST_LINE) {
            phase = Phase.HEADERS;
        } else if (lineLength() == 0) {
            phase = Phase.AFTER_HEAD;
        } else {
            headerBytes += lineLength();
        }
        lineBytes = 0;
    }

    /** Size of the line without a carriage return at its end. */
    private int lineLength() {
        return lineBytes > 0 && lastByte == '\r' ? lineBytes - 1 : lineBytes;
    }

    private static boolean isBlank(byte b) {
        return b >= 0 && b <= ' ' || b == 0x7f;
    }

    private static boolean isSpaceOrTab(byte b) {
        return b == ' ' || b == '\t';
    }
}
