package brambletray.platform.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.ByteBufUtil;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.util.AsciiString;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

/**
 * Writes heads of requests to hosts and of answers to clients: end-to-end headers as they came, those of one connection
 * anew.
 */
final class HeaderWriter {
    private static final int INITIAL_BYTES = 512;
    private static final byte[] CONTINUE = "HTTP/1.1 100 Continue\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

    private HeaderWriter() {}

    /** {@code remainingMs}: the remaining time that is sent to the host, ms. */
    static ByteBuf request(ByteBufAllocator allocator, ClientRequest clientRequest, String host, long remainingMs) {
        ByteBuf out = allocator.buffer(INITIAL_BYTES
                + (clientRequest.body().readableBytes() <= HostConnection.MAX_JOINED_BODY_BYTES
                        ? clientRequest.body().readableBytes()
                        : 0));
        writeAscii(out, clientRequest.method());
        out.writeByte(' ');
        writeAscii(out, clientRequest.uri());
        writeAscii(out, " HTTP/1.1\r\n");
        writeHeaders(out, clientRequest.headers(), true);
        writeHeader(out, "Brambletray-Target-Instance", host);
        writeHeader(out, "Brambletray-Deadline-Remaining", Long.toString(Math.max(1, remainingMs)));
        if (clientRequest.hasBody()) {
            writeHeader(out, "Content-Length", Integer.toString(clientRequest.body().readableBytes()));
        }
        return endHead(out);
    }

    /** {@code complete}: all of the body is here; else it comes by the host's length, or in chunks. */
    static ByteBuf response(ByteBufAllocator allocator, HostResponse response, boolean complete, boolean close) {
        ByteBuf out = startResponse(allocator, response.status, response.reason);
        writeHeaders(out, response.headers, false);
        if (response.withoutBody) {
            if (response.status != 204 && response.length >= 0) {
                writeHeader(out, "Content-Length", Long.toString(response.length));
            }
        } else if (complete || response.length >= 0) {
            writeHeader(out, "Content-Length", Long.toString(complete ? response.size() : response.length));
        } else {
            writeHeader(out, "Transfer-Encoding", "chunked");
        }
        if (close) {
            writeHeader(out, "Connection", "close");
        }
        return endHead(out);
    }

    /**
     * An answer of ours, with the fault's code in its body. {@code retryAfterMs}: -1 for no {@code Retry-After};
     * {@code id}: null for none.
     */
    static ByteBuf ownResponse(
            ByteBufAllocator allocator,
            int status,
            String reason,
            String code,
            int retryAfterMs,
            CharSequence id,
            boolean withoutBody,
            boolean close) {
        ByteBuf out = startResponse(allocator, status, reason);
        if (id != null) {
            writeHeader(out, "Brambletray-Attempt-Id", id);
        }
        if (retryAfterMs >= 0) {
            writeHeader(out, "Retry-After", formatSeconds(retryAfterMs));
        }
        if (close) {
            writeHeader(out, "Connection", "close");
        }
        writeHeader(out, "Content-Type", "application/json");
        writeHeader(out, "Content-Length", Integer.toString(code.length() + 11));
        endHead(out);
        if (!withoutBody) {
            writeAscii(out, "{\"code\":\"");
            writeAscii(out, code);
            writeAscii(out, "\"}");
        }
        return out;
    }

    static ByteBuf emptyResponse(ByteBufAllocator allocator, int status, boolean close) {
        ByteBuf out = startResponse(allocator, status, Rejection.reason(status));
        if (close) {
            writeHeader(out, "Connection", "close");
        }
        writeHeader(out, "Content-Length", "0");
        return endHead(out);
    }

    static ByteBuf continueResponse(ByteBufAllocator allocator) {
        return allocator.buffer(CONTINUE.length).writeBytes(CONTINUE);
    }

    /** 1250 ms: 1.250. */
    static String formatSeconds(int ms) {
        String rest = Integer.toString(1000 + ms % 1000);
        return ms / 1000 + "." + rest.substring(1);
    }

    private static ByteBuf startResponse(ByteBufAllocator allocator, int status, String reason) {
        ByteBuf out = allocator.buffer(INITIAL_BYTES);
        writeAscii(out, "HTTP/1.1 ");
        writeAscii(out, Integer.toString(status));
        out.writeByte(' ');
        writeAscii(out, reason);
        ByteBufUtil.writeShortBE(out, '\r' << 8 | '\n');
        return out;
    }

    private static ByteBuf endHead(ByteBuf out) {
        return ByteBufUtil.writeShortBE(out, '\r' << 8 | '\n');
    }

    /** The headers that are not of one connection: names and values in turns. */
    static List<String> endToEnd(HttpHeaders headers) {
        List<String> named = namedByConnection(headers);
        List<String> passed = new ArrayList<>(2 * headers.size());
        Iterator<Map.Entry<CharSequence, CharSequence>> entries = headers.iteratorCharSequence();
        while (entries.hasNext()) {
            Map.Entry<CharSequence, CharSequence> entry = entries.next();
            if (isEndToEnd(entry.getKey(), named)) {
                passed.add(entry.getKey().toString());
                passed.add(entry.getValue().toString());
            }
        }
        return passed;
    }

    private static boolean isEndToEnd(CharSequence name, List<String> named) {
        return !HopByHopHeaders.isHopByHop(name) && (named.isEmpty() || !HopByHopHeaders.isNamedByConnection(named, name));
    }

    private static List<String> namedByConnection(HttpHeaders headers) {
        return headers.contains(HttpHeaderNames.CONNECTION) ? connectionHeaders(headers) : List.of();
    }

    private static void writeHeaders(ByteBuf out, HttpHeaders headers, boolean toHost) {
        List<String> named = namedByConnection(headers);
        Iterator<Map.Entry<CharSequence, CharSequence>> entries = headers.iteratorCharSequence();
        while (entries.hasNext()) {
            Map.Entry<CharSequence, CharSequence> entry = entries.next();
            CharSequence name = entry.getKey();
            if (isEndToEnd(name, named) && !(toHost && HopByHopHeaders.isReplaced(name))) {
                writeHeader(out, name, entry.getValue());
            }
        }
    }

    /** What Connection names besides its own words. */
    private static List<String> connectionHeaders(HttpHeaders headers) {
        List<String> names = new ArrayList<>(2);
        for (String value : headers.getAll(HttpHeaderNames.CONNECTION)) {
            for (int from = 0; from <= value.length(); ) {
                int comma = value.indexOf(',', from);
                int to = comma < 0 ? value.length() : comma;
                String name = value.substring(from, to).strip();
                if (!name.isEmpty() && !name.equalsIgnoreCase("keep-alive") && !name.equalsIgnoreCase("close")) {
                    names.add(name);
                }
                from = to + 1;
            }
        }
        return names;
    }

    private static void writeHeader(ByteBuf out, CharSequence name, CharSequence value) {
        writeAscii(out, name);
        ByteBufUtil.writeShortBE(out, ':' << 8 | ' ');
        writeAscii(out, value);
        ByteBufUtil.writeShortBE(out, '\r' << 8 | '\n');
    }

    private static void writeAscii(ByteBuf out, CharSequence text) {
        if (text instanceof AsciiString bytes) {
            out.writeBytes(bytes.array(), bytes.arrayOffset(), bytes.length());
        } else {
            ByteBufUtil.writeAscii(out, text);
        }
    }
}
