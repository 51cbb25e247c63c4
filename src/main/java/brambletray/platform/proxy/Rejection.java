package brambletray.platform.proxy;

import brambletray.platform.configuration.ClientLimits;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import java.util.Iterator;

/**
 * Why a request is turned away before any route is looked for; its connection ends with the answer. {@code code}: as in
 * answers' bodies.
 */
record Rejection(int status, String code) {
    static final Rejection TOO_LARGE = new Rejection(413, "proxy.body-too-large");
    static final Rejection MEMORY_FULL = new Rejection(503, "proxy.memory-full");
    private static final Rejection MALFORMED = new Rejection(400, "proxy.malformed");
    private static final Rejection HEAD_TOO_LARGE = new Rejection(431, "proxy.head-too-large");
    private static final Rejection INVALID_BODY_LENGTH = new Rejection(400, "proxy.lengths");
    private static final Rejection INVALID_HOST = new Rejection(400, "proxy.host");
    private static final Rejection UNSUPPORTED_VERSION = new Rejection(505, "proxy.version");
    private static final Rejection INVALID_PATH = new Rejection(400, "proxy.path");

    /** What the decoder could not read. */
    static Rejection of(Throwable cause) {
        return cause instanceof TooLongHttpHeaderException || cause instanceof TooLongHttpLineException
                ? HEAD_TOO_LARGE
                : MALFORMED;
    }

    /** A head that could be read; null: go on. Guards rule UNASKED: hosts must see the same request that we do. */
    static Rejection of(HttpRequest request, ClientLimits limits) {
        if (!request.protocolVersion().equals(HttpVersion.HTTP_1_1)) {
            return UNSUPPORTED_VERSION;
        }
        HttpHeaders headers = request.headers();
        Iterator<?> hosts = headers.valueCharSequenceIterator(HttpHeaderNames.HOST);
        if (!hosts.hasNext() || ((CharSequence) hosts.next()).length() == 0 || hosts.hasNext()) {
            return INVALID_HOST;
        }
        Iterator<? extends CharSequence> encodings =
                headers.valueCharSequenceIterator(HttpHeaderNames.TRANSFER_ENCODING);
        if (encodings.hasNext()) {
            if (!"chunked".contentEquals(lower(encodings.next()))
                    || encodings.hasNext()
                    || headers.contains(HttpHeaderNames.CONTENT_LENGTH)) {
                return INVALID_BODY_LENGTH;
            }
        } else if (HttpUtil.getContentLength(request, 0L) > limits.maxBodyBytes()) {
            return TOO_LARGE;
        }
        return request.uri().startsWith("/") ? null : INVALID_PATH;
    }

    private static String lower(CharSequence text) {
        return text.toString().strip().toLowerCase(java.util.Locale.ROOT);
    }

    static String reason(int status) {
        return HttpResponseStatus.valueOf(status).reasonPhrase();
    }
}
