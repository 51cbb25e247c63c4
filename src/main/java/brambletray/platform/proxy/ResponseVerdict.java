package brambletray.platform.proxy;

import brambletray.platform.admission.AttemptOutcome;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Iterator;

/**
 * What the head of a response means once the response is complete (rules MIXED, TWICE, REFUSED).
 *
 * <p>{@code fate}: null for a surplus response, which belongs to another request and is skipped. {@code promise}: the
 * status promises that the request did not run, without proof. {@code nameless}: it carries no request id, so further
 * responses on its connection cannot be told apart.
 */
record ResponseVerdict(AttemptOutcome outcome, boolean unprovenRefusal, boolean withoutId) {
    static final ResponseVerdict SURPLUS = new ResponseVerdict(null, false, false);
    static final ResponseVerdict INVALID = new ResponseVerdict(AttemptOutcome.BROKEN, false, false);
    private static final ResponseVerdict SERVED = new ResponseVerdict(AttemptOutcome.SERVED, false, false);
    private static final ResponseVerdict FAILED = new ResponseVerdict(AttemptOutcome.FAILED, false, false);
    private static final ResponseVerdict UNPROVEN_REFUSAL = new ResponseVerdict(AttemptOutcome.FAILED, true, false);
    private static final ResponseVerdict NOT_RUN = new ResponseVerdict(AttemptOutcome.NOT_RUN, false, false);
    private static final ResponseVerdict WRONG_HOST = new ResponseVerdict(AttemptOutcome.WRONG_HOST, false, false);
    private static final ResponseVerdict NOT_RUN_WITHOUT_ID = new ResponseVerdict(AttemptOutcome.NOT_RUN, false, true);
    private static final ResponseVerdict WRONG_HOST_WITHOUT_ID =
            new ResponseVerdict(AttemptOutcome.WRONG_HOST, false, true);

    /** The highest status that HTTP has. */
    private static final int MAX_STATUS = 599;

    /** For a log line: the id that an invalid response carries. */
    static String describe(int status, HttpHeaders headers) {
        return "status " + status + (headers.contains(ClientRequest.ID) ? "" : ", no id")
                + (headers.contains(ClientRequest.SEAL) ? "" : ", no seal")
                + (headers.contains(ClientRequest.NOT_EXECUTED) ? ", not executed" : "")
                + (headers.contains(HttpHeaderNames.CONTENT_ENCODING) ? ", encoded" : "")
                + (headers.contains(HttpHeaderNames.CONTENT_LENGTH)
                                || headers.contains(HttpHeaderNames.TRANSFER_ENCODING)
                        ? ""
                        : ", no length");
    }

    /** {@code requestId}: of the request that the connection is at. */
    static ResponseVerdict of(String requestId, int status, HttpHeaders headers) {
        Iterator<? extends CharSequence> ids = headers.valueCharSequenceIterator(ClientRequest.ID);
        boolean nameless = !ids.hasNext();
        if (!nameless) {
            if (!requestId.contentEquals(ids.next())) {
                return SURPLUS;
            }
            if (ids.hasNext()) {
                return INVALID;
            }
        }
        if (status > MAX_STATUS) {
            // Guards clients against a status that is none: of four digits they may read three.
            return INVALID;
        }
        if (status == 421) {
            return nameless ? WRONG_HOST_WITHOUT_ID : WRONG_HOST;
        }
        if (headers.contains(ClientRequest.NOT_EXECUTED)) {
            return status < 400 ? INVALID : nameless ? NOT_RUN_WITHOUT_ID : NOT_RUN;
        }
        if (nameless) {
            return INVALID;
        }
        if (status / 100 == 2) {
            return headers.contains(ClientRequest.SEAL) && !headers.contains(HttpHeaderNames.CONTENT_ENCODING)
                    ? SERVED
                    : INVALID;
        }
        if (status == 503 || status == 429 || status == 408) {
            return UNPROVEN_REFUSAL;
        }
        return status >= 500 ? FAILED : SERVED;
    }
}
