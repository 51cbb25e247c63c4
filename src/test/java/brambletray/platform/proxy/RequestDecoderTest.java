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

    private static final int MAX_HEADER_BYTES = 64;

    /** A limit that may change, and the number of requests that have begun. */
    private static final class Limit implements RequestDecoder.Listener {
        int maxHeaderBytes;
        int begun;

        Limit(int maxHeaderBytes) {
            this.maxHeaderBytes = maxHeaderBytes;
        }

        @Override
        public void onBytes() {}

        @Override
        public void onRequestBegins() {
            begun++;
        }

        @Override
        public int maxHeaderBytes() {
            return maxHeaderBytes;
        }
    }

    /** The requests that the decoder makes of these pieces, as text; {@code malformed} for a failure. */
    private static List<String> decode(List<String> pieces) {
        EmbeddedChannel channel = new EmbeddedChannel(new RequestDecoder(new Limit(MAX_HEADER_BYTES)));
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

    private static String getWithPath(int length) {
        return "GET /" + "p".repeat(length - "GET / HTTP/1.1".length()) + " HTTP/1.1\r\nHost: h\r\n\r\n";
    }

    private static String getWithHeaders(int length) {
        return "GET / HTTP/1.1\r\nHost: h\r\nX: " + "x".repeat(length - "Host: hX: ".length()) + "\r\n\r\n";
    }

    /** The request line, and the headers, may be as long as the limit, without the ends of lines, in each split. */
    @Test
    void headsUpToTheLimitAreAccepted() {
        for (String exact : List.of(getWithPath(MAX_HEADER_BYTES), getWithHeaders(MAX_HEADER_BYTES))) {
            assertFalse(decode(List.of(GET + exact + POST)).contains("malformed"), exact);
            assertSplitsChangeNothing(GET + exact + POST);
        }
        for (String longer : List.of(getWithPath(MAX_HEADER_BYTES + 1), getWithHeaders(MAX_HEADER_BYTES + 1))) {
            assertEquals(List.of(get("/b?q=1"), "malformed"), decode(List.of(GET + longer + POST)));
            assertSplitsChangeNothing(GET + longer + POST);
        }
    }

    /** A head that has no end is rejected as soon as it exceeds the limit. */
    @ParameterizedTest
    @ValueSource(strings = {"GET /", "GET / HTTP/1.1\r\nX: ", "GET / HTTP/1.1\r\n"})
    void endlessHeadIsRejected(String start) {
        assertEquals(List.of("malformed"), decode(List.of(start, "x".repeat(MAX_HEADER_BYTES + 1))));
        String headers = "x: y\r\n".repeat(1 + MAX_HEADER_BYTES / 4);
        assertEquals(List.of("malformed"), decode(List.of("GET / HTTP/1.1\r\n", headers)));
    }

    /** Guards against OutOfMemoryError: lines with sizes of chunks, and trailers, are limited too. */
    @Test
    void endlessFramingIsRejected() {
        String head = "PUT /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
        for (String endless :
                List.of("5;" + "x".repeat(400), "0\r\n" + "t: x\r\n".repeat(60), "0\r\nt: " + "x".repeat(400))) {
            assertEquals(List.of("malformed"), decode(List.of(head + "1\r\na\r\n" + endless)));
            assertEquals(List.of("malformed"), decode(inPieces(head + "1\r\na\r\n" + endless, 1)));
        }
    }

    /** Content of any length is no framing. */
    @Test
    void largeChunksAreAccepted() {
        String body = "b".repeat(100_000);
        String stream = "PUT /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n186A0;x=y\r\n" + body
                + "\r\n186a0\r\n" + body + "\r\n0\r\nt: x\r\n\r\n" + GET;
        List<String> whole = decode(List.of(stream));
        assertEquals(2, whole.size());
        assertTrue(whole.get(0).endsWith("a" + body + body));
        for (int bytes : List.of(1, 2, 1_448, 65_536)) {
            assertEquals(whole, decode(inPieces(stream, bytes)));
        }
    }

    /** Guards against CONFIG: an open connection kept the limit of when it was opened (review/8). */
    @Test
    void theLimitOfTheMomentApplies() {
        Limit limit = new Limit(MAX_HEADER_BYTES);
        EmbeddedChannel channel = new EmbeddedChannel(new RequestDecoder(limit));
        limit.maxHeaderBytes = 2 * MAX_HEADER_BYTES;
        channel.writeInbound(Unpooled.copiedBuffer(getWithHeaders(2 * MAX_HEADER_BYTES), StandardCharsets.US_ASCII));
        assertTrue(((HttpObject) channel.readInbound()).decoderResult().isSuccess());
        assertEquals(1, limit.begun);
        limit.maxHeaderBytes = MAX_HEADER_BYTES;
        ReferenceCountUtil.release(channel.readInbound());
        channel.writeInbound(
                Unpooled.copiedBuffer("\r\n" + getWithPath(MAX_HEADER_BYTES + 1), StandardCharsets.US_ASCII));
        assertTrue(((HttpObject) channel.readInbound()).decoderResult().isFailure());
        assertEquals(2, limit.begun);
        channel.finishAndReleaseAll();
    }
}
