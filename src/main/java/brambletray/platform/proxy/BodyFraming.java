package brambletray.platform.proxy;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.util.Iterator;

/**
 * How the end of a host's answer is told (RFC 9112, 6.3). {@code length}: bytes; -1: in chunks, or no body follows and
 * none was said.
 *
 * <p>The decoder has refused two lengths, and a length with chunks, already.
 */
record BodyFraming(long length) {
    /** Its end can't be told from a connection that broke off, or can be read in two ways: no answer (rule MIXED). */
    static final BodyFraming NONE = new BodyFraming(Long.MIN_VALUE);

    private static final BodyFraming CHUNKS = new BodyFraming(-1);

    /** {@code bare}: no body follows, whatever the headers say. */
    static BodyFraming of(HttpResponse head, boolean bare) {
        HttpVersion version = head.protocolVersion();
        if (!version.equals(HttpVersion.HTTP_1_1) && !version.equals(HttpVersion.HTTP_1_0)) {
            return NONE;
        }
        HttpHeaders headers = head.headers();
        Iterator<? extends CharSequence> codings = headers.valueCharSequenceIterator(HttpHeaderNames.TRANSFER_ENCODING);
        if (codings.hasNext()) {
            boolean chunks = codings.next().toString().strip().equalsIgnoreCase("chunked") && !codings.hasNext();
            return chunks && version.equals(HttpVersion.HTTP_1_1) ? CHUNKS : NONE;
        }
        long length = HttpUtil.getContentLength(head, -1L);
        return length < 0 && !bare ? NONE : new BodyFraming(length);
    }
}
