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
import java.net.InetSocketAddress;

/**
 * One client connection. Assembles one request at a time and writes its single response before it processes the next
 * request.
 */
final class ClientConnection extends ChannelInboundHandlerAdapter implements RequestDecoder.Listener {
    /**
     * ms for which input is still read and discarded after the last response: closing with unread input would cause a
     * TCP reset, which can discard the response before the client reads it.
     */
    private static final int LINGER_MS = 1_000;
    /** ms after which a client that has not read its complete response is disconnected. */
    private static final int MAX_WRITE_MS = 15_000;

    private enum State {
        IDLE,
        HEAD,
        BODY,
        BUSY,
        CLOSING
    }

    private final FrontEndServer server;
    /** The limits in force when the latest request that was taken up began to arrive, see {@link #allowed}. */
    private ClientLimits limits;
    /** The limits in force when the latest request began to arrive, which may still be queued. */
    private ClientLimits arrivingLimits;
    /** Whether a head has begun to arrive and is incomplete. */
    private boolean headArriving;

    private final RequestReader requestReader;
    /** Parts read while the previous request was in progress. */
    private final PipelinedInput pipelined;

    private Channel channel;
    private ResponseWriter writer;
    private String clientIp;
    private State state = State.IDLE;
    /** When the current state was entered, ms. */
    private long stateSinceMs;

    /** Rejects a request whose body did not arrive completely with its head and is still incomplete at its deadline. */
    private final LoopTimer bodyTimer;

    private RequestDriver driver;
    private boolean closeAfterResponse;
    private boolean processingPipelined;

