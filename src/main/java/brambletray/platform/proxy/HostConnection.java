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
 * One connection to a host, one request at a time. An answer counts when it is whole and echoes the request's id;
 * surplus answers are skipped whole; anything else ends the connection, and what it was at is {@link
 * AttemptOutcome#BROKEN}.
 *
 * <p>It serves another request only when nothing is owed on it in either direction: the request was written to its last
 * byte, its answer was whole, alone and named, nothing came behind it, and neither side has said that it closes.
 * Whatever else ends a request ends its connection.
 */
final class HostConnection extends ChannelInboundHandlerAdapter {
    /** Bytes of a body that travel in one piece with their head. */
    static final int JOINED = 8 * 1024;

    private final HostConnectionPools lines;
    final HostConnectionPool pool;
    final ResponseDecoder decoder = new ResponseDecoder(this);
    private Channel channel;
    /** What it is at; null while it is idle. */
    private ResponseReader reading;

    private boolean written;
    private boolean keep = true;
    private boolean fresh = true;
    /** ms of the steady clock; how long it may be idle, ms, by the host's word if {@code told}. */
    long idleSince;

    private int idleMs;
    private boolean told;

    HostConnection(HostConnectionPools lines, HostConnectionPool pool) {
        this.lines = lines;
        this.pool = pool;
        this.idleMs = lines.idleMs;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        channel = context.channel();
    }

    /** A request is out, and its answer is not whole yet: bytes that come may belong to it. */
    boolean waits() {
        return reading != null && reading.isSent();
    }

    boolean answered() {
        return reading != null && reading.complete();
    }

    /** Bytes behind a whole answer: they belong to no request, and take nothing from it. */
    void surplus() {
        keep = false;
    }

    /**
     * Bytes that come while nobody can have asked for them: not a byte of what waits has gone out, it can go elsewhere.
     */
    void unasked() {
        if (reading != null) {
            unsent();
        } else {
            channel.close();
        }
    }

    boolean atHead() {
        return reading != null && reading.hostCall().clientRequest().head();
    }

    boolean open() {
        return channel.isActive();
    }

    void close() {
        channel.close();
    }

    /** Not used again after this request. */
    void retire() {
        keep = false;
        if (reading == null) {
            channel.close();
        }
    }

    /** Whether a request may go out on it now; a careful one only where the host surely hasn't closed it. */
    boolean usable(long now, boolean careful) {
        return channel.isActive()
                && now - idleSince < (careful && !told ? Math.min(idleMs, HostConnectionPools.UNTOLD_MS) : idleMs);
    }

    boolean stale(long now) {
        return reading == null && now - idleSince >= idleMs;
    }

    // ---- Out ------------------------------------------------------------------------------------
    void begin(HostCall hostCall) {
        ResponseReader begun = new ResponseReader(hostCall, lines.counters, !fresh);
        reading = begun;
        written = false;
        hostCall.up(this);
        ByteBuf body = hostCall.clientRequest().body();
        ByteBuf head = HeaderWriter.request(
                channel.alloc(), hostCall.clientRequest(), hostCall.host(), hostCall.hostEnd() - lines.now());
        ChannelProgressivePromise promise = channel.newProgressivePromise();
        boolean joined = body.readableBytes() <= JOINED;
        promise.addListener(new Sent(begun, joined));
        if (joined) {
            head.writeBytes(body, body.readerIndex(), body.readableBytes());
            channel.writeAndFlush(head, promise);
        } else {
            channel.write(head, promise);
            channel.writeAndFlush(body.retainedDuplicate())
                    .addListener(done -> written |= done.isSuccess() && begun == reading);
        }
    }

    /** Tells a request of which a byte has gone out, and may run, from one of which none has. */
    private final class Sent implements ChannelProgressiveFutureListener {
        private final ResponseReader of;
        private final boolean all;
        private boolean begun;

        Sent(ResponseReader of, boolean all) {
            this.of = of;
            this.all = all;
        }

        @Override
        public void operationProgressed(ChannelProgressiveFuture future, long progress, long total) {
            if (!begun && progress > 0) {
                begun = true;
                of.sent();
                of.hostCall().sent();
            }
        }

        @Override
        public void operationComplete(ChannelProgressiveFuture done) {
            if (done.isSuccess()) {
                operationProgressed(done, 1, 1);
                written |= all && of == reading;
            } else if (!begun && of == reading) {
                unsent();
            } else {
                channel.close();
            }
        }
    }

    /** Not a byte went out: it can go elsewhere. */
    private void unsent() {
        HostCall hostCall = reading.hostCall();
        reading = null;
        channel.close();
        if (fresh) {
            // Guards against knocking for ever at a host that takes connections only to reset them.
            hostCall.unreached();
        } else {
            lines.stale(hostCall);
        }
    }

    /** Ends this errand without a word, if it is at it; only closing the connection tells the host. */
    void cancel(HostCall hostCall) {
        if (reading != null && reading.hostCall() == hostCall) {
            cancel();
        }
    }

    private void cancel() {
        ResponseReader ended = reading;
        reading = null;
        if (ended != null) {
            ended.drop();
        }
        channel.close();
    }

    // ---- In -------------------------------------------------------------------------------------
    @Override
    public void channelRead(ChannelHandlerContext context, Object part) {
        try {
            if (reading == null) {
                return;
            }
            if (reading.complete()) {
                surplus();
            } else if (((HttpObject) part).decoderResult().isFailure()) {
                broken("garbled");
            } else if (part instanceof HttpResponse head && !reading.head(head)) {
                broken(ResponseVerdict.traits(head.status().code(), head.headers()));
            } else if (part instanceof HttpContent content && !reading.content(content)) {
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
        if (reading != null && reading.complete()) {
            finish(keep && written && reading.lasting());
        }
    }

    private void finish(boolean again) {
        ResponseReader ended = reading;
        reading = null;
        fresh = false;
        if (again) {
            int seconds = KeepAlive.timeout(ended.keepAlive());
            told = seconds >= 0;
            idleMs = told ? KeepAlive.within(seconds) : lines.idleMs;
            channel.config().setAutoRead(true);
            lines.idle(this);
        } else {
            channel.close();
        }
        ended.hostCall().ended(ended.verdict().fate(), ended.withheld(), ended.answer());
    }

    private void broken(String why) {
        ResponseReader ended = reading;
        cancel();
        if (ended != null) {
            lines.broken(ended.hostCall(), why);
            ended.hostCall().ended(AttemptOutcome.BROKEN, false, null);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        lines.closed(this);
        if (reading != null && reading.complete()) {
            finish(false);
        } else {
            broken(written ? "connection ended" : "connection ended before the request was out");
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        channel.close();
    }
}
