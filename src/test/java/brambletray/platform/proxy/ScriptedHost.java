package brambletray.platform.proxy;

import static org.junit.jupiter.api.Assertions.assertNotNull;

import brambletray.common.runtime.Machine;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.DuplexChannel;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/** A host of a {@link Timeline}, simulated byte by byte: it responds as scripted. */
final class ScriptedHost extends Actor {
    private static final int LARGE = 700_000;
    private static final int MEDIUM = 100_000;

    private final String name;
    private final Machine machine;
    private final InetSocketAddress address;
    private final Map<String, Channel> channels = new LinkedHashMap<>();
    private final Set<Channel> open = new LinkedHashSet<>();
    /** The last request as received. */
    String lastRequest = "";

    int connectionCount;
    private Channel listener;
    private String surplusBytes = "";

    ScriptedHost(String name, Machine machine, InetSocketAddress address) {
        this.name = name;
        this.machine = machine;
        this.address = address;
        start();
    }

    private void start() {
        listener = machine.listening(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(new Connection());
                    }
                })
                .bind(address)
                .channel();
    }

    private final class Connection extends ChannelInboundHandlerAdapter {
        private final StringBuilder in = new StringBuilder();

        @Override
        public void channelActive(ChannelHandlerContext context) {
            connectionCount++;
            open.add(context.channel());
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object bytes) {
            ByteBuf read = (ByteBuf) bytes;
            in.append(read.toString(StandardCharsets.ISO_8859_1));
            read.release();
            int end = in.indexOf("\r\n\r\n");
            while (end >= 0) {
                int length = Integer.parseInt("0" + header(in.substring(0, end), "content-length"));
                if (in.length() < end + 4 + length) {
                    return;
                }
                lastRequest = in.substring(0, end + 4 + length);
                in.delete(0, end + 4 + length);
                String id = header(lastRequest, "brambletray-attempt-id");
                channels.put(id, context.channel());
                sees("reads " + id
                        + (name.equals(header(lastRequest, "brambletray-target-instance")) ? "" : " of another"));
                end = in.indexOf("\r\n\r\n");
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            if (open.remove(context.channel())) {
                String latest = "";
                for (Map.Entry<String, Channel> entry : channels.entrySet()) {
                    latest = entry.getValue() == context.channel() ? entry.getKey() : latest;
                }
                sees("loses " + latest);
                channels.values().removeIf(channel -> channel == context.channel());
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }

    static String header(String head, String name) {
        for (int at = 0; at >= 0 && at < head.length(); ) {
            int end = head.indexOf("\r\n", at);
            int colon = at + name.length();
            if (head.regionMatches(true, at, name, 0, name.length())
                    && colon < head.length()
                    && head.charAt(colon) == ':') {
                return head.substring(colon + 1, end < 0 ? head.length() : end).strip();
            }
            at = end < 0 ? -1 : end + 2;
        }
        return "";
    }

    @Override
    boolean act(String[] words) {
        String id = words.length > 1 ? words[1] : "";
        String body = name + ":" + id;
        switch (words[0]) {
            case "answers" -> respond(id, id, "200 OK", "Brambletray-Response-Seal: s\r\n", body);
            case "answers-at-length" ->
                respond(id, id, "200 OK", "Brambletray-Response-Seal: s\r\n", "x".repeat(MEDIUM));
            case "echoes" -> respond(words[3], id, "200 OK", "Brambletray-Response-Seal: s\r\n", body);
            case "fails" -> respond(id, id, "500 Internal Server Error", "", body);
            case "expires" -> respond(id, id, "504 Gateway Timeout", "", body);
            case "hides" -> respond(id, id, "503 Service Unavailable", "", body);
            case "finds-nothing" -> respond(id, id, "404 Not Found", "", body);
            case "sheds" -> respond(id, null, "503 Service Unavailable", "Brambletray-Not-Executed: 1\r\n", "");
            case "declines" -> respond(id, id, "503 Service Unavailable", "Brambletray-Not-Executed: 1\r\n", "");
            case "misdirects" -> respond(id, null, "421 Misdirected Request", "", "");
            case "leaves" -> respond(id, id, "200 OK", "Connection: close\r\nBrambletray-Response-Seal: s\r\n", body);
            case "keeps" ->
                respond(
                        id,
                        id,
                        "200 OK",
                        "Keep-Alive: timeout=" + words[2] + "\r\nBrambletray-Response-Seal: s\r\n",
                        body);
            case "unsealed" -> respond(id, id, "200 OK", "", body);
            case "unnamed" -> respond(id, null, "200 OK", "Brambletray-Response-Seal: s\r\n", body);
            case "encodes" ->
                respond(id, id, "200 OK", "Content-Encoding: br\r\nBrambletray-Response-Seal: s\r\n", body);
            case "endless" -> send(id, head(id, "200 OK", "Brambletray-Response-Seal: s\r\n") + "\r\n" + body);
            case "chunks" ->
                send(
                        id,
                        head(id, "200 OK", "Transfer-Encoding: chunked\r\nBrambletray-Response-Seal: s\r\n")
                                + "\r\n2\r\n" + body.substring(0, 2) + "\r\n" + Integer.toHexString(body.length() - 2)
                                + "\r\n" + body.substring(2) + "\r\n0\r\n\r\n");
            case "heads" ->
                send(id, head(id, "200 OK", "Content-Length: 100\r\nBrambletray-Response-Seal: s\r\n") + "\r\n");
            case "begins" ->
                send(id, head(id, "200 OK", "Content-Length: 100\r\nBrambletray-Response-Seal: s\r\n") + "\r\n" + body);
            case "pours" ->
                send(
                        id,
                        head(id, "200 OK", "Content-Length: " + 2 * LARGE + "\r\nBrambletray-Response-Seal: s\r\n")
                                + "\r\n" + "x".repeat(LARGE));
            case "ends" -> send(id, "x".repeat(LARGE));
            case "codes" ->
                send(
                        id,
                        head(id, "200 OK", "Transfer-Encoding: gzip, chunked\r\nBrambletray-Response-Seal: s\r\n")
                                + "\r\n2\r\nxy\r\n0\r\n\r\n");
            case "codes-nothing" ->
                respond(id, id, "200 OK", "Transfer-Encoding: identity\r\nBrambletray-Response-Seal: s\r\n", body);
            case "is-of-another-version" ->
                send(
                        id,
                        head(id, "200 OK", "Content-Length: 2\r\nBrambletray-Response-Seal: s\r\n")
                                        .replace("/1.1", "/2.0")
                                + "\r\nxy");
            case "fails-at-length" -> respond(id, id, "500 Internal Server Error", "", "x".repeat(LARGE));
            case "blurts" ->
                open.iterator()
                        .next()
                        .writeAndFlush(Unpooled.copiedBuffer(
                                head(
                                                null,
                                                "503 Service Unavailable",
                                                "Brambletray-Not-Executed: 1\r\nContent-Length: 0\r\n")
                                        + "\r\n",
                                StandardCharsets.ISO_8859_1));
            case "garbles" -> send(id, "\u0001\u0002\u0003 nothing of this is an answer\r\n\r\n");
            case "adds-blanks" -> surplusBytes = "\r\n \u0000";
            case "adds" -> surplusBytes = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi";
            case "cuts" -> ((DuplexChannel) channels.get(id)).shutdownOutput();
            case "resets" -> reset(channels.get(id));
            case "X" -> {
                listener.close();
                Set.copyOf(open).forEach(this::reset);
            }
            case "rises" -> start();
            default -> {
                return false;
            }
        }
        return true;
    }

    /** Sends bytes on the connection that carries the request with this id. */
    void sendBytes(String id, String bytes) {
        channels.get(id).writeAndFlush(Unpooled.copiedBuffer(bytes, StandardCharsets.ISO_8859_1));
    }

    private void reset(Channel channel) {
        open.remove(channel);
        channels.values().removeIf(other -> other == channel);
        channel.config().setOption(ChannelOption.SO_LINGER, 0);
        channel.close();
    }

    private void respond(String on, String id, String status, String headers, String body) {
        send(on, head(id, status, headers + "Content-Length: " + body.length() + "\r\n") + "\r\n" + body);
    }

    private static String head(String id, String status, String headers) {
        return "HTTP/1.1 " + status + "\r\n" + (id == null ? "" : "Brambletray-Attempt-Id: " + id + "\r\n") + headers;
    }

    private void send(String id, String bytes) {
        Channel on = channels.get(id);
        assertNotNull(on, id + " is not at " + name);
        on.writeAndFlush(Unpooled.copiedBuffer(bytes + surplusBytes, StandardCharsets.ISO_8859_1));
        surplusBytes = "";
    }
}
