package brambletray.platform.proxy;

import brambletray.platform.configuration.ClientLimits;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;

/**
 * One connection of a client: puts one request at a time together, and writes its one answer before it looks at the
 * next.
 */
final class ClientConnection extends ChannelInboundHandlerAdapter {
    /** ms; after the last answer: what still comes is thrown away, lest a reset takes the answer with it. */
    private static final int LINGER_MS = 1_000;
    /** ms after which a client that has not read its whole response is disconnected. */
    private static final int MAX_WRITE_MS = 15_000;

    private enum State {
        IDLE,
        HEAD,
        BODY,
        BUSY,
        CLOSING
    }

    /** A part of a request, and when it was read, ms of the steady clock. */
    private record PipelinedPart(Object part, long readAtMs) {}

    private final FrontEndServer server;
    /** Those in force when the newest request began: a change amid a request does not end it. */
    private ClientLimits limits;

    private final RequestReader requestReader;
    /** What was read while the request before it is at work. */
    private final ArrayDeque<PipelinedPart> pipelined = new ArrayDeque<>(0);

    private Channel channel;
    private ResponseWriter writer;
    private String clientIp;
    private State state = State.IDLE;
    /** When the state began, ms. */
    private long stateSinceMs;

    /** Answers a request of whose body not all came with its head, once its time is over. */
    private Future<?> bodyTimeout;

    private RequestDriver driver;
    private boolean closeAfterResponse;
    private boolean processingPipelined;

    ClientConnection(FrontEndServer front, ClientLimits limits) {
        this.server = front;
        this.limits = limits;
        this.requestReader = new RequestReader(front.memoryBudget());
        this.stateSinceMs = front.now();
    }

