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

/** A client of a {@link Timeline}, which reuses one connection as long as it is open. */
final class ScriptedClient extends Actor {
    private final Machine machine;
    private final InetSocketAddress front;
    private Channel channel;
    private boolean isHeadRequest;
    private final StringBuilder in = new StringBuilder();

    ScriptedClient(Machine machine, InetSocketAddress front) {
        this.machine = machine;
        this.front = front;
    }

    private final class Connection extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext context, Object bytes) {
            ByteBuf read = (ByteBuf) bytes;
            in.append(read.toString(StandardCharsets.ISO_8859_1));
            read.release();
            readResponses();
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            if (channel == context.channel()) {
                channel = null;
                sees(in.length() > 0 ? "cut" : "closed");
                in.setLength(0);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }

    private void readResponses() {
        for (int end = in.indexOf("\r\n\r\n"); end >= 0; end = in.indexOf("\r\n\r\n")) {
            String head = in.substring(0, end);
            int length = isHeadRequest ? 0 : Integer.parseInt("0" + ScriptedHost.header(head, "content-length"));
            if (in.length() < end + 4 + length) {
                return;
            }
            String status = head.substring(9, 12);
            String body = in.substring(end + 4, end + 4 + length);
            String retryAfter = ScriptedHost.header(head, "retry-after");
            boolean isOwnResponse = body.startsWith("{\"code\"");
            sees(status
                    + (!retryAfter.isEmpty()
                            ? " in " + retryAfter
                            : isOwnResponse || length == 0 ? "" : length > 100 ? " " + length : " " + body)
                    + (ScriptedHost.header(head, "connection").equals("close") ? " close" : ""));
            in.delete(0, end + 4 + length);
        }
    }

    @Override
    boolean act(String[] words) {
        String id = words.length > 1 ? words[1] : "";
        String ms = words.length > 2 ? words[2] : "4000";
        switch (words[0]) {
            case "asks" -> send("GET /r/x?q=1 HTTP/1.1\r\n" + commonHeaders(id, ms) + "\r\n");
            case "keys" ->
                send("POST /r/x HTTP/1.1\r\n" + commonHeaders(id, ms) + "Brambletray-Operation-Key: k1\r\n"
                        + "Content-Length: 5\r\n\r\nhello");
            case "keys-twice" ->
                send("POST /r/x HTTP/1.1\r\n" + commonHeaders(id, ms) + "Brambletray-Operation-Key: k1\r\n"
                        + "Brambletray-Operation-Key: k2\r\nContent-Length: 0\r\n\r\n");
            case "asks-twice" ->
                send("GET /r/x HTTP/1.1\r\n" + commonHeaders(id, "4000") + "\r\nGET /r/x HTTP/1.1\r\n"
                        + commonHeaders(ms, "4000") + "\r\n");
            case "posts" -> send("POST /r/x HTTP/1.1\r\n" + commonHeaders(id, ms) + "Content-Length: 5\r\n\r\nhello");
            case "trickles" ->
                send("POST /r/x HTTP/1.1\r\n" + commonHeaders(id, ms)
                        + "Transfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n3;x=y\r\nllo\r\n0\r\n\r\n");
            case "begins" -> send("GET /r/x HTTP/1.1\r\nHost: h.example\r\n");
            case "nowhere" -> send("GET /none HTTP/1.1\r\n" + commonHeaders(id, ms) + "\r\n");
            case "sleeps" -> channel.config().setAutoRead(false);
            case "wakes" -> channel.config().setAutoRead(true);
            case "hangs-up" -> disconnect();
            case "resets" -> {
                channel.config().setOption(ChannelOption.SO_LINGER, 0);
                disconnect();
            }
            default -> {
                return false;
            }
        }
        return true;
    }

    private void disconnect() {
        Channel closing = channel;
        channel = null;
        closing.close();
    }

    private static String commonHeaders(String id, String ms) {
        return "Host: h.example\r\nBrambletray-Attempt-Id: " + id + "\r\nBrambletray-Deadline-Remaining: " + ms
                + "\r\n";
    }

    void send(String bytes) {
        isHeadRequest = bytes.startsWith("HEAD");
        ByteBuf out = Unpooled.copiedBuffer(bytes, StandardCharsets.ISO_8859_1);
        if (channel != null && channel.isActive()) {
            channel.writeAndFlush(out);
            return;
        }
        channel = machine.dialling(1_000, new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel made) {
                        made.pipeline().addLast(new Connection());
                    }
                })
                .connect(front)
                .addListener(
                        (io.netty.channel.ChannelFuture done) -> done.channel().writeAndFlush(out))
                .channel();
    }
}
