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

/** Collects the request that is being read on one connection: its head and the body parts received so far. */
final class RequestReader {
    private final MemoryBudget memoryBudget;
    private final List<ByteBuf> bodyParts = new ArrayList<>(1);
    private HttpRequest head;
    private long receivedAtMs;
    private int bodyBytes;

    RequestReader(MemoryBudget memoryBudget) {
        this.memoryBudget = memoryBudget;
    }

    /** Returns the reason to reject the request, or null to continue. */
    Rejection onHead(HttpRequest request, long now, ClientLimits limits) {
        head = request;
        receivedAtMs = now;
        return Rejection.of(request, limits);
    }

    /** Deadline of the request that is being read, in ms of the steady clock. */
    long deadlineMs(RequestRouter router) {
        return head == null ? Long.MAX_VALUE : router.deadlineMs(head.headers(), head.uri(), receivedAtMs);
    }

    boolean isHeadRequest() {
        return head != null && head.method().equals(HttpMethod.HEAD);
    }

    /** Returns the reason to reject the request, or null to continue. */
    Rejection onBody(HttpContent content, int maxBodyBytes) {
        int n = content.content().readableBytes();
        if (n == 0) {
            return null;
        }
        if (bodyBytes + n > maxBodyBytes) {
            return Rejection.TOO_LARGE;
        }
        if (!memoryBudget.tryReserve(n)) {
            return Rejection.MEMORY_FULL;
        }
        bodyBytes += n;
        bodyParts.add(content.content().retain());
        return null;
    }

    /** Returns the complete request; the caller releases its bytes to the memory budget. */
    ClientRequest takeRequest() {
        HttpHeaders headers = head.headers();
        HttpMethod method = head.method();
        boolean hasBody = bodyBytes > 0
                || headers.contains(HttpHeaderNames.CONTENT_LENGTH)
                || headers.contains(HttpHeaderNames.TRANSFER_ENCODING)
                || method.equals(HttpMethod.POST)
                || method.equals(HttpMethod.PUT);
        // Copied, so that a small body does not retain the large buffer that it was read into.
        ByteBuf body = bodyBytes == 0 ? Unpooled.EMPTY_BUFFER : Unpooled.buffer(bodyBytes, bodyBytes);
        for (int i = 0; i < bodyParts.size(); i++) {
            body.writeBytes(bodyParts.get(i));
            bodyParts.get(i).release();
        }
        bodyParts.clear();
        bodyBytes = 0;
        ClientRequest clientRequest =
                new ClientRequest(method.name(), head.uri(), headers, body, hasBody, receivedAtMs);
        head = null;
        return clientRequest;
    }

    void release() {
        memoryBudget.release(bodyBytes);
        bodyBytes = 0;
        bodyParts.forEach(ByteBuf::release);
        bodyParts.clear();
        head = null;
    }
}
