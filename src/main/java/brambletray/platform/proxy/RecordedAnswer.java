package brambletray.platform.proxy;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;

/**
 * An instance's complete answer to the first attempt of an operation, for the attempts that repeat it.
 *
 * @param headers the end-to-end headers: names and values in turns
 */
public record RecordedAnswer(int status, String reason, List<String> headers, byte[] body) {
    /** Bytes of a body beyond which an answer is not recorded. */
    static final int MAX_BODY_BYTES = 256 * 1024;

    /** Bytes that it takes in memory, about. */
    public int size() {
        int size = 64 + body.length;
        for (int i = 0; i < headers.size(); i++) {
            size += 48 + headers.get(i).length();
        }
        return size;
    }

    /** A copy of a complete answer; null where it is too large. */
    static RecordedAnswer of(HostResponse response) {
        if (response.size() > MAX_BODY_BYTES) {
            return null;
        }
        return new RecordedAnswer(
                response.status, response.reason, HeaderWriter.endToEnd(response.headers), response.copyBody());
    }

    /** The answer for the attempt of this id; null where no memory is left for it. */
    HostResponse toResponse(String attemptId, boolean withoutBody, MemoryBudget memoryBudget) {
        HttpHeaders own = new DefaultHttpHeaders(false);
        for (int i = 0; i + 1 < headers.size(); i += 2) {
            own.add(headers.get(i), headers.get(i + 1));
        }
        own.set(ClientRequest.ID, attemptId);
        boolean bare = withoutBody || status == 204 || status == 304;
        HostResponse response = new HostResponse(status, reason, own, body.length, bare, memoryBudget);
        return bare || response.addWrapped(body) ? response : null;
    }
}
