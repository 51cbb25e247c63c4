package brambletray.platform.proxy;

import brambletray.platform.configuration.ClientLimits;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import java.util.ArrayList;
import java.util.List;

/** The request that is being read on one connection: its head, and its body as far as it has come. */
final class RequestReader {
    private final MemoryBudget hold;
    /** Those in force when the request began. */
    private ClientLimits limits;

    private final List<ByteBuf> parts = new ArrayList<>(1);
    private HttpRequest head;
    private long at;
    private int size;

    RequestReader(MemoryBudget hold) {
        this.hold = hold;
    }

    /** Null: go on; else why it is turned away. */
    Rejection head(HttpRequest request, long now, ClientLimits inForce) {
        head = request;
        limits = inForce;
        at = now;
        return Rejection.of(request, limits);
    }

    /** When the time of the request that is being read is over, ms of the steady clock. */
    long end(RequestRouter flow) {
        return head == null ? Long.MAX_VALUE : flow.end(head.headers(), head.uri(), at);
    }

    boolean bare() {
        return head != null && head.method().equals(HttpMethod.HEAD);
    }

    /** Null: go on; else why it is turned away. */
    Rejection body(HttpContent content) {
        int n = content.content().readableBytes();
        if (n == 0) {
            return null;
        }
        if (size + n > limits.maxBodyBytes()) {
            return Rejection.TOO_LARGE;
        }
        if (!hold.take(n)) {
            return Rejection.FULL;
        }
        size += n;
        parts.add(content.content().retain());
        return null;
    }

    /** It is whole: whoever takes it gives its bytes back to the hold. */
    ClientRequest whole() {
        HttpHeaders headers = head.headers();
        HttpMethod method = head.method();
        boolean bodied = size > 0
                || headers.contains(HttpHeaderNames.CONTENT_LENGTH)
                || headers.contains(HttpHeaderNames.TRANSFER_ENCODING)
                || method.equals(HttpMethod.POST)
                || method.equals(HttpMethod.PUT);
        // A copy, lest a small body keep the large buffer that it was read into.
        ByteBuf body = size == 0 ? Unpooled.EMPTY_BUFFER : Unpooled.buffer(size, size);
        for (int i = 0; i < parts.size(); i++) {
            body.writeBytes(parts.get(i));
            parts.get(i).release();
        }
        parts.clear();
        size = 0;
        ClientRequest clientRequest = new ClientRequest(method.name(), head.uri(), headers, body, bodied, at);
        head = null;
        return clientRequest;
    }

    void drop() {
        hold.give(size);
        size = 0;
        parts.forEach(ByteBuf::release);
        parts.clear();
        head = null;
    }
}
