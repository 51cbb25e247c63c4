package brambletray.tray.flow;

import brambletray.tray.home.Fate;
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
final class Reading {
    /** Bytes of an answer that are held until it is whole: a cut one never reaches a client, and can be tried again. */
    static final int HELD = 512 * 1024;
    /** Answers ahead of ours that are skipped: 1xx, or surplus. */
    private static final int AHEAD_MOST = 8;

    private final Errand errand;
    private final Tally tally;
    private final boolean reused;
    private Verdict verdict;
    private Answer answer;
    private boolean sent;
    private boolean skipping;
    private boolean flowing;
    private boolean dropping;
    private boolean withheld;
    private boolean complete;
    private boolean lasting = true;
    private int ahead;

    /** {@code reused}: its connection has carried another request before, whose late bytes may still come. */
    Reading(Errand errand, Tally tally, boolean reused) {
        this.errand = errand;
        this.tally = tally;
        this.reused = reused;
    }

    /** The request's first byte is out: from now on an answer may come. */
    void sent() {
        sent = true;
    }

    boolean isSent() {
        return sent;
    }

    Errand errand() {
        return errand;
    }

    boolean complete() {
        return complete;
    }

    /** Whether its connection may serve another request. */
    boolean lasting() {
        return lasting;
    }

    Verdict verdict() {
        return verdict;
    }

    /** It must not be passed on: its status promises what is not proven, or it was too large to be held. */
    boolean withheld() {
        return withheld;
    }

    /** The whole answer, where it is one for clients; its bytes are the caller's. */
    Answer answer() {
        return !withheld && (verdict.fate() == Fate.SERVED || verdict.fate() == Fate.FAILED) ? answer : null;
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
        boolean bare = status == 204 || status == 304 || errand.parcel().head();
        Framing framing = Framing.of(head, bare);
        verdict = framing == Framing.NONE ? Verdict.JUNK : Verdict.of(errand.id(), status, head.headers());
        if (verdict.nameless() && reused && errand.careful()) {
            // Guards rule TWICE: a late one of the request before looks the same, and proves nothing of this one.
            verdict = Verdict.JUNK;
        }
        lasting &= HttpUtil.isKeepAlive(head)
                && !verdict.nameless()
                && !errand.parcel().head();
        skipping = verdict == Verdict.SURPLUS;
        if (skipping) {
            tally.surplus++;
            // Where one came, more may: no other request goes out here. And how long it is can't be told by the rules
            // of an answer to HEAD.
            lasting = false;
            return !errand.parcel().head() && ++ahead <= AHEAD_MOST;
        }
        answer =
                new Answer(status, head.status().reasonPhrase(), head.headers(), framing.length(), bare, errand.hold());
        withheld = verdict.promise();
        dropping = withheld || verdict.fate() != Fate.SERVED && verdict.fate() != Fate.FAILED;
        return verdict != Verdict.JUNK;
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
            flowing = verdict.fate() == Fate.SERVED && errand.flow(answer);
            if (!flowing) {
                // Nobody waits for it any more, or it is a failure; but to break the host's work off has a price.
                dropping = true;
                withheld = true;
                bytes.release();
                answer.drop();
                return true;
            }
            tally.streamed++;
        }
        return errand.more(bytes);
    }

    void drop() {
        if (answer != null) {
            answer.drop();
        }
    }
}
