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
    /** ms; a client that has not taken its whole answer by then is given up. */
    private static final int WRITING_MOST_MS = 15_000;

    private enum State {
        IDLE,
        HEAD,
        BODY,
        BUSY,
        LAST
    }

    /** A part of a request, and when it was read, ms of the steady clock. */
    private record Ahead(Object part, long at) {}

    private final FrontEndServer front;
    /** Those in force when the newest request began: a change amid a request does not end it. */
    private ClientLimits limits;

    private final RequestReader draft;
    /** What was read while the request before it is at work. */
    private final ArrayDeque<Ahead> ahead = new ArrayDeque<>(0);

    private Channel channel;
    private ResponseWriter pen;
    private String ip;
    private State state = State.IDLE;
    /** When the state began, ms. */
    private long since;

    /** Answers a request of whose body not all came with its head, once its time is over. */
    private Future<?> overdue;

    private RequestDriver driver;
    private boolean close;
    private boolean catchingUp;

    ClientConnection(FrontEndServer front, ClientLimits limits) {
        this.front = front;
        this.limits = limits;
        this.draft = new RequestReader(front.hold());
        this.since = front.now();
    }

    // ---- In -------------------------------------------------------------------------------------
    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        channel = context.channel();
        pen = new ResponseWriter(channel);
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        front.came(this);
    }

    /** Bytes are here, of whatever. */
    void bytes() {
        if (state == State.IDLE) {
            limits = front.flow().limits();
            enter(State.HEAD);
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object part) {
        if (state == State.LAST) {
            ReferenceCountUtil.release(part);
        } else if (state == State.BUSY || !ahead.isEmpty()) {
            // One request at a time: the next ones wait, and no more is read meanwhile.
            ahead.add(new Ahead(part, front.now()));
            channel.config().setAutoRead(false);
        } else {
            take(part, front.now());
        }
    }

    private void take(Object part, long at) {
        try {
            Rejection turn =
                    part instanceof HttpObject object && object.decoderResult().isFailure()
                            ? Rejection.of(object.decoderResult().cause())
                            : null;
            if (turn == null && part instanceof HttpRequest request) {
                turn = began(request, at);
            }
            if (turn == null && part instanceof HttpContent content) {
                turn = came(content);
            }
            if (turn != null) {
                turnAway(turn.status(), turn.code());
            }
        } finally {
            ReferenceCountUtil.release(part);
        }
    }

    private Rejection began(HttpRequest request, long at) {
        enter(State.BODY);
        close = !HttpUtil.isKeepAlive(request);
        Rejection turn = draft.head(request, at, limits);
        if (turn == null && HttpUtil.is100ContinueExpected(request)) {
            pen.proceed();
        }
        return turn;
    }

    private Rejection came(HttpContent content) {
        Rejection turn = draft.body(content);
        if (turn == null && content instanceof LastHttpContent) {
            ClientRequest clientRequest = draft.whole();
            enter(State.BUSY);
            front.flow().serve(this, clientRequest);
        }
        return turn;
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        watchBody();
    }

    private void watchBody() {
        if (state != State.BODY || overdue != null) {
            return;
        }
        long end = draft.end(front.flow());
        if (end != Long.MAX_VALUE) {
            overdue =
                    channel.eventLoop().schedule(this::overdue, Math.max(0, end - front.now()), TimeUnit.MILLISECONDS);
        }
    }

    private void overdue() {
        overdue = null;
        late(state == State.BODY);
    }

    private void stopWatchingBody() {
        if (overdue != null) {
            overdue.cancel(false);
            overdue = null;
        }
    }

    /** Who brings the answer to the request that was read last. */
    void carried(RequestDriver by) {
        driver = by;
    }

    // ---- Out ------------------------------------------------------------------------------------
    String ip() {
        if (ip == null) {
            ip = channel.remoteAddress() instanceof InetSocketAddress peer
                    ? peer.getAddress().getHostAddress()
                    : "";
        }
        return ip;
    }

    /** The edge leaves, and no request waits here that has been read already. */
    private boolean isLast() {
        return front.draining() && ahead.isEmpty();
    }

    /** A host's whole answer. */
    void answer(HostResponse answer) {
        close |= isLast();
        pen.answer(answer, close);
        answered();
    }

    /** The head of a host's answer and what has come of its body; the rest follows by {@link #more}. */
    void flow(HostResponse answer) {
        close |= isLast();
        pen.flow(answer, close);
    }

    /** More of it; false where the client has enough to read for now. */
    boolean more(ByteBuf bytes) {
        return pen.more(bytes);
    }

    /** The answer that came by {@link #more} is whole. */
    void flowed() {
        pen.flowed();
        answered();
    }

    /** An answer of ours. */
    void own(int status, String code, int comeBackMs, CharSequence id, boolean bare) {
        close |= isLast();
        pen.own(status, code, comeBackMs, id, bare, close);
        answered();
    }

    /** What was written must not look complete. */
    void cut() {
        channel.close();
    }

    private void answered() {
        driver = null;
        pen.whenWritten(this::written);
        if (close) {
            last();
            return;
        }
        enter(State.IDLE);
        if (!catchingUp) {
            catchingUp = true;
            while (!ahead.isEmpty() && state != State.BUSY && state != State.LAST) {
                bytes();
                Ahead next = ahead.poll();
                take(next.part(), next.at());
            }
            catchingUp = false;
        }
        if (ahead.isEmpty() && state != State.LAST) {
            channel.config().setAutoRead(true);
        }
        watchBody();
    }

    /** The client has taken its answer: its rest begins now. */
    private void written() {
        if (state == State.IDLE || state == State.LAST) {
            since = front.now();
        }
    }

    private void last() {
        enter(State.LAST);
        drop();
        channel.config().setAutoRead(true);
        pen.last();
    }

    /** Answers what can't be read further: nothing after it on this connection is looked at. */
    private void turnAway(int status, String code) {
        if (state != State.LAST && state != State.BUSY) {
            boolean bare = draft.bare();
            close = true;
            front.flow().turnedAway(status);
            own(status, code, status == 503 ? RequestRouter.COME_BACK_MS : -1, null, bare);
        }
    }

    // ---- Ends -----------------------------------------------------------------------------------
    /** What time asks for. */
    void look(long now) {
        long spent = now - since;
        switch (state) {
            case IDLE -> closeIf(spent >= (pen.isWriting() ? WRITING_MOST_MS : idleMs()));
            case HEAD -> late(spent >= limits.headerTimeoutMs());
            case BODY -> late(spent >= limits.idleTimeoutMs());
            case LAST -> closeIf(spent >= (pen.isWriting() ? WRITING_MOST_MS : LINGER_MS));
            default -> {}
        }
    }

    /** A client knows the limits of when its last request began, or newer ones: the longer time is kept. */
    private int idleMs() {
        return Math.max(limits.idleTimeoutMs(), front.flow().limits().idleTimeoutMs());
    }

    private void closeIf(boolean due) {
        if (due) {
            channel.close();
        }
    }

    private void late(boolean due) {
        if (due) {
            turnAway(408, "proxy.slow-request");
        }
    }

    /** Nothing has begun on it, and nothing is owed on it. */
    boolean idle() {
        return state == State.IDLE && ahead.isEmpty() && !pen.isWriting();
    }

    /** The process ends: the request that is at work is answered now. */
    void giveUp() {
        if (driver != null) {
            driver.giveUp();
        }
    }

    /** The edge leaves: closes the connection unless a request has begun on it; an answer under way goes out first. */
    void leave() {
        if (idle()) {
            channel.close();
        } else if (state == State.IDLE && ahead.isEmpty()) {
            last();
        }
    }

    void closeNow() {
        channel.close();
    }

    private void enter(State next) {
        stopWatchingBody();
        state = next;
        since = front.now();
    }

    private void drop() {
        draft.drop();
        ahead.forEach(next -> ReferenceCountUtil.release(next.part()));
        ahead.clear();
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        if (channel.isWritable() && driver != null) {
            driver.roomAgain();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        front.went(this);
        enter(State.LAST);
        drop();
        RequestDriver left = driver;
        driver = null;
        if (left != null) {
            left.gone();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        channel.close();
    }
}
