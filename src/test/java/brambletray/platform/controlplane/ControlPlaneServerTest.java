package brambletray.platform.controlplane;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.embedded.EmbeddedChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Calls of one connection and their answers, byte for byte, without a socket. */
class ControlPlaneServerTest {
    private final List<ControlCall> calls = new ArrayList<>();
    private final EmbeddedChannel channel = new EmbeddedChannel();

    ControlPlaneServerTest() {
        CallRouter<ControlPlaneServer.CallHandler> table = new CallRouter<>();
        table.route("GET", "/held/*", (call, part) -> calls.add(call));
        new ControlPlaneServer(table).addCallHandlers(channel);
    }

    private void send(String text) {
        channel.writeInbound(Unpooled.copiedBuffer(text.replace("\n", "\r\n"), StandardCharsets.US_ASCII));
    }

    private String got() {
        StringBuilder text = new StringBuilder();
        for (ByteBuf part = channel.readOutbound(); part != null; part = channel.readOutbound()) {
            text.append(part.toString(StandardCharsets.US_ASCII));
            part.release();
        }
        return text.toString();
    }

    private static String get(String path) {
        return "GET " + path + " HTTP/1.1\nHost: h\n\n";
    }

    @Test
    void answersOfOneConnectionKeepTheOrderOfItsCalls() {
        send(get("/held/one") + get("/none") + get("/held/two"));
        assertEquals("", got(), "the second call's answer is ready, and would be taken for the first's");
        assertEquals(1, calls.size());
        calls.get(0).respond(200, "1".getBytes(StandardCharsets.US_ASCII));
        calls.get(0).respond(503, null);
        channel.runPendingTasks();
        assertEquals(2, calls.size());
        String both = got();
        assertTrue(both.startsWith("HTTP/1.1 200 OK") && both.indexOf("HTTP/1.1 404") > 0, both);
        assertEquals(
                both.indexOf("HTTP/1.1 404"), both.lastIndexOf("HTTP/1.1"), "an answer for a call that waits: " + both);
        calls.get(1).responder().respond(307, null, Map.of("Location", "http://10.0.0.2:90/x"));
        assertTrue(got().contains("Location: http://10.0.0.2:90/x"));
    }

    /** The answer is on its way out for a while, as on a socket, before the connection closes behind it. */
    @Test
    void nothingFollowsAnAnswerThatCloses() {
        List<Runnable> writes = new ArrayList<>();
        channel.pipeline().addFirst(new ChannelOutboundHandlerAdapter() {
            @Override
            public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
                writes.add(() -> context.writeAndFlush(message, promise));
            }
        });
        send("GET /held/one HTTP/1.1\nHost: h\nConnection: close\n\n" + get("/held/two"));
        calls.get(0).respond(200, null);
        channel.runPendingTasks();
        send(get("/held/three"));
        assertEquals(1, calls.size());
        writes.forEach(Runnable::run);
        String text = got();
        assertEquals(0, text.lastIndexOf("HTTP/1.1 "), text);
        assertFalse(channel.isActive());
    }

    @Test
    void whoSendsTooFarAheadIsCutOff() {
        for (int i = 0; i <= ControlPlaneServer.MAX_PIPELINED_CALLS + 1; i++) {
            send(get("/held/" + i));
        }
        assertFalse(channel.isActive());
        assertEquals(1, calls.size());
        calls.get(0).respond(200, null);
        channel.runPendingTasks();
        assertEquals(1, calls.size());
    }
}
