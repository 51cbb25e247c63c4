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
 * A client of a {@link RandomExchanges}: keeps a connection, sends ahead at times, hangs up at times, and reads what
 * comes to the letter.
 */
final class RandomClient {
    private final Machine machine;
    private final InetSocketAddress frontEnd;
    private final ExchangeChecker checker;
    private final SplittableRandom random;
    private final List<Channel> pausedChannels = new ArrayList<>();
    private Connection connection;

    RandomClient(Machine machine, InetSocketAddress front, ExchangeChecker ruling, SplittableRandom random) {
        this.machine = machine;
        this.frontEnd = front;
        this.checker = ruling;
        this.random = random;
    }

    /** One connection, with the tries that wait on it, oldest first. */
    private final class Connection extends ChannelInboundHandlerAdapter {
        final ArrayDeque<ExchangeChecker.ClientAttempt> waiting = new ArrayDeque<>();
        final StringBuilder in = new StringBuilder();
        /** So many bytes must be here before the next answer can be whole. */
        int minBytes;
        /** Until it is up. */
        final ArrayDeque<ByteBuf> unsent = new ArrayDeque<>(1);

        Channel channel;
        /** Nothing more is sent on it. */
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

        /** False: the next answer is not whole yet. */
        private boolean readResponse() {
            int end = in.indexOf("\r\n\r\n");
            if (end < 0) {
                return false;
            }
            String head = in.substring(0, end);
            if (!head.startsWith("HTTP/1.1 ") || head.length() < 12) {
                checker.addViolation("MIXED", "no answer: " + head);
                in.setLength(0);
                return false;
            }
            int status = Integer.parseInt(head.substring(9, 12));
            if (status == 100) {
                in.delete(0, end + 4);
                return true;
            }
            ExchangeChecker.ClientAttempt of = waiting.peek();
            boolean bare = status == 204 || status == 304 || of != null && of.method.equals("HEAD");
            String length = ScriptedHost.header(head, "content-length");
            boolean chunked = ScriptedHost.header(head, "transfer-encoding").equals("chunked");
            if (!bare && length.isEmpty() == !chunked) {
                checker.addViolation("MIXED", "no telling where it ends: " + head);
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
                    of,
                    status,
                    ScriptedHost.header(head, "brambletray-attempt-id"),
                    !ScriptedHost.header(head, "brambletray-response-seal").isEmpty(),
                    bare ? "" : body[0]);
            return true;
        }

        /** Where it ends; -1: not yet. */
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
                checker.addViolation("MIXED", "cannot be read: " + cause);
            }
            context.close();
        }
    }

    /** Sends it, on the connection at hand or on a new one; {@code ahead}: also while others wait there. */
    void send(ExchangeChecker.ClientAttempt one, String headers, boolean ahead) {
        boolean close = random.nextInt(12) == 0;
        String head = one.method + " " + one.uri + " HTTP/1.1\r\nHost: h.example\r\nBrambletray-Attempt-Id: " + one.id
                + "\r\n" + headers + (close ? "Connection: close\r\n" : "");
        String bytes;
        if (one.body.isEmpty()) {
            bytes = head + "\r\n";
        } else if (random.nextBoolean()) {
            bytes = head + "Content-Length: " + one.body.length() + "\r\n\r\n" + one.body;
        } else {
            int first = 1 + random.nextInt(one.body.length());
            bytes = head + "Transfer-Encoding: chunked\r\n\r\n"
                    + Integer.toHexString(first) + "\r\n" + one.body.substring(0, first) + "\r\n"
                    + (first < one.body.length()
                            ? Integer.toHexString(one.body.length() - first) + "\r\n" + one.body.substring(first)
                                    + "\r\n"
                            : "")
                    + "0\r\n\r\n";
        }
        Connection at = connection;
        ByteBuf out = Unpooled.copiedBuffer(bytes, StandardCharsets.ISO_8859_1);
        if (at == null || at.noMoreRequests || !at.waiting.isEmpty() && !ahead) {
            Connection made = new Connection();
            connection = made;
            made.waiting.add(one);
            made.channel = machine.dialling(1_000, new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel channel) {
                            channel.pipeline().addLast(made);
                        }
                    })
                    .connect(frontEnd)
                    .channel();
            made.write(out);
        } else {
            at.waiting.add(one);
            at.write(out);
        }
        // What was told to close after its answer answers nothing that comes behind it.
        connection.noMoreRequests |= close;
    }

    /** It reads nothing that comes on its present connection. */
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
            if (hard) {
                connection.channel.config().setOption(ChannelOption.SO_LINGER, 0);
            }
            connection.channel.close();
            connection = null;
        }
    }
}
