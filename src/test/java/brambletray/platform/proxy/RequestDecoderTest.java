package brambletray.platform.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Requests are decoded alike, however their bytes are split, and folded headers are found in each split. */
class RequestDecoderTest {
    private static final String BODY = "{\n  \"kwh\": 12.5\n}\n \tend";
    private static final String POST =
            "POST /a HTTP/1.1\r\nHost: h\r\nX: 1\r\nContent-Length: " + BODY.length() + "\r\n\r\n" + BODY;
    private static final String GET = "GET /b?q=1 HTTP/1.1\r\nHost: h\r\nY: 2\r\n\r\n";
    private static final String CHUNKED = "PUT /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
            + "5\r\n\n \n\tx\r\n3\r\n\r\n \r\n0\r\n\r\n";
    private static final String FOLDED = "GET /d HTTP/1.1\r\nHost: h\r\nX: 1\r\n\tfolded\r\n\r\n";

    /** The requests that the decoder makes of these pieces, as text; {@code malformed} for a failure. */
    private static List<String> decode(List<String> pieces) {
        EmbeddedChannel channel = new EmbeddedChannel(new RequestDecoder(() -> {}, 8_192));
        List<String> requests = new ArrayList<>();
        StringBuilder request = new StringBuilder();
        for (String piece : pieces) {
            channel.writeInbound(Unpooled.copiedBuffer(piece, StandardCharsets.ISO_8859_1));
            for (Object part = channel.readInbound(); part != null; part = channel.readInbound()) {
                append(part, request);
                if (((HttpObject) part).decoderResult().isFailure()) {
                    requests.add("malformed");
                    request.setLength(0);
                } else if (part instanceof LastHttpContent) {
                    requests.add(request.toString());
                    request.setLength(0);
                }
                ReferenceCountUtil.release(part);
            }
        }
        channel.finishAndReleaseAll();
        if (!request.isEmpty()) {
            requests.add("incomplete " + request);
        }
        return requests;
    }

    private static void append(Object part, StringBuilder request) {
        if (part instanceof HttpRequest head) {
            TreeMap<String, String> headers = new TreeMap<>();
            head.headers().forEach(header -> headers.put(header.getKey(), header.getValue()));
            request.append(head.method()).append(' ').append(head.uri()).append(headers);
        }
        if (part instanceof HttpContent content) {
            request.append(content.content().toString(StandardCharsets.ISO_8859_1));
        }
    }

    private static List<String> inPieces(String stream, int bytes) {
        List<String> pieces = new ArrayList<>();
        for (int at = 0; at < stream.length(); at += bytes) {
            pieces.add(stream.substring(at, Math.min(stream.length(), at + bytes)));
        }
        return pieces;
    }

    /** Decodes the stream with every cut, and with one and two bytes apart at every place. */
    private static void assertSplitsChangeNothing(String stream) {
        List<String> whole = decode(List.of(stream));
        for (int bytes = 1; bytes <= 7; bytes++) {
            assertEquals(whole, decode(inPieces(stream, bytes)), "in pieces of " + bytes);
        }
        for (int from = 0; from < stream.length(); from++) {
            for (int bytes = 0; bytes <= 2; bytes++) {
                int to = Math.min(stream.length(), from + bytes);
                assertEquals(
                        whole,
                        decode(List.of(stream.substring(0, from), stream.substring(from, to), stream.substring(to))),
                        "bytes " + from + " to " + to + " apart");
            }
        }
    }

    private static String get(String path) {
        return "GET " + path + "{Host=h, Y=2}";
    }

    /** Guards against DENIED: indented bodies got 400 after a cut between the last CR and LF (review/7). */
    @Test
    void bodyWithIndentedLinesIsServedInEachSplit() {
        assertEquals(
                List.of("POST /a{Content-Length=" + BODY.length() + ", Host=h, X=1}" + BODY), decode(List.of(POST)));
        assertSplitsChangeNothing(POST);
        assertSplitsChangeNothing(CHUNKED);
    }

    /** Guards against DENIED: the same beside pipelined heads. */
    @Test
    void pipelinedRequestsAreServedInEachSplit() {
        List<String> whole = decode(List.of(GET + POST + CHUNKED + GET + POST + GET));
        assertEquals(6, whole.size());
        assertEquals(get("/b?q=1"), whole.get(3));
        assertFalse(whole.contains("malformed"));
        assertSplitsChangeNothing(GET + POST + CHUNKED + GET + POST + GET);
    }

    /** Guards against UNASKED: a folded header is found in each split, behind any request and any blank lines. */
    @ParameterizedTest
    @ValueSource(strings = {"", "\r\n", "\r\n\r\n", "\n\n", "\r\n \r\n"})
    void foldedHeaderIsRejectedInEachSplit(String before) {
        for (String first : List.of("", GET, POST, CHUNKED)) {
            String stream = first + before + FOLDED + GET;
            List<String> whole = decode(List.of(stream));
            assertEquals(first.isEmpty() ? 1 : 2, whole.size(), stream);
            assertTrue(whole.contains("malformed"), stream);
            assertSplitsChangeNothing(stream);
        }
    }

    /** Lines that end without CR, and heads without headers, end where the decoder ends them. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "GET /b HTTP/1.1\nHost: h\n\n",
                "GET /b HTTP/1.1\r\nHost: h\n\r\n",
                "GET /b HTTP/1.1\r\nHost: h\r\n\n",
                "GET /b HTTP/1.1\r\n\r\n",
                "\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n",
                "GET /b HTTP/1.1\r\nHost: h\r\n\r\r\n\r\n",
                "GET /b HTTP/1.1\r\nHost: h\r\n\r x\r\n\r\n"
            })
    void unusualLineEndsAreTheSameInEachSplit(String head) {
        assertSplitsChangeNothing(head);
        assertSplitsChangeNothing(GET + head + POST);
    }
}
