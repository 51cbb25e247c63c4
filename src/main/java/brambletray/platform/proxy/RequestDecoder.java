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
import java.util.List;

/**
 * Decodes requests strictly: conflicting body lengths, or a header continued on the next line, allow request smuggling
 * (rule UNASKED) and are rejected as malformed.
 */
final class RequestDecoder extends HttpRequestDecoder {
    private static final int MAX_CHUNK_BYTES = 64 * 1024;

    /** Is told of arriving bytes. */
    interface Listener {
        /** Called for any received bytes, before they are decoded. */
        void onBytes();
    }

    private final Listener listener;
    private final RequestHeadScanner headScanner = new RequestHeadScanner();
    /** Number of inspected bytes beyond the reader index. */
    private int scannedBytes;
    /** Whether the next bytes belong to a request's head. */
    private boolean inHead = true;
    /** A malformed request was found: all further bytes are discarded. */
    private boolean isMalformed;

    RequestDecoder(Listener listener, int headerBytes) {
        super(new HttpDecoderConfig()
                .setMaxHeaderSize(headerBytes)
                .setMaxInitialLineLength(headerBytes)
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
        if (inHead && hasFoldedHeader(in)) {
            isMalformed = true;
            in.skipBytes(in.readableBytes());
            out.add(malformed());
            return;
        }
        int before = in.readerIndex();
        super.decode(context, in, out);
        scannedBytes = Math.max(0, scannedBytes - (in.readerIndex() - before));
        if (!out.isEmpty()) {
            // The following bytes belong to another part: a body or the next head.
            scannedBytes = 0;
            headScanner.reset();
            HttpObject latest = (HttpObject) out.get(out.size() - 1);
            inHead = latest instanceof LastHttpContent;
            isMalformed = latest.decoderResult().isFailure();
        }
    }

    /** Stands for the malformed request in the pipeline's order, so that earlier requests are processed first. */
    private static HttpObject malformed() {
        HttpRequest request = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/");
        request.setDecoderResult(
                DecoderResult.failure(new IllegalArgumentException("header continued on the next line")));
        return request;
    }

    private boolean hasFoldedHeader(ByteBuf in) {
        RequestHeadScanner.Result result = headScanner.scan(in, in.readerIndex() + scannedBytes);
        scannedBytes = headScanner.position() - in.readerIndex();
        return result == RequestHeadScanner.Result.FOLDED;
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("both Content-Length and Transfer-Encoding");
    }
}
