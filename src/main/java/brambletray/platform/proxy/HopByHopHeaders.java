package brambletray.platform.proxy;

import io.netty.util.AsciiString;
import java.util.List;

/** Identifies hop-by-hop headers (RFC 9110, 7.6.1) and headers that the proxy replaces. */
final class HopByHopHeaders {
    private HopByHopHeaders() {}

    /** Whether a header is never passed on. Includes the body's length and coding, which are set per connection. */
    static boolean ofOneConnection(CharSequence name) {
        return switch (name.length()) {
            case 2 -> is(name, "te");
            case 7 -> is(name, "trailer") || is(name, "upgrade");
            case 10 -> is(name, "connection") || is(name, "keep-alive");
            case 14 -> is(name, "content-length");
            case 17 -> is(name, "transfer-encoding");
            case 16 -> is(name, "proxy-connection");
            case 18 -> is(name, "proxy-authenticate");
            case 19 -> is(name, "proxy-authorization");
            default -> false;
        };
    }

    /** Whether a request header is not copied: the proxy sets it itself, or has handled it ({@code Expect}). */
    static boolean setAnew(CharSequence name) {
        return switch (name.length()) {
            case 6 -> is(name, "expect");
            case 27 -> is(name, ClientRequest.TARGET);
            case 30 -> is(name, ClientRequest.REMAINING);
            default -> false;
        };
    }

    /**
     * Whether {@code Connection} lists this header. {@code Host} and the {@code brambletray-} headers cannot be removed
     * this way.
     */
    static boolean in(List<String> named, CharSequence name) {
        for (int i = 0; i < named.size(); i++) {
            if (AsciiString.contentEqualsIgnoreCase(named.get(i), name)) {
                return !is(name, "host") && !(name.length() > 12 && is(name.subSequence(0, 12), "brambletray-"));
            }
        }
        return false;
    }

    private static boolean is(CharSequence name, String lower) {
        return AsciiString.contentEqualsIgnoreCase(name, lower);
    }
}
