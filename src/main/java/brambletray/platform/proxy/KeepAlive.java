package brambletray.platform.proxy;

/** Parses the time for which a host keeps an idle connection open, in whole seconds if stated. */
final class KeepAlive {
    private static final int MAX_SECONDS = 3_600;
    private static final int MARGIN_MS = 1_000;

    private KeepAlive() {}

    /** The seconds of {@code timeout=5, max=100}; -1: not stated. */
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
     * How long of these seconds a connection may be idle and used again, ms: the last quarter, a second at most, is
     * left to the host.
     */
    static int usableMs(int seconds) {
        int ms = Math.min(seconds, MAX_SECONDS) * 1_000;
        return ms - Math.min(MARGIN_MS, ms / 4);
    }
}
