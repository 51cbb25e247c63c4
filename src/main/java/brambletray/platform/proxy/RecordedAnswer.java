package brambletray.platform.proxy;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;

/**
 * An instance's complete response to the first attempt of an operation, for the attempts that repeat it.
 *
 * @param headers the end-to-end headers as alternating names and values
 */
public record RecordedAnswer(int status, String reason, List<String> headers, byte[] body) {
    /** Maximum size of the body of a recorded response. */
    static final int MAX_BODY_BYTES = 256 * 1024;

    /** Approximate size in memory, in bytes. */
    public int size() {
        int size = 64 + body.length;
        for (int i = 0; i < headers.size(); i++) {
            size += 48 + headers.get(i).length();
        }
        return size;
    }

    /** Copies a complete response; null if it is too large. */
    static RecordedAnswer of(HostResponse response) {
        if (response.size() > MAX_BODY_BYTES) {
            return null;
        }
        return new RecordedAnswer(
                response.status, response.reason, HeaderWriter.endToEnd(response.headers), response.copyBody());
    }

    /** The response to the attempt with this id; null if the memory budget is exhausted. */
    HostResponse toResponse(String attemptId, boolean withoutBody, MemoryBudget memoryBudget) {
        HttpHeaders responseHeaders = new DefaultHttpHeaders(false);
        for (int i = 0; i + 1 < headers.size(); i += 2) {
            responseHeaders.add(headers.get(i), headers.get(i + 1));
        }
        responseHeaders.set(ClientRequest.ID, attemptId);
        boolean bare = withoutBody || status == 204 || status == 304;
        HostResponse response = new HostResponse(status, reason, responseHeaders, body.length, bare, memoryBudget);
        return bare || response.addWrapped(body) ? response : null;
    }
}