    // ---- Reading --------------------------------------------------------------------------------
    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        channel = context.channel();
        writer = new ResponseWriter(channel);
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        server.onConnected(this);
    }

    /** Bytes are here, of whatever. */
    void onBytes() {
        if (state == State.IDLE) {
            limits = server.requestRouter().limits();
            enterState(State.HEAD);
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object part) {
        if (state == State.CLOSING) {
            ReferenceCountUtil.release(part);
        } else if (state == State.BUSY || !pipelined.isEmpty()) {
            // One request at a time: the next ones wait, and no more is read meanwhile.
            pipelined.add(new PipelinedPart(part, server.now()));
            channel.config().setAutoRead(false);
        } else {
            onPart(part, server.now());
        }
    }

    private void onPart(Object part, long readAtMs) {
        try {
            Rejection rejection =
                    part instanceof HttpObject object && object.decoderResult().isFailure()
                            ? Rejection.of(object.decoderResult().cause())
                            : null;
            if (rejection == null && part instanceof HttpRequest request) {
                rejection = onHead(request, readAtMs);
            }
            if (rejection == null && part instanceof HttpContent content) {
                rejection = onContent(content);
            }
            if (rejection != null) {
                reject(rejection.status(), rejection.code());
            }
        } finally {
            ReferenceCountUtil.release(part);
        }
    }

    private Rejection onHead(HttpRequest request, long readAtMs) {
        enterState(State.BODY);
        closeAfterResponse = !HttpUtil.isKeepAlive(request);
        Rejection rejection = requestReader.onHead(request, readAtMs, limits);
        if (rejection == null && HttpUtil.is100ContinueExpected(request)) {
            writer.writeContinue();
        }
        return rejection;
    }

    private Rejection onContent(HttpContent content) {
        Rejection rejection = requestReader.onBody(content);
        if (rejection == null && content instanceof LastHttpContent) {
            ClientRequest clientRequest = requestReader.takeRequest();
            enterState(State.BUSY);
            server.requestRouter().serve(this, clientRequest);
        }
        return rejection;
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        startBodyTimeout();
    }

    private void startBodyTimeout() {
        if (state != State.BODY || bodyTimeout != null) {
            return;
        }
        long end = requestReader.deadlineMs(server.requestRouter());
        if (end != Long.MAX_VALUE) {
            bodyTimeout = channel.eventLoop()
                    .schedule(this::onBodyTimeout, Math.max(0, end - server.now()), TimeUnit.MILLISECONDS);
        }
    }

    private void onBodyTimeout() {
        bodyTimeout = null;
        timeOutIfDue(state == State.BODY);
    }

    private void stopBodyTimeout() {
        if (bodyTimeout != null) {
            bodyTimeout.cancel(false);
            bodyTimeout = null;
        }
    }

    /** Who brings the answer to the request that was read last. */
    void onDriverStarted(RequestDriver by) {
        driver = by;
    }

    // ---- Writing --------------------------------------------------------------------------------
    String clientIp() {
        if (clientIp == null) {
            clientIp = channel.remoteAddress() instanceof InetSocketAddress peer
                    ? peer.getAddress().getHostAddress()
                    : "";
        }
        return clientIp;
    }

    /** The edge leaves, and no request waits here that has been read already. */
    private boolean isLast() {
        return server.isDraining() && pipelined.isEmpty();
    }

    /** Writes a complete response of a host. */
    void writeResponse(HostResponse response) {
        closeAfterResponse |= isLast();
        writer.writeResponse(response, closeAfterResponse);
        onResponded();
    }

    /** The head of a host's answer and what has come of its body; the rest follows by {@link #writeMore}. */
    void startStreaming(HostResponse response) {
        closeAfterResponse |= isLast();
        writer.startStreaming(response, closeAfterResponse);
    }

    /** More of it; false where the client has enough to read for now. */
    boolean writeMore(ByteBuf bytes) {
        return writer.writeMore(bytes);
    }

    /** The response written by {@link #writeMore} is complete. */
    void finishStreaming() {
        writer.finishStreaming();
        onResponded();
    }

    /** An answer of ours. */
    void writeOwnResponse(int status, String code, int retryAfterMs, CharSequence id, boolean bare) {
        closeAfterResponse |= isLast();
        writer.writeOwnResponse(status, code, retryAfterMs, id, bare, closeAfterResponse);
        onResponded();
    }

    /** What was written must not look complete. */
    void abort() {
        channel.close();
    }

    private void onResponded() {
        driver = null;
        writer.whenWritten(this::onWritten);
        if (closeAfterResponse) {
            closeAfterFlush();
            return;
        }
        enterState(State.IDLE);
        if (!processingPipelined) {
            processingPipelined = true;
            while (!pipelined.isEmpty() && state != State.BUSY && state != State.CLOSING) {
                onBytes();
                PipelinedPart next = pipelined.poll();
                onPart(next.part(), next.readAtMs());
            }
            processingPipelined = false;
        }
        if (pipelined.isEmpty() && state != State.CLOSING) {
            channel.config().setAutoRead(true);
        }
        startBodyTimeout();
    }

    /** The client has taken its answer: its rest begins now. */
    private void onWritten() {
        if (state == State.IDLE || state == State.CLOSING) {
            stateSinceMs = server.now();
        }
    }

    private void closeAfterFlush() {
        enterState(State.CLOSING);
        releaseAll();
        channel.config().setAutoRead(true);
        writer.closeAfterFlush();
    }

    /** Answers what can't be read further: nothing after it on this connection is looked at. */
    private void reject(int status, String code) {
        if (state != State.CLOSING && state != State.BUSY) {
            boolean bare = requestReader.isHeadRequest();
            closeAfterResponse = true;
            server.requestRouter().countRejected(status);
            writeOwnResponse(status, code, status == 503 ? RequestRouter.RETRY_AFTER_MS : -1, null, bare);
        }
    }

    // ---- Ends -----------------------------------------------------------------------------------
    /** Handles what has become due. */
    void checkTimeouts(long now) {
        long spent = now - stateSinceMs;
        switch (state) {
            case IDLE -> closeIfDue(spent >= (writer.isWriting() ? MAX_WRITE_MS : idleMs()));
            case HEAD -> timeOutIfDue(spent >= limits.headerTimeoutMs());
            case BODY -> timeOutIfDue(spent >= limits.idleTimeoutMs());
            case CLOSING -> closeIfDue(spent >= (writer.isWriting() ? MAX_WRITE_MS : LINGER_MS));
            default -> {}
        }
    }

    /** A client acts on the settings of its last request or newer ones: the longer time is kept. */
    private int idleMs() {
        return Math.max(limits.idleTimeoutMs(), server.requestRouter().limits().idleTimeoutMs());
    }

    private void closeIfDue(boolean due) {
        if (due) {
            channel.close();
        }
    }

    private void timeOutIfDue(boolean due) {
        if (due) {
            reject(408, "proxy.slow-request");
        }
    }

    /** Nothing has begun on it, and nothing is owed on it. */
    boolean isIdle() {
        return state == State.IDLE && pipelined.isEmpty() && !writer.isWriting();
    }

    /** The process ends: the request that is at work is answered now. */
    void answerNow() {
        if (driver != null) {
            driver.answerNow();
        }
    }

    /** The edge leaves: closes the connection unless a request has begun on it; an answer under way goes out first. */
    void closeIfIdle() {
        if (isIdle()) {
            channel.close();
        } else if (state == State.IDLE && pipelined.isEmpty()) {
            closeAfterFlush();
        }
    }

    void closeNow() {
        channel.close();
    }

    private void enterState(State next) {
        stopBodyTimeout();
        state = next;
        stateSinceMs = server.now();
    }

    private void releaseAll() {
        requestReader.release();
        pipelined.forEach(next -> ReferenceCountUtil.release(next.part()));
        pipelined.clear();
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        if (channel.isWritable() && driver != null) {
            driver.onClientWritable();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        server.onDisconnected(this);
        enterState(State.CLOSING);
        releaseAll();
        RequestDriver left = driver;
        driver = null;
        if (left != null) {
            left.onClientGone();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        channel.close();
    }
}
