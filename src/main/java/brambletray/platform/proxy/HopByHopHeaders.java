package brambletray.platform.proxy;

import io.netty.util.AsciiString;
import java.util.List;

/** Which headers belong to one connection only (RFC 9110, 7.6.1). */
final class HopByHopHeaders {
    private HopByHopHeaders() {}

    /** Never passed on; lengths are among them, as they are set anew. */
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

    /** In a request: said to the host by us, and 100-continue, which is done with. */
    static boolean isReplaced(CharSequence name) {
        return switch (name.length()) {
            case 6 -> equalsIgnoreCase(name, "expect");
            case 27 -> equalsIgnoreCase(name, ClientRequest.TARGET);
            case 30 -> equalsIgnoreCase(name, ClientRequest.REMAINING);
            default -> false;
        };
    }

    /** Whether Connection names this header; the system's own and Host can't be taken away so. */
    static boolean isNamedByConnection(List<String> named, CharSequence name) {
        for (int i = 0; i < named.size(); i++) {
            if (AsciiString.contentEqualsIgnoreCase(named.get(i), name)) {
                return !equalsIgnoreCase(name, "host") && !(name.length() > 12 && equalsIgnoreCase(name.subSequence(0, 12), "brambletray-"));
            }
        }
        return false;
    }

    private static boolean equalsIgnoreCase(CharSequence name, String lower) {
        return AsciiString.contentEqualsIgnoreCase(name, lower);
    }
}
