package brambletray.platform.proxy;

import brambletray.platform.admission.AttemptOutcome;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;

/**
 * Reads the response to one request on one connection: skips it, buffers it until it is complete, or streams it. Only
 * a successful response is streamed; any other that is too large to be buffered is read to its end and counts as a
 * failure without a response.
 */
final class ResponseReader {
    /**
     * Maximum size of a response that is buffered until it is complete, so that a truncated one never reaches a client
     * and its request can be retried.
     */
    static final int MAX_BUFFERED_BYTES = 512 * 1024;
    /** Maximum number of 1xx and surplus responses skipped before the response to this request. */
    private static final int MAX_SKIPPED_RESPONSES = 8;

    private final HostCall hostCall;
    private final RequestCounters counters;
    private final boolean reused;
    private ResponseVerdict verdict;
    private HostResponse response;
    private boolean sent;
    private boolean skipping;
    private boolean streaming;
    private boolean discarding;
    private boolean withheld;
    private boolean complete;
    private boolean reusable = true;
    private int skippedResponses;

    /** {@code reused}: the connection has carried another request before, of which late bytes may still arrive. */
    ResponseReader(HostCall hostCall, RequestCounters counters, boolean reused) {
        this.hostCall = hostCall;
        this.counters = counters;
        this.reused = reused;
    }

    /** The first byte of the request was written: a response is possible from now on. */
    void onSent() {
        sent = true;
    }

    boolean isSent() {
        return sent;
    }

    HostCall hostCall() {
        return hostCall;
    }

    boolean isComplete() {
        return complete;
    }

    /** Whether the connection may carry another request. */
    boolean isReusable() {
        return reusable;
    }

    ResponseVerdict verdict() {
        return verdict;
    }

    /**
     * Whether the response must not be passed on: its status claims without proof that the request did not run, or it
     * was too large to be buffered.
     */
    boolean isWithheld() {
        return withheld;
    }

    /** The complete response if it may be passed to a client; the caller takes ownership of its bytes. */
    HostResponse response() {
        return !withheld && (verdict.outcome() == AttemptOutcome.SERVED || verdict.outcome() == AttemptOutcome.FAILED)
                ? response
                : null;
    }

    /** Value of the Keep-Alive header; null if absent. */
    String keepAlive() {
        return response.headers.get("keep-alive");
    }

    /** Returns false if this is not a valid response. */
    boolean onHead(HttpResponse head) {
        int status = head.status().code();
        if (status < 200) {
            skipping = true;
            return status >= 100 && status != 101 && ++skippedResponses <= MAX_SKIPPED_RESPONSES;
        }
        boolean bare =
                status == 204 || status == 304 || hostCall.clientRequest().isHeadRequest();
        BodyFraming framing = BodyFraming.of(head, bare);
        verdict = framing == BodyFraming.INVALID
                ? ResponseVerdict.INVALID
                : ResponseVerdict.of(hostCall.requestId(), status, head.headers());
        if (verdict.withoutId() && reused && hostCall.requiresOpenConnection()) {
            // Guards rule TWICE: a late response to the previous request looks the same and proves nothing about this
            // one.
            verdict = ResponseVerdict.INVALID;
        }
        reusable &= HttpUtil.isKeepAlive(head)
                && !verdict.withoutId()
                && !hostCall.clientRequest().isHeadRequest();
        skipping = verdict == ResponseVerdict.SURPLUS;
        if (skipping) {
            counters.surplusResponses++;
            // More surplus responses may follow, so no other request is sent on this connection. After a HEAD request
            // the length of a surplus response cannot be determined.
            reusable = false;
            return !hostCall.clientRequest().isHeadRequest() && ++skippedResponses <= MAX_SKIPPED_RESPONSES;
        }
        response = new HostResponse(
                status, head.status().reasonPhrase(), head.headers(), framing.length(), bare, hostCall.memoryBudget());
        withheld = verdict.unprovenRefusal();
        discarding =
                withheld || verdict.outcome() != AttemptOutcome.SERVED && verdict.outcome() != AttemptOutcome.FAILED;
        return verdict != ResponseVerdict.INVALID;
    }

    /** Returns false if reading must pause until the client's connection is writable again. */
    boolean onContent(HttpContent content) {
        boolean more = true;
        if (!skipping && !discarding && content.content().isReadable()) {
            more = addBytes(content.content().retain());
        }
        if (content instanceof LastHttpContent) {
            complete = !skipping;
            skipping = false;
        }
        return more;
    }

    private boolean addBytes(ByteBuf bytes) {
        if (!streaming) {
            if (response.add(bytes, MAX_BUFFERED_BYTES)) {
                return true;
            }
            streaming = verdict.outcome() == AttemptOutcome.SERVED && hostCall.onStreaming(response);
            if (!streaming) {
                // No client waits for it, or it is a failure; it is read to its end, since interrupting an instance has
                // a cost.
                discarding = true;
                withheld = true;
                bytes.release();
                response.release();
                return true;
            }
            counters.streamedResponses++;
        }
        return hostCall.onContent(bytes);
    }

    void release() {
        if (response != null) {
            response.release();
        }
    }
}
