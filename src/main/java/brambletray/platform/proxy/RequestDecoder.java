package brambletray.platform.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ByteProcessor;
import java.util.List;

/**
 * Decodes requests strictly: two lengths, or a header continued on the next line, allow request smuggling (rule
 * UNASKED) and are rejected as malformed.
 */
final class RequestDecoder extends HttpRequestDecoder {
    private static final int MAX_CHUNK_BYTES = 64 * 1024;

    private final ClientConnection client;
    /** Of the bytes inspected so far: the last one, and how many are beyond the reader index. */
    private byte lastByte;

    private int scannedBytes;
    /** What comes next belongs to a head; nothing more is looked at. */
    private boolean inHead = true;

    private boolean isMalformed;

    RequestDecoder(ClientConnection client, int headerBytes) {
        super(new HttpDecoderConfig()
                .setMaxHeaderSize(headerBytes)
                .setMaxInitialLineLength(headerBytes)
                .setMaxChunkSize(MAX_CHUNK_BYTES)
                .setInitialBufferSize(256));
        this.client = client;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object bytes) throws Exception {
        client.onBytes();
        super.channelRead(context, bytes);
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out) throws Exception {
        if (isMalformed) {
            in.skipBytes(in.readableBytes());
            return;
        }
        int before = in.readerIndex();
        if (inHead && hasFoldedHeader(in)) {
            isMalformed = true;
            in.skipBytes(in.readableBytes());
            out.add(malformed());
            return;
        }
        super.decode(context, in, out);
        scannedBytes = Math.max(0, scannedBytes - (in.readerIndex() - before));
        if (!out.isEmpty()) {
            // What follows is another part: a body, or the next head.
            scannedBytes = 0;
            lastByte = 0;
            inHead = out.get(out.size() - 1) instanceof LastHttpContent;
        }
    }

    /** In the order of what was read: the requests before it have their turn first. */
    private static HttpObject malformed() {
        HttpRequest request = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/");
        request.setDecoderResult(
                DecoderResult.failure(new IllegalArgumentException("a header that goes on in the next line")));
        return request;
    }

    /** Whether a header line begins with white space; inspects each byte once. */
    private boolean hasFoldedHeader(ByteBuf in) {
        int at = in.readerIndex() + scannedBytes;
        int end = in.writerIndex();
        while (at < end) {
            if (lastByte == '\n') {
                byte next = in.getByte(at);
                if (next == ' ' || next == '\t') {
                    return true;
                }
                if (next == '\r' || next == '\n') {
                    // The head's end: what follows is no header.
                    lastByte = 0;
                    scannedBytes = at - in.readerIndex();
                    return false;
                }
            }
            int newline = in.forEachByte(at, end - at, ByteProcessor.FIND_LF);
            if (newline < 0) {
                lastByte = in.getByte(end - 1);
                at = end;
            } else {
                lastByte = '\n';
                at = newline + 1;
            }
        }
        scannedBytes = end - in.readerIndex();
        return false;
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("both Content-Length and Transfer-Encoding");
    }
}
