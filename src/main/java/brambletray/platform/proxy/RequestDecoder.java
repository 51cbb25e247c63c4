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
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import java.util.List;

/**
 * Decodes requests strictly: conflicting body lengths, or a header continued on the next line, allow request smuggling
 * (rule UNASKED) and are rejected as malformed. The size of a head is limited by what its {@link Listener} allows.
 */
final class RequestDecoder extends HttpRequestDecoder {
    private static final int MAX_CHUNK_BYTES = 64 * 1024;

    /** Framing of a body that may arrive without its content, in bytes, beside what the header limit allows. */
    private static final int MIN_FRAMING_BYTES = 64;

    /** Is notified of arriving requests, and knows how large they may be. */
    interface Listener {
        /** Called for any received bytes, before they are decoded. */
        void onBytes();

        /** Called when the first byte of a request line has arrived. */
        void onRequestBegins();

        /** Maximum size of the request line, and of the headers, of the request that is arriving. */
        int maxHeaderBytes();
    }

    private final Listener listener;
    private final RequestHeadScanner headScanner = new RequestHeadScanner();
    /** Number of inspected bytes beyond the reader index. */
    private int scannedBytes;
    /** Bytes of a body's framing that were decoded since the latest output. */
    private long framingBytes;
    /** Whether the next bytes belong to a request's head. */
    private boolean inHead = true;
    /** A malformed request was found: all further bytes are discarded. */
    private boolean isMalformed;

    /** The sizes of heads and of the framing of bodies are limited here, as the limit may change with each request. */
    RequestDecoder(Listener listener) {
        super(new HttpDecoderConfig()
                .setMaxHeaderSize(Integer.MAX_VALUE)
                .setMaxInitialLineLength(Integer.MAX_VALUE)
                .setMaxChunkSize(MAX_CHUNK_BYTES)
                .setInitialBufferSize(256));
        this.listener = listener;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object bytes) throws Exception {
        listener.onBytes();
        super.channelRead(context, bytes);
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out) throws Exception {
        if (isMalformed) {
            in.skipBytes(in.readableBytes());
            return;
        }
        RuntimeException fault = inHead ? findFaultInHead(in) : null;
        if (fault == null) {
            int before = in.readerIndex();
            super.decode(context, in, out);
            int consumedBytes = in.readerIndex() - before;
            onDecoded(consumedBytes, out);
            // What the decoder does not consume is an incomplete line.
            fault = findFaultInFraming(out.isEmpty() && consumedBytes == 0 ? in.readableBytes() : 0);
        }
        if (fault != null) {
            isMalformed = true;
            in.skipBytes(in.readableBytes());
            out.add(malformed(fault));
        }
    }

    private void onDecoded(int consumedBytes, List<Object> out) {
        scannedBytes = Math.max(0, scannedBytes - consumedBytes);
        framingBytes += inHead ? 0 : consumedBytes;
        if (!out.isEmpty()) {
            // The following bytes belong to another part: a body or the next head.
            scannedBytes = 0;
            framingBytes = 0;
            headScanner.reset();
            HttpObject latest = (HttpObject) out.get(out.size() - 1);
            inHead = latest instanceof LastHttpContent;
            isMalformed = latest.decoderResult().isFailure();
        }
    }

    /** Returns the reason why the head that is arriving is rejected; null if there is none so far. */
    private RuntimeException findFaultInHead(ByteBuf in) {
        if (!headScanner.hasBegun()) {
            boolean begins = headScanner.skipBlanks(in, in.readerIndex() + scannedBytes);
            scannedBytes = headScanner.position() - in.readerIndex();
            if (!begins) {
                return null;
            }
            listener.onRequestBegins();
        }
        RequestHeadScanner.Result result =
                headScanner.scan(in, in.readerIndex() + scannedBytes, listener.maxHeaderBytes());
        scannedBytes = headScanner.position() - in.readerIndex();
        return switch (result) {
            case INCOMPLETE, COMPLETE -> null;
            case FOLDED -> new IllegalArgumentException("header continued on the next line");
            case TOO_LONG -> new TooLongHttpHeaderException("head exceeds the limit");
        };
    }

    /** Returns a fault if lines with sizes of chunks, or trailers, arrive without end; else null. */
    private RuntimeException findFaultInFraming(int incompleteLineBytes) {
        boolean isTooLong = !inHead
                && !isMalformed
                && framingBytes + incompleteLineBytes > MIN_FRAMING_BYTES + 2L * listener.maxHeaderBytes();
        return isTooLong ? new TooLongHttpHeaderException("framing of a body exceeds the limit") : null;
    }

    /** Stands for the malformed request in the pipeline's order, so that earlier requests are processed first. */
    private static HttpObject malformed(RuntimeException fault) {
        HttpRequest request = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/");
        request.setDecoderResult(DecoderResult.failure(fault));
        return request;
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("both Content-Length and Transfer-Encoding");
    }
}