    ClientConnection(FrontEndServer server) {
        this.server = server;
        this.limits = server.requestRouter().limits();
        this.arrivingLimits = limits;
        this.requestReader = new RequestReader(server.memoryBudget());
        this.pipelined = new PipelinedInput(server.memoryBudget());
        this.bodyTimer = new LoopTimer(server.machine(), () -> timeOutIfDue(state == State.BODY));
        this.stateSinceMs = server.now();
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

    @Override
    public void onBytes() {
        if (state == State.IDLE) {
            limits = server.requestRouter().limits();
            enterState(State.HEAD);
        }
    }

    @Override
    public void onRequestBegins() {
        arrivingLimits = server.requestRouter().limits();
        headArriving = true;
    }

    @Override
    public int maxHeaderBytes() {
        return allowed(arrivingLimits).maxHeaderBytes();
    }

    /**
     * The limits for a request that began to arrive under these: a client may assume those or newer ones, so the larger
     * ones apply, and a later change of the configuration does not end the request.
     */
    private ClientLimits allowed(ClientLimits beganUnder) {
        return beganUnder.max(server.requestRouter().limits());
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object part) {
        headArriving &= !(part instanceof HttpRequest);
        if (state == State.CLOSING) {
            ReferenceCountUtil.release(part);
        } else if (state == State.BUSY || !pipelined.isEmpty()) {
            // One request at a time: later requests are queued.
            pipelined.add(part, server.now(), arrivingLimits);
            pauseReadingIfFull();
        } else {
            onPart(part, server.now(), arrivingLimits);
        }
    }

    private void pauseReadingIfFull() {
        if (pipelined.isFull() && channel.config().isAutoRead()) {
            server.counters().clientReadsPaused++;
            channel.config().setAutoRead(false);
        }
    }

    private void onPart(Object part, long readAtMs, ClientLimits beganUnder) {
        try {
            Rejection rejection =
                    part instanceof HttpObject object && object.decoderResult().isFailure()
                            ? Rejection.of(object.decoderResult().cause())
                            : null;
            if (rejection == null && part instanceof HttpRequest request) {
                limits = beganUnder;
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
        Rejection rejection = requestReader.onHead(request, readAtMs, allowed(limits));
        if (rejection == null && HttpUtil.is100ContinueExpected(request)) {
            writer.writeContinue();
        }
        return rejection;
    }

    private Rejection onContent(HttpContent content) {
        Rejection rejection = requestReader.onBody(content, allowed(limits).maxBodyBytes());
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
        if (state != State.BODY || bodyTimer.isSet()) {
            return;
        }
        long end = requestReader.deadlineMs(server.requestRouter());
        if (end != Long.MAX_VALUE) {
            bodyTimer.set(end, server.now());
        }
    }

    /** Sets the driver that produces the response to the latest request. */
    void onDriverStarted(RequestDriver startedDriver) {
        driver = startedDriver;
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

    /** Whether the next response is the last on this connection: the edge is draining and no request is queued. */
    private boolean isLast() {
        return server.isDraining() && pipelined.isEmpty();
    }

    /** Writes a complete response of a host. */
    void writeResponse(HostResponse response) {
        closeAfterResponse |= isLast();
        writer.writeResponse(response, closeAfterResponse);
        onResponded();
    }

    /** Writes the head of a host's response and the body received so far; {@link #writeMore} writes the rest. */
    void startStreaming(HostResponse response) {
        closeAfterResponse |= isLast();
        writer.startStreaming(response, closeAfterResponse);
    }

    /** Writes more of the body; false if the outbound buffer is full and reading from the host must pause. */
    boolean writeMore(ByteBuf bytes) {
        return writer.writeMore(bytes);
    }

    /** The response written by {@link #writeMore} is complete. */
    void finishStreaming() {
        writer.finishStreaming();
        onResponded();
    }

    /** Writes a response generated by the edge. */
    void writeOwnResponse(int status, String code, int retryAfterMs, CharSequence id, boolean withoutBody) {
        closeAfterResponse |= isLast();
        writer.writeOwnResponse(status, code, retryAfterMs, id, withoutBody, closeAfterResponse);
        onResponded();
    }

    /** Closes the connection without a terminator, so that the partial response does not look complete. */
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
                PipelinedInput.Part next = pipelined.poll();
                onPart(next.part(), next.readAtMs(), next.limits());
            }
            processingPipelined = false;
            awaitRestOfHead();
        }
        if (!pipelined.isFull() && state != State.CLOSING) {
            channel.config().setAutoRead(true);
        }
        startBodyTimeout();
    }

    /** A head that began to arrive while the connection was busy has the time of a head from now on. */
    private void awaitRestOfHead() {
        if (state == State.IDLE && headArriving) {
            limits = arrivingLimits;
            enterState(State.HEAD);
        }
    }

    /** The response has been written to the socket: the idle time starts now. */
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

    /** Rejects a request that cannot be read any further; later input on this connection is discarded. */
    private void reject(int status, String code) {
        if (state != State.CLOSING && state != State.BUSY) {
            boolean withoutBody = requestReader.isHeadRequest();
            closeAfterResponse = true;
            server.requestRouter().countRejected(status);
            writeOwnResponse(status, code, status == 503 ? RequestRouter.RETRY_AFTER_MS : -1, null, withoutBody);
        }
    }

    // ---- Ends -----------------------------------------------------------------------------------
    /** Applies the timeouts that have expired. */
    void checkTimeouts(long now) {
        long spent = now - stateSinceMs;
        ClientLimits current = allowed(limits);
        switch (state) {
            case IDLE -> closeIfDue(spent >= (writer.isWriting() ? MAX_WRITE_MS : current.idleTimeoutMs()));
            case HEAD -> timeOutIfDue(spent >= current.headerTimeoutMs());
            case BODY -> timeOutIfDue(spent >= current.idleTimeoutMs());
            case CLOSING -> closeIfDue(spent >= (writer.isWriting() ? MAX_WRITE_MS : LINGER_MS));
            default -> {}
        }
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

    /** Whether no request has begun and no response is still being written. */
    boolean isIdle() {
        return state == State.IDLE && pipelined.isEmpty() && !writer.isWriting();
    }

    /** Answers the request in progress now, because the process is about to exit. */
    void answerNow() {
        if (driver != null) {
            driver.answerNow();
        }
    }

    /** Closes the connection unless a request has begun; a response that is being written is completed first. */
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
        bodyTimer.stop();
        state = next;
        stateSinceMs = server.now();
    }

    private void releaseAll() {
        requestReader.release();
        pipelined.release();
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
        RequestDriver abandonedDriver = driver;
        driver = null;
        if (abandonedDriver != null) {
            abandonedDriver.onClientGone();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        channel.close();
    }
}
