package brambletray.platform.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.util.ReferenceCountUtil;
import java.util.List;

/**
 * Reads answers of hosts. Bytes that no request waits for are not looked at: they end the connection (connection
 * poisoning).
 */
final class ResponseDecoder extends HttpResponseDecoder {
    private static final int HEAD_MOST = 16 * 1024;
    private static final int LINE_MOST = 4 * 1024;
    private static final int PIECE_MOST = 64 * 1024;

    private final HostConnection line;

    ResponseDecoder(HostConnection line) {
        super(new HttpDecoderConfig()
                .setMaxHeaderSize(HEAD_MOST)
                .setMaxInitialLineLength(LINE_MOST)
                .setMaxChunkSize(PIECE_MOST)
                .setInitialBufferSize(256));
        this.line = line;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object bytes) throws Exception {
        if (line.waits()) {
            super.channelRead(context, bytes);
        } else {
            // Guards the next request against an answer that is not its own.
            ReferenceCountUtil.release(bytes);
            line.unasked();
        }
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out) throws Exception {
        if (line.answered()) {
            // Behind a whole answer: whatever it is, down to a blank that the decoder would pass over.
            in.skipBytes(in.readableBytes());
            line.surplus();
        } else {
            super.decode(context, in, out);
        }
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        return line.atHead() || super.isContentAlwaysEmpty(message);
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("both Content-Length and Transfer-Encoding");
    }
}
