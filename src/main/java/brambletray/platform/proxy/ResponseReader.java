package brambletray.platform.proxy;

import brambletray.platform.admission.AttemptOutcome;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;

/**
 * How far the answer to one request has come on one connection: what is skipped, held back until it is whole, or given
 * on as it comes. Only a success is given on as it comes: what else is too large to be held is read to its end and
 * counts as a failure without an answer.
 */
final class ResponseReader {
    /** Bytes of an answer that are held until it is whole: a cut one never reaches a client, and can be tried again. */
    static final int HELD = 512 * 1024;
    /** Answers ahead of ours that are skipped: 1xx, or surplus. */
    private static final int AHEAD_MOST = 8;

    private final HostCall hostCall;
    private final RequestCounters counters;
    private final boolean reused;
    private ResponseVerdict verdict;
    private HostResponse answer;
    private boolean sent;
    private boolean skipping;
    private boolean flowing;
    private boolean dropping;
    private boolean withheld;
    private boolean complete;
    private boolean lasting = true;
    private int ahead;

    /** {@code reused}: its connection has carried another request before, whose late bytes may still come. */
    ResponseReader(HostCall hostCall, RequestCounters counters, boolean reused) {
        this.hostCall = hostCall;
        this.counters = counters;
        this.reused = reused;
    }

    /** The request's first byte is out: from now on an answer may come. */
    void sent() {
        sent = true;
    }

    boolean isSent() {
        return sent;
    }

    HostCall hostCall() {
        return hostCall;
    }

    boolean complete() {
        return complete;
    }

    /** Whether its connection may serve another request. */
    boolean lasting() {
        return lasting;
    }

    ResponseVerdict verdict() {
        return verdict;
    }

    /** It must not be passed on: its status promises what is not proven, or it was too large to be held. */
    boolean withheld() {
        return withheld;
    }

    /** The whole answer, where it is one for clients; its bytes are the caller's. */
    HostResponse answer() {
        return !withheld && (verdict.fate() == AttemptOutcome.SERVED || verdict.fate() == AttemptOutcome.FAILED)
                ? answer
                : null;
    }

    /** What the host says of how long it keeps the connection; null: nothing. */
    String keepAlive() {
        return answer.headers.get("keep-alive");
    }

    /** False: this is no answer. */
    boolean head(HttpResponse head) {
        int status = head.status().code();
        if (status < 200) {
            skipping = true;
            return status >= 100 && status != 101 && ++ahead <= AHEAD_MOST;
        }
        boolean bare =
                status == 204 || status == 304 || hostCall.clientRequest().head();
        BodyFraming framing = BodyFraming.of(head, bare);
        verdict = framing == BodyFraming.NONE
                ? ResponseVerdict.JUNK
                : ResponseVerdict.of(hostCall.id(), status, head.headers());
        if (verdict.nameless() && reused && hostCall.careful()) {
            // Guards rule TWICE: a late one of the request before looks the same, and proves nothing of this one.
            verdict = ResponseVerdict.JUNK;
        }
        lasting &= HttpUtil.isKeepAlive(head)
                && !verdict.nameless()
                && !hostCall.clientRequest().head();
        skipping = verdict == ResponseVerdict.SURPLUS;
        if (skipping) {
            counters.surplus++;
            // Where one came, more may: no other request goes out here. And how long it is can't be told by the rules
            // of an answer to HEAD.
            lasting = false;
            return !hostCall.clientRequest().head() && ++ahead <= AHEAD_MOST;
        }
        answer = new HostResponse(
                status, head.status().reasonPhrase(), head.headers(), framing.length(), bare, hostCall.hold());
        withheld = verdict.promise();
        dropping = withheld || verdict.fate() != AttemptOutcome.SERVED && verdict.fate() != AttemptOutcome.FAILED;
        return verdict != ResponseVerdict.JUNK;
    }

    /** False: stop reading until the client has room again. */
    boolean content(HttpContent content) {
        boolean more = true;
        if (!skipping && !dropping && content.content().isReadable()) {
            more = take(content.content().retain());
        }
        if (content instanceof LastHttpContent) {
            complete = !skipping;
            skipping = false;
        }
        return more;
    }

    private boolean take(ByteBuf bytes) {
        if (!flowing) {
            if (answer.add(bytes, HELD)) {
                return true;
            }
            flowing = verdict.fate() == AttemptOutcome.SERVED && hostCall.flow(answer);
            if (!flowing) {
                // Nobody waits for it any more, or it is a failure; but to break the host's work off has a price.
                dropping = true;
                withheld = true;
                bytes.release();
                answer.drop();
                return true;
            }
            counters.streamed++;
        }
        return hostCall.more(bytes);
    }

    void drop() {
        if (answer != null) {
            answer.drop();
        }
    }
}
