package brambletray.platform.proxy;

import io.netty.util.AsciiString;
import java.util.List;

/** Identifies hop-by-hop headers (RFC 9110, 7.6.1) and headers that the proxy replaces. */
final class HopByHopHeaders {
    private HopByHopHeaders() {}

    /** Whether a header is never passed on. Includes the body's length and coding, which are set per connection. */
    static boolean isHopByHop(CharSequence name) {
        return switch (name.length()) {
            case 2 -> equalsIgnoreCase(name, "te");
            case 7 -> equalsIgnoreCase(name, "trailer") || equalsIgnoreCase(name, "upgrade");
            case 10 -> equalsIgnoreCase(name, "connection") || equalsIgnoreCase(name, "keep-alive");
            case 14 -> equalsIgnoreCase(name, "content-length");
            case 17 -> equalsIgnoreCase(name, "transfer-encoding");
            case 16 -> equalsIgnoreCase(name, "proxy-connection");
            case 18 -> equalsIgnoreCase(name, "proxy-authenticate");
            case 19 -> equalsIgnoreCase(name, "proxy-authorization");
            default -> false;
        };
    }

    /** Whether a request header is not copied: the proxy sets it itself, or has handled it ({@code Expect}). */
    static boolean isReplaced(CharSequence name) {
        return switch (name.length()) {
            case 6 -> equalsIgnoreCase(name, "expect");
            case 27 -> equalsIgnoreCase(name, ClientRequest.TARGET);
            case 30 -> equalsIgnoreCase(name, ClientRequest.REMAINING);
            default -> false;
        };
    }

    /**
     * Whether {@code Connection} lists this header. {@code Host} and the {@code brambletray-} headers cannot be removed
     * this way.
     */
    static boolean isNamedByConnection(List<String> named, CharSequence name) {
        for (int i = 0; i < named.size(); i++) {
            if (AsciiString.contentEqualsIgnoreCase(named.get(i), name)) {
                return !equalsIgnoreCase(name, "host")
                        && !(name.length() > 12 && equalsIgnoreCase(name.subSequence(0, 12), "brambletray-"));
            }
        }
        return false;
    }

    private static boolean equalsIgnoreCase(CharSequence name, String lower) {
        return AsciiString.contentEqualsIgnoreCase(name, lower);
    }
}
