package brambletray.platform.proxy;

import brambletray.platform.admission.AttemptOutcome;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelProgressiveFuture;
import io.netty.channel.ChannelProgressiveFutureListener;
import io.netty.channel.ChannelProgressivePromise;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.ReferenceCountUtil;

/**
 * One connection to a host, with one request at a time. A response counts when it is complete and carries the
 * request's id; surplus responses are skipped; anything else closes the connection, and the request on it ends as
 * {@link AttemptOutcome#BROKEN}.
 *
 * <p>The connection is reused only if nothing is pending in either direction: the request was written to its last
 * byte, its response was complete, the only one and identified, no bytes followed it, and neither side announced that
 * it closes. Any other end of a request closes its connection.
 */
final class HostConnection extends ChannelInboundHandlerAdapter {
    /** Bytes of a body that travel in one piece with their head. */
    static final int MAX_JOINED_BODY_BYTES = 8 * 1024;

    private final HostConnectionPools pools;
    final HostConnectionPool pool;
    final ResponseDecoder decoder = new ResponseDecoder(this);
    private Channel channel;
    /** What it is at; null while it is idle. */
    private ResponseReader responseReader;

    private boolean requestWritten;
    private boolean keepAlive = true;
    private boolean neverUsed = true;
    /** ms of the steady clock; how long it may be idle, ms, by the host's word if {@code idleTimeStated}. */
    long idleSinceMs;

    private int idleMs;
    private boolean idleTimeStated;

    HostConnection(HostConnectionPools pools, HostConnectionPool pool) {
        this.pools = pools;
        this.pool = pool;
        this.idleMs = pools.idleMs;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        channel = context.channel();
    }

    /** A request was sent and its response is incomplete: arriving bytes may belong to it. */
    boolean isWaiting() {
        return responseReader != null && responseReader.isSent();
    }

    boolean isAnswered() {
        return responseReader != null && responseReader.isComplete();
    }

    /** Bytes after a complete response: they belong to no request and do not affect it. */
    void onSurplus() {
        keepAlive = false;
    }

    /**
     * Bytes that come while nobody can have asked for them: not a byte of what waits has gone out, it can go elsewhere.
     */
    void onUnsolicited() {
        if (responseReader != null) {
            onUnsent();
        } else {
            channel.close();
        }
    }

    boolean isHeadRequest() {
        return responseReader != null
                && responseReader.hostCall().clientRequest().isHeadRequest();
    }

    boolean isOpen() {
        return channel.isActive();
    }

    void close() {
        channel.close();
    }

    /** Not used again after this request. */
    void closeAfterResponse() {
        keepAlive = false;
        if (responseReader == null) {
            channel.close();
        }
    }

    /** Whether a request may go out on it now; a careful one only where the host surely hasn't closed it. */
    boolean isUsable(long now, boolean requiresOpenConnection) {
        return channel.isActive()
                && now - idleSinceMs
                        < (requiresOpenConnection && !idleTimeStated
                                ? Math.min(idleMs, HostConnectionPools.MAX_UNSTATED_IDLE_MS)
                                : idleMs);
    }

    boolean isStale(long now) {
        return responseReader == null && now - idleSinceMs >= idleMs;
    }

    // ---- Writing --------------------------------------------------------------------------------
    void send(HostCall hostCall) {
        ResponseReader begun = new ResponseReader(hostCall, pools.counters, !neverUsed);
        responseReader = begun;
        requestWritten = false;
        hostCall.onConnected(this);
        ByteBuf body = hostCall.clientRequest().body();
        ByteBuf head = HeaderWriter.request(
                channel.alloc(),
                hostCall.clientRequest(),
                hostCall.instanceId(),
                hostCall.hostDeadlineMs() - pools.now());
        ChannelProgressivePromise promise = channel.newProgressivePromise();
        boolean joined = body.readableBytes() <= MAX_JOINED_BODY_BYTES;
        promise.addListener(new WriteListener(begun, joined));
        if (joined) {
            head.writeBytes(body, body.readerIndex(), body.readableBytes());
            channel.writeAndFlush(head, promise);
        } else {
            channel.write(head, promise);
            channel.writeAndFlush(body.retainedDuplicate())
                    .addListener(done -> requestWritten |= done.isSuccess() && begun == responseReader);
        }
    }

