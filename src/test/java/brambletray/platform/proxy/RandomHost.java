package brambletray.platform.proxy;

import brambletray.common.runtime.Machine;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.DuplexChannel;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/**
 * A host of a {@link RandomExchanges}, simulated byte by byte: it sends successes, failures, refusals, and early,
 * truncated, invalid and surplus responses (PROTOCOL, Hosts), crashes, and reports to the {@link ExchangeChecker} what
 * it runs.
 */
final class RandomHost {
    /** Time in ms within which sent data is read at the other end, unless that end is paused. */
    private static final int MAX_DELIVERY_MS = 60;

    private static final String SEAL = "Brambletray-Response-Seal: s\r\n";
    private static final String NOT_EXECUTED = "Brambletray-Not-Executed: 1\r\n";

    final String name;
    private final Machine machine;
    private final InetSocketAddress address;
    private final ExchangeChecker checker;
    private final SplittableRandom random;
    private final int faultPercent;
    private final int largeBodyOneIn;
    private final Set<Channel> open = new LinkedHashSet<>();
    private Channel listener;
    /**
     * Time in ms until which the edge is paused or partitioned: requests that arrive before may have been written
     * without having read what this host sent.
     */
    private long proxyUnawareUntilMs;
    /** Time in ms since when this machine can be reached; {@link Long#MAX_VALUE} while it can't. */
    private long reachableSinceMs;

    /** Connections with a request in progress. */
    private final Set<Connection> working = new LinkedHashSet<>();

    /** {@code faultPercent}: percentage of faulty responses; {@code largeBodyOneIn}: one body in this many is large. */
    RandomHost(
            String name,
            Machine machine,
            InetSocketAddress address,
            ExchangeChecker checker,
            SplittableRandom random,
            int faultPercent,
            int largeBodyOneIn) {
        this.name = name;
        this.machine = machine;
        this.address = address;
        this.checker = checker;
        this.random = random;
        this.faultPercent = faultPercent;
        this.largeBodyOneIn = largeBodyOneIn;
        start();
    }

