package brambletray.platform.proxy;

import brambletray.common.runtime.Machine;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * A client of a {@link RandomExchanges}: keeps a connection, at times pipelines requests or disconnects, and parses
 * responses strictly.
 */
final class RandomClient {
    private final Machine machine;
    private final InetSocketAddress frontEnd;
    private final ExchangeChecker checker;
    private final SplittableRandom random;
    private final List<Channel> pausedChannels = new ArrayList<>();
    private Connection connection;

    RandomClient(Machine machine, InetSocketAddress frontEnd, ExchangeChecker checker, SplittableRandom random) {
        this.machine = machine;
        this.frontEnd = frontEnd;
        this.checker = checker;
        this.random = random;
    }

    /** One connection with its outstanding requests, oldest first. */
    private final class Connection extends ChannelInboundHandlerAdapter {
        final ArrayDeque<ExchangeChecker.ClientAttempt> waiting = new ArrayDeque<>();
        final StringBuilder in = new StringBuilder();
        /** Number of bytes without which the next response cannot be complete. */
        int minBytes;
        /** Requests to be sent once the connection is established. */
        final ArrayDeque<ByteBuf> unsent = new ArrayDeque<>(1);

        Channel channel;
        /** No further request is sent on this connection. */
        boolean noMoreRequests;

        @Override
        public void channelActive(ChannelHandlerContext context) {
            unsent.forEach(channel::write);
            unsent.clear();
            channel.flush();
        }

        void write(ByteBuf bytes) {
            if (channel.isActive()) {
                channel.writeAndFlush(bytes);
            } else {
                unsent.add(bytes);
            }
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object bytes) {
            ByteBuf read = (ByteBuf) bytes;
            in.append(read.toString(StandardCharsets.ISO_8859_1));
            read.release();
            while (in.length() > 0 && in.length() >= minBytes && readResponse()) {
                minBytes = 0;
            }
        }

        /** Returns false if the next response is not complete yet. */
        private boolean readResponse() {
            int end = in.indexOf("\r\n\r\n");
            if (end < 0) {
                return false;
            }
            String head = in.substring(0, end);
            if (!head.startsWith("HTTP/1.1 ") || head.length() < 12) {
                checker.addViolation("MIXED", "not an HTTP response: " + head);
                in.setLength(0);
                return false;
            }
            int status = Integer.parseInt(head.substring(9, 12));
            if (status == 100) {
                in.delete(0, end + 4);
                return true;
            }
            ExchangeChecker.ClientAttempt exchange = waiting.peek();
            boolean bare = status == 204 || status == 304 || exchange != null && exchange.method.equals("HEAD");
            String length = ScriptedHost.header(head, "content-length");
            boolean chunked = ScriptedHost.header(head, "transfer-encoding").equals("chunked");
            if (!bare && length.isEmpty() == !chunked) {
                checker.addViolation("MIXED", "response without a valid body length: " + head);
            }
            String[] body = {""};
            int to = bare ? end + 4 : chunked ? readChunks(end + 4, body) : end + 4 + Integer.parseInt(length);
            if (to < 0 || in.length() < to) {
                minBytes = Math.max(minBytes, to);
                return false;
            }
            if (!bare && !chunked) {
                body[0] = in.substring(end + 4, to);
            }
            in.delete(0, to);
            waiting.poll();
            noMoreRequests |= ScriptedHost.header(head, "connection").equals("close");
            checker.onResponse(
                    exchange,
                    status,
                    ScriptedHost.header(head, "brambletray-attempt-id"),
                    !ScriptedHost.header(head, "brambletray-response-seal").isEmpty(),
                    bare ? "" : body[0]);
            return true;
        }

        /** Index of the end of the body, or -1 if it is not complete yet. */
        private int readChunks(int from, String[] body) {
            StringBuilder all = new StringBuilder();
            for (int at = from; ; ) {
                int line = in.indexOf("\r\n", at);
                if (line < 0) {
                    return -1;
                }
                int size = Integer.parseInt(in.substring(at, line), 16);
                int data = line + 2;
                if (in.length() < data + size + 2) {
                    minBytes = data + size + 2;
                    return -1;
                }
                all.append(in, data, data + size);
                at = data + size + 2;
                if (size == 0) {
                    body[0] = all.toString();
                    return at;
                }
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            noMoreRequests = true;
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            if (!(cause instanceof java.io.IOException)) {
                checker.addViolation("MIXED", "unexpected exception: " + cause);
            }
            context.close();
        }
    }

    /** Sends a request on the current or a new connection; {@code pipelined}: also while others are outstanding. */
    void send(ExchangeChecker.ClientAttempt exchange, String headers, boolean pipelined) {
        boolean close = random.nextInt(12) == 0;
        String head = exchange.method + " " + exchange.uri + " HTTP/1.1\r\nHost: h.example\r\nBrambletray-Attempt-Id: "
                + exchange.id + "\r\n" + headers + (close ? "Connection: close\r\n" : "");
        String bytes;
        if (exchange.body.isEmpty()) {
            bytes = head + "\r\n";
        } else if (random.nextBoolean()) {
            bytes = head + "Content-Length: " + exchange.body.length() + "\r\n\r\n" + exchange.body;
        } else {
            int first = 1 + random.nextInt(exchange.body.length());
            bytes = head + "Transfer-Encoding: chunked\r\n\r\n"
                    + Integer.toHexString(first) + "\r\n" + exchange.body.substring(0, first) + "\r\n"
                    + (first < exchange.body.length()
                            ? Integer.toHexString(exchange.body.length() - first) + "\r\n"
                                    + exchange.body.substring(first) + "\r\n"
                            : "")
                    + "0\r\n\r\n";
        }
        Connection at = connection;
        ByteBuf out = Unpooled.copiedBuffer(bytes, StandardCharsets.ISO_8859_1);
        if (at == null || at.noMoreRequests || !at.waiting.isEmpty() && !pipelined) {
            Connection opened = new Connection();
            connection = opened;
            opened.waiting.add(exchange);
            opened.channel = machine.dialling(1_000, new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel channel) {
                            channel.pipeline().addLast(opened);
                        }
                    })
                    .connect(frontEnd)
                    .channel();
            opened.write(out);
        } else {
            at.waiting.add(exchange);
            at.write(out);
        }
        // A connection that closes after this response serves no later request.
        connection.noMoreRequests |= close;
    }

    /** Stops reading from the current connection. */
    void pauseReading() {
        if (connection != null) {
            connection.channel.config().setAutoRead(false);
            pausedChannels.add(connection.channel);
        }
    }

    void resumeReading() {
        pausedChannels.forEach(channel -> channel.config().setAutoRead(true));
        pausedChannels.clear();
    }

    void hangUp(boolean hard) {
        if (connection != null) {
            long now = machine.clock().nanos() / 1_000_000;
            connection.waiting.forEach(exchange -> exchange.goneAtMs = now);
            if (hard) {
                connection.channel.config().setOption(ChannelOption.SO_LINGER, 0);
            }
            connection.channel.close();
            connection = null;
        }
    }
}
