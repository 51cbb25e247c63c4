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
    private static final int MAX_HEADER_BYTES = 16 * 1024;
    private static final int MAX_LINE_BYTES = 4 * 1024;
    private static final int MAX_CHUNK_BYTES = 64 * 1024;

    private final HostConnection connection;

    ResponseDecoder(HostConnection connection) {
        super(new HttpDecoderConfig()
                .setMaxHeaderSize(MAX_HEADER_BYTES)
                .setMaxInitialLineLength(MAX_LINE_BYTES)
                .setMaxChunkSize(MAX_CHUNK_BYTES)
                .setInitialBufferSize(256));
        this.connection = connection;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object bytes) throws Exception {
        if (connection.isWaiting()) {
            super.channelRead(context, bytes);
        } else {
            // Guards the next request against an answer that is not its own.
            ReferenceCountUtil.release(bytes);
            connection.onUnsolicited();
        }
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out) throws Exception {
        if (connection.isAnswered()) {
            // After a complete response: any byte, even white space that the decoder would skip.
            in.skipBytes(in.readableBytes());
            connection.onSurplus();
        } else {
            super.decode(context, in, out);
        }
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        return connection.isHeadRequest() || super.isContentAlwaysEmpty(message);
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("both Content-Length and Transfer-Encoding");
    }
}