    /** Tells a request of which a byte has gone out, and may run, from one of which none has. */
    private final class WriteListener implements ChannelProgressiveFutureListener {
        private final ResponseReader reader;
        private final boolean includesBody;
        private boolean sent;

        WriteListener(ResponseReader of, boolean all) {
            this.reader = of;
            this.includesBody = all;
        }

        @Override
        public void operationProgressed(ChannelProgressiveFuture future, long progress, long total) {
            if (!sent && progress > 0) {
                sent = true;
                reader.onSent();
                reader.hostCall().onSent();
            }
        }

        @Override
        public void operationComplete(ChannelProgressiveFuture done) {
            if (done.isSuccess()) {
                operationProgressed(done, 1, 1);
                requestWritten |= includesBody && reader == responseReader;
            } else if (!sent && reader == responseReader) {
                onUnsent();
            } else {
                channel.close();
            }
        }
    }

    /** Not a byte went out: it can go elsewhere. */
    private void onUnsent() {
        HostCall hostCall = responseReader.hostCall();
        responseReader = null;
        channel.close();
        if (neverUsed) {
            // Guards against knocking for ever at a host that takes connections only to reset them.
            hostCall.onUnreachable();
        } else {
            pools.onStale(hostCall);
        }
    }

    /** Abandons this call without a callback, if it is the current one; only the closed connection tells the host. */
    void cancel(HostCall hostCall) {
        if (responseReader != null && responseReader.hostCall() == hostCall) {
            cancel();
        }
    }

    private void cancel() {
        ResponseReader ended = responseReader;
        responseReader = null;
        if (ended != null) {
            ended.release();
        }
        channel.close();
    }

    // ---- Reading --------------------------------------------------------------------------------
    @Override
    public void channelRead(ChannelHandlerContext context, Object part) {
        try {
            if (responseReader == null) {
                return;
            }
            if (responseReader.isComplete()) {
                onSurplus();
            } else if (((HttpObject) part).decoderResult().isFailure()) {
                onBroken("garbled");
            } else if (part instanceof HttpResponse head && !responseReader.onHead(head)) {
                onBroken(ResponseVerdict.describe(head.status().code(), head.headers()));
            } else if (part instanceof HttpContent content && !responseReader.onContent(content)) {
                channel.config().setAutoRead(false);
            }
        } finally {
            ReferenceCountUtil.release(part);
        }
    }

    /** The client can take more. */
    void resume() {
        channel.config().setAutoRead(true);
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        if (responseReader != null && responseReader.isComplete()) {
            onResponseComplete(keepAlive && requestWritten && responseReader.isReusable());
        }
    }

    private void onResponseComplete(boolean again) {
        ResponseReader ended = responseReader;
        responseReader = null;
        neverUsed = false;
        if (again) {
            int seconds = KeepAlive.timeoutSeconds(ended.keepAlive());
            idleTimeStated = seconds >= 0;
            idleMs = idleTimeStated ? KeepAlive.usableMs(seconds) : pools.idleMs;
            channel.config().setAutoRead(true);
            pools.onIdle(this);
        } else {
            channel.close();
        }
        ended.hostCall().onEnded(ended.verdict().outcome(), ended.isWithheld(), ended.response());
    }

    private void onBroken(String why) {
        ResponseReader ended = responseReader;
        cancel();
        if (ended != null) {
            pools.onBroken(ended.hostCall(), why);
            ended.hostCall().onEnded(AttemptOutcome.BROKEN, false, null);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        pools.onClosed(this);
        if (responseReader != null && responseReader.isComplete()) {
            onResponseComplete(false);
        } else {
            onBroken(requestWritten ? "connection ended" : "connection ended before the request was out");
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        channel.close();
    }
}
