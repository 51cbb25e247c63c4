package brambletray.platform.proxy;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.util.Iterator;

/**
 * How the end of a response is found (RFC 9112, 6.3). {@code length}: bytes; -1: chunked, or no body follows and no
 * length was stated.
 *
 * <p>The decoder has already rejected two lengths, and a length together with chunks.
 */
record BodyFraming(long length) {
    /**
     * Its end cannot be told from a broken connection, or can be read in two ways: not a valid response (rule MIXED).
     */
    static final BodyFraming INVALID = new BodyFraming(Long.MIN_VALUE);

    private static final BodyFraming CHUNKED = new BodyFraming(-1);

    /** {@code bare}: no body follows, whatever the headers say. */
    static BodyFraming of(HttpResponse head, boolean bare) {
        HttpVersion version = head.protocolVersion();
        if (!version.equals(HttpVersion.HTTP_1_1) && !version.equals(HttpVersion.HTTP_1_0)) {
            return INVALID;
        }
        HttpHeaders headers = head.headers();
        Iterator<? extends CharSequence> codings = headers.valueCharSequenceIterator(HttpHeaderNames.TRANSFER_ENCODING);
        if (codings.hasNext()) {
            boolean chunks = codings.next().toString().strip().equalsIgnoreCase("chunked") && !codings.hasNext();
            return chunks && version.equals(HttpVersion.HTTP_1_1) ? CHUNKED : INVALID;
        }
        long length = HttpUtil.getContentLength(head, -1L);
        return length < 0 && !bare ? INVALID : new BodyFraming(length);
    }
}
