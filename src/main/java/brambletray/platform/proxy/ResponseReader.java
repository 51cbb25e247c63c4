package brambletray.platform.proxy;

import brambletray.platform.admission.AttemptOutcome;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;

/**
 * Follows the response to one request on one connection: skipped, buffered until complete, or streamed. Only a
 * success is streamed; any other response that is too large to be buffered is read to its end and counts as a failure
 * without a response.
 */
final class ResponseReader {
    /**
     * Bytes of a response that are buffered until it is complete: a truncated one never reaches a client and can be
     * retried.
     */
    static final int MAX_BUFFERED_BYTES = 512 * 1024;
    /** Answers ahead of ours that are skipped: 1xx, or surplus. */
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

    /** {@code reused}: its connection has carried another request before, whose late bytes may still come. */
    ResponseReader(HostCall hostCall, RequestCounters counters, boolean reused) {
        this.hostCall = hostCall;
        this.counters = counters;
        this.reused = reused;
    }

    /** The request's first byte is out: from now on an answer may come. */
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

    /** Whether its connection may serve another request. */
    boolean isReusable() {
        return reusable;
    }

    ResponseVerdict verdict() {
        return verdict;
    }

    /** It must not be passed on: its status promises what is not proven, or it was too large to be held. */
    boolean isWithheld() {
        return withheld;
    }

    /** The complete response if it may be passed to a client; its bytes are the caller's. */
    HostResponse response() {
        return !withheld && (verdict.outcome() == AttemptOutcome.SERVED || verdict.outcome() == AttemptOutcome.FAILED)
                ? response
                : null;
    }

    /** What the host says of how long it keeps the connection; null: nothing. */
    String keepAlive() {
        return response.headers.get("keep-alive");
    }

    /** False: this is no answer. */
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
            // Guards rule TWICE: a late one of the request before looks the same, and proves nothing of this one.
            verdict = ResponseVerdict.INVALID;
        }
        reusable &= HttpUtil.isKeepAlive(head)
                && !verdict.withoutId()
                && !hostCall.clientRequest().isHeadRequest();
        skipping = verdict == ResponseVerdict.SURPLUS;
        if (skipping) {
            counters.surplusResponses++;
            // Where one came, more may: no other request goes out here. And how long it is can't be told by the rules
            // of an answer to HEAD.
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

    /** False: stop reading until the client has room again. */
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
                // Nobody waits for it any more, or it is a failure; but to break the host's work off has a price.
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
