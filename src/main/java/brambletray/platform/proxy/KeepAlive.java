package brambletray.platform.proxy;

/** Parses the {@code Keep-Alive} header, by which a host states how long it keeps an idle connection open. */
final class KeepAlive {
    private static final int MAX_SECONDS = 3_600;
    private static final int MARGIN_MS = 1_000;

    private KeepAlive() {}

    /** The timeout in seconds, 5 for {@code timeout=5, max=100}; -1 if not stated. */
    static int timeoutSeconds(String value) {
        int at = value == null ? -1 : value.indexOf("timeout=");
        if (at < 0) {
            return -1;
        }
        int seconds = 0;
        int from = at + 8;
        int to = from;
        while (to < value.length() && to - from < 5 && Character.isDigit(value.charAt(to))) {
            seconds = seconds * 10 + value.charAt(to++) - '0';
        }
        return to == from ? -1 : seconds;
    }

    /**
     * How long a connection may be idle and still be reused, in ms. The last quarter of the timeout, at most one
     * second, is a safety margin because the host may close the connection around that time.
     */
    static int usableMs(int seconds) {
        int ms = Math.min(seconds, MAX_SECONDS) * 1_000;
        return ms - Math.min(MARGIN_MS, ms / 4);
    }
}