    void start() {
        if (listener == null) {
            listener = machine.listening(new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel channel) {
                            channel.pipeline().addLast(new Connection(channel));
                        }
                    })
                    .bind(address)
                    .channel();
        }
    }

    /** Refuses new connections; {@code hard}: also resets those that are open. */
    void stop(boolean hard) {
        if (listener != null) {
            listener.close();
            listener = null;
        }
        if (hard) {
            Set.copyOf(open).forEach(RandomHost::reset);
        }
    }

    void proxyUnawareUntil(long untilMs) {
        proxyUnawareUntilMs = untilMs;
    }

    long proxyUnawareUntil() {
        return proxyUnawareUntilMs;
    }

    void reachableSince(long sinceMs) {
        reachableSinceMs = sinceMs;
    }

    /** Checks that none of the requests in progress has lost its client for long. */
    void checkDepartures() {
        working.removeIf(connection ->
                connection.current == null || !connection.channel.isActive() || now() >= connection.currentDeadlineMs);
        for (Connection connection : working) {
            checker.checkNotGone(connection.current, false, name, now(), edgeAwareSinceMs());
        }
    }

    private long edgeAwareSinceMs() {
        long since = Math.max(proxyUnawareUntilMs, reachableSinceMs);
        return since == Long.MAX_VALUE ? now() : since;
    }

    private long now() {
        return machine.clock().nanos() / 1_000_000;
    }

    private static void reset(Channel channel) {
        channel.config().setOption(ChannelOption.SO_LINGER, 0);
        channel.close();
    }

    /** {@code runs}: whether the request runs; {@code then}: what happens to the connection afterwards. */
    private record Answer(String bytes, boolean runs, Then then, String surplus) {}

    private enum Then {
        STAYS,
        FIN,
        RESET,
        CLOSING
    }

    private final class Connection extends ChannelInboundHandlerAdapter {
        private final Channel channel;
        private final StringBuilder in = new StringBuilder();
        /** The request in progress, without a response so far. */
        private ExchangeChecker.ClientAttempt current;
        /** Time in ms at which hosts cease to work on it. */
        private long currentDeadlineMs;
        /** Bytes still to be received of a request that was answered early. */
        private int unreadBodyBytes;
        /** A response is partly sent. */
        private boolean responding;
        /** The host announced, or made evident, that no further request may be sent on this connection. */
        private boolean noMoreRequests;
        /** Time in ms from which the edge must have read the surplus bytes before it sends a request here. */
        private long surplusDeliveredMs = Long.MAX_VALUE;

        Connection(Channel channel) {
            this.channel = channel;
        }

        @Override
        public void channelActive(ChannelHandlerContext context) {
            open.add(channel);
            if (random.nextInt(200) < faultPercent / 20) {
                // Unsolicited bytes before any request; not a refusal, which would state that the next request does not
                // run.
                String bytes = surplus("none", "");
                send(bytes.contains("Brambletray-Attempt-Id") || !bytes.startsWith("HTTP") ? bytes : "surplus")
                        .addListener(out -> onSurplusSent());
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            open.remove(channel);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object bytes) {
            ByteBuf read = (ByteBuf) bytes;
            int skipped = Math.min(unreadBodyBytes, read.readableBytes());
            unreadBodyBytes -= skipped;
            read.skipBytes(skipped);
            boolean first = in.length() == 0 && read.isReadable();
            in.append(read.toString(StandardCharsets.ISO_8859_1));
            read.release();
            if (first) {
                onRequestStart();
            }
            int end = in.indexOf("\r\n\r\n");
            if (end < 0 || current != null) {
                return;
            }
            String head = in.substring(0, end);
            int length = Integer.parseInt("0" + ScriptedHost.header(head, "content-length"));
            boolean isComplete = in.length() >= end + 4 + length;
            if (isComplete || random.nextInt(200) < faultPercent) {
                String body = isComplete ? in.substring(end + 4, end + 4 + length) : null;
                unreadBodyBytes = Math.max(0, end + 4 + length - in.length());
                in.delete(0, end + 4 + length);
                handle(head, body);
            }
        }

        /** The first byte of a request has arrived. */
        private void onRequestStart() {
            if (current != null) {
                checker.addViolation(
                        "OWED",
                        "a request at " + name + " while " + current.id + " has no response yet on its connection");
            } else if (noMoreRequests) {
                checker.addViolation(
                        "OWED", "a request at " + name + " on a connection that allows no further request");
            } else if (now() > surplusDeliveredMs && now() > proxyUnawareUntilMs) {
                checker.addViolation(
                        "OWED", "a request at " + name + " on a connection with surplus bytes that had arrived before");
            }
        }

        private void handle(String head, String body) {
            String[] line = head.substring(0, head.indexOf("\r\n")).split(" ");
            ExchangeChecker.ClientAttempt exchange = checker.onRequestReceived(
                    ScriptedHost.header(head, "brambletray-attempt-id"),
                    line[0],
                    line[1],
                    body,
                    name,
                    ScriptedHost.header(head, "brambletray-target-instance"));
            if (exchange == null) {
                return;
            }
            checker.checkNotGone(exchange, true, name, now(), edgeAwareSinceMs());
            working.add(this);
            currentDeadlineMs = now() + Integer.parseInt(ScriptedHost.header(head, "brambletray-deadline-remaining"));
            Answer answer = randomAnswer(exchange, body == null);
            if (answer.runs()) {
                checker.onExecuted(exchange, name);
            }
            if (answer.bytes() == null) {
                current = exchange;
                return;
            }
            current = exchange;
            int dice = random.nextInt(100);
            int delay = dice < 30
                    ? 0
                    : dice < 85 ? random.nextInt(30) : dice < 95 ? random.nextInt(300) : random.nextInt(2_500);
            machine.loop().schedule(() -> sendAnswer(answer, answer.bytes()), delay, TimeUnit.MILLISECONDS);
        }

        /** Sends the response in one part, or in several with pauses. */
        private void sendAnswer(Answer answer, String rest) {
            responding = true;
            int size =
                    rest.length() > 1 && random.nextInt(4) == 0 ? 1 + random.nextInt(rest.length() - 1) : rest.length();
            boolean last = size == rest.length();
            if (last) {
                responding = false;
                current = null;
                noMoreRequests |= answer.then() != Then.STAYS;
            }
            boolean together = last && random.nextBoolean();
            ChannelFuture sent = send(rest.substring(0, size) + (together ? answer.surplus() : ""));
            if (!last) {
                machine.loop()
                        .schedule(
                                () -> sendAnswer(answer, rest.substring(size)),
                                random.nextInt(20),
                                TimeUnit.MILLISECONDS);
                return;
            }
            if (!answer.surplus().isEmpty()) {
                if (together) {
                    sent.addListener(out -> onSurplusSent());
                } else {
                    machine.loop()
                            .schedule(
                                    () -> sendSurplus(answer.surplus()),
                                    random.nextInt(random.nextBoolean() ? 8 : 120),
                                    TimeUnit.MILLISECONDS);
                }
            }
            switch (answer.then()) {
                case FIN -> ((DuplexChannel) channel).shutdownOutput();
                case RESET -> reset(channel);
                case CLOSING ->
                    machine.loop()
                            .schedule(
                                    () -> ((DuplexChannel) channel).shutdownOutput(),
                                    random.nextInt(40),
                                    TimeUnit.MILLISECONDS);
                default -> {}
            }
        }

        private void sendSurplus(String surplus) {
            if (channel.isActive() && !responding) {
                ChannelFuture sent = send(surplus);
                sent.addListener(out -> onSurplusSent());
            }
        }

        /** Surplus bytes were sent. */
        private void onSurplusSent() {
            surplusDeliveredMs = Math.min(surplusDeliveredMs, now() + MAX_DELIVERY_MS);
        }

        private ChannelFuture send(String bytes) {
            return channel.writeAndFlush(Unpooled.copiedBuffer(bytes, StandardCharsets.ISO_8859_1));
        }
    }

    // ---- Responses ------------------------------------------------------------------------------
    private Answer randomAnswer(ExchangeChecker.ClientAttempt exchange, boolean early) {
        if (random.nextInt(100) >= faultPercent) {
            return new Answer(sealedSuccess(exchange, false), true, Then.STAYS, "");
        }
        return switch (random.nextInt(12)) {
            case 0 -> new Answer(sealedSuccess(exchange, true), true, Then.CLOSING, "");
            case 1, 2 -> new Answer(sealedSuccess(exchange, false), true, Then.STAYS, surplus(exchange.id, "x"));
            case 3 -> failed(exchange);
            case 4, 5 -> unexecuted(exchange);
            case 6 -> new Answer("", random.nextInt(4) > 0, random.nextBoolean() ? Then.FIN : Then.RESET, "");
            case 7 -> truncated(exchange);
            case 8, 9, 10 -> invalid(exchange);
            default ->
                random.nextInt(4) == 0
                        ? new Answer(null, true, Then.STAYS, "")
                        : new Answer(sealedSuccess(exchange, false), true, Then.STAYS, "");
        };
    }

    private String body(ExchangeChecker.ClientAttempt exchange) {
        int pad =
                random.nextInt(largeBodyOneIn) == 0 ? 3_000 + random.nextInt(9_000) : random.nextInt(3) == 0 ? 400 : 0;
        return name + ":" + exchange.id + ":" + exchange.arrivals + "/" + ".".repeat(pad);
    }

    private static String head(String status, String id, String headers) {
        return "HTTP/1.1 " + status + "\r\n" + (id == null ? "" : "Brambletray-Attempt-Id: " + id + "\r\n") + headers;
    }

    private static String sized(String status, String id, String headers, String body) {
        return head(status, id, headers) + "Content-Length: " + body.length() + "\r\n\r\n" + body;
    }

    private String chunked(String body) {
        StringBuilder out = new StringBuilder();
        for (int at = 0; at < body.length(); ) {
            int size = Math.min(body.length() - at, 1 + random.nextInt(body.length()));
            out.append(Integer.toHexString(size))
                    .append(random.nextInt(4) == 0 ? ";a=b" : "")
                    .append("\r\n")
                    .append(body, at, at + size)
                    .append("\r\n");
            at += size;
        }
        return out.append("0\r\n")
                .append(random.nextInt(3) == 0 ? "X-Trailer: t\r\n" : "")
                .append("\r\n")
                .toString();
    }

    /** A complete, sealed response. */
    private String sealedSuccess(ExchangeChecker.ClientAttempt exchange, boolean closing) {
        String headers = SEAL
                + (closing
                        ? "Connection: close\r\n"
                        : random.nextInt(4) == 0 ? "Keep-Alive: timeout=" + random.nextInt(4) + "\r\n" : "");
        String before = random.nextInt(12) == 0 ? "HTTP/1.1 103 Early Hints\r\n" + SEAL + "\r\n" : "";
        if (random.nextInt(15) == 0) {
            exchange.sealedBodies.add("");
            return before + head("204 No Content", exchange.id, headers) + "\r\n";
        }
        if (random.nextInt(25) == 0) {
            // No body follows, whatever length the headers state.
            exchange.sealedFailures.add("304 ");
            return before
                    + head(
                            "304 Not Modified",
                            exchange.id,
                            headers + (random.nextBoolean() ? "Content-Length: 500\r\n" : ""))
                    + "\r\n";
        }
        String body = body(exchange);
        if (exchange.method.equals("HEAD")) {
            exchange.sealedBodies.add("");
            return before + head("200 OK", exchange.id, headers) + "Content-Length: " + body.length() + "\r\n\r\n";
        }
        exchange.sealedBodies.add(body);
        return before
                + (random.nextInt(3) == 0
                        ? head("200 OK", exchange.id, headers + "Transfer-Encoding: chunked\r\n") + "\r\n"
                                + chunked(body)
                        : sized("200 OK", exchange.id, headers, body));
    }

    private Answer failed(ExchangeChecker.ClientAttempt exchange) {
        String status = switch (random.nextInt(6)) {
            case 0 -> "504 Gateway Timeout";
            case 1 -> "503 Service Unavailable";
            case 2 -> "429 Too Many Requests";
            case 3 -> "408 Request Timeout";
            case 4 -> "404 Not Found";
            default -> "500 Internal Server Error";
        };
        String body = exchange.method.equals("HEAD") ? "" : body(exchange);
        boolean sealed = random.nextInt(4) > 0;
        if (sealed) {
            exchange.sealedFailures.add(status.substring(0, 3) + " " + body);
        }
        return new Answer(sized(status, exchange.id, sealed ? SEAL : "", body), true, Then.STAYS, "");
    }

    private Answer unexecuted(ExchangeChecker.ClientAttempt exchange) {
        String id = random.nextBoolean() ? exchange.id : null;
        String surplus = switch (random.nextInt(6)) {
            case 0, 1 -> notRun(exchange.id);
            case 2 -> surplus(exchange.id, "x");
            default -> "";
        };
        return new Answer(notRun(id), false, Then.STAYS, surplus);
    }

    private String notRun(String id) {
        String seal = random.nextInt(3) == 0 ? SEAL : "";
        return random.nextInt(3) == 0
                ? sized("421 Misdirected Request", id, seal, "")
                : sized(
                        random.nextBoolean() ? "503 Service Unavailable" : "429 Too Many Requests",
                        id,
                        NOT_EXECUTED + seal,
                        "");
    }

    private Answer truncated(ExchangeChecker.ClientAttempt exchange) {
        String whole = sealedSuccess(exchange, false);
        int size = 1 + random.nextInt(Math.max(1, whole.length() - 1));
        return new Answer(
                whole.substring(0, Math.min(size, whole.length() - 1)),
                true,
                random.nextBoolean() ? Then.FIN : Then.RESET,
                "");
    }

    /** Bytes that are not a valid response, or not a success; their body must never reach a client as a success. */
    private Answer invalid(ExchangeChecker.ClientAttempt exchange) {
        int kind = random.nextInt(18);
        String body = "spoilt" + kind + ":" + body(exchange);
        String id = exchange.id;
        // Without a body, a faulty body length is no fault.
        String bytes =
                switch (exchange.method.equals("HEAD") && kind >= 4 && kind != 8 && kind != 13 ? kind % 4 : kind) {
                    case 0 -> sized("200 OK", id, "", body);
                    case 1 -> sized("200 OK", null, SEAL, body);
                    case 2 -> sized("200 OK", id, SEAL + "Content-Encoding: br\r\n", body);
                    case 3 -> sized("200 OK", id, SEAL + "Brambletray-Attempt-Id: other\r\n", body);
                    case 4 -> sized("200 OK", id, SEAL + "Content-Length: " + (body.length() - 2) + "\r\n", body);
                    case 5 -> sized("200 OK", id, SEAL + "Content-Length: " + body.length() + "\r\n", body);
                    case 6 -> sized("200 OK", id, SEAL + "Transfer-Encoding: chunked\r\n", chunked(body));
                    case 7 -> head("200 OK", id, SEAL) + "\r\n" + body;
                    case 8 -> "\u0001\u0002 nothing of this is an answer\r\n\r\n";
                    case 9 -> head("101 Switching Protocols", id, "Upgrade: x\r\n") + "\r\n" + body;
                    case 10 ->
                        sized("200 OK", id, SEAL + "Transfer-Encoding: gzip, chunked\r\n", "")
                                        .replace("Content-Length: 0\r\n", "")
                                + chunked(body);
                    case 11 ->
                        head("200 OK", id, SEAL + "Transfer-Encoding: chunked\r\n") + "\r\n2\r\n" + body
                                + "\r\n0\r\n\r\n";
                    case 12 -> sized("200 OK", id, SEAL, body).replace("HTTP/1.1", "HTTP/2.0");
                    case 13 -> sized("200 OK", id, SEAL + NOT_EXECUTED, body);
                    case 14 -> sized("200 OK", id, SEAL + "Transfer-Encoding: identity\r\n", body);
                    case 16 -> sized("799 Beyond", id, SEAL, body);
                    case 17 -> sized("1000 Beyond", id, SEAL, body);
                    default -> sized("200 OK", id, SEAL + "X-Cut: a\u0000\r\n", body);
                };
        boolean ends = bytes.startsWith("\u0001") || bytes.contains("\r\n\r\nspoilt") && random.nextBoolean();
        return new Answer(bytes, true, ends ? Then.FIN : Then.STAYS, "");
    }

    /** Bytes that belong to no request; {@code id}: the id of the last request answered. */
    private String surplus(String id, String body) {
        return switch (random.nextInt(10)) {
            case 0 -> sized("200 OK", id, SEAL, "surplus:" + body);
            case 1 -> sized("503 Service Unavailable", null, NOT_EXECUTED, "");
            case 2 -> sized("421 Misdirected Request", null, "", "");
            case 3 -> sized("503 Service Unavailable", id, NOT_EXECUTED, "");
            case 4 -> sized("200 OK", null, SEAL, "surplus:" + body);
            case 5 -> "\r\n\u0000 \r\n";
            case 6 -> "HTTP/1.1 200 OK\r\nBrambletray-Attempt-Id: " + id + "\r\nContent-Le";
            case 7 -> sized("429 Too Many Requests", id, NOT_EXECUTED, "");
            case 8 -> head("200 OK", id, SEAL + "Transfer-Encoding: chunked\r\n") + "\r\n" + chunked("surplus:" + body);
            default -> "surplus bytes";
        };
    }
}
