package brambletray.platform.settings;

/** An IPv4 address by its number, and a port. */
public record Address(String host, int port) {
    /** Reads {@code 10.1.0.3:8241}; {@link IllegalArgumentException} with what was expected. */
    public static Address parse(String text) {
        int colon = text.lastIndexOf(':');
        int port = colon < 0 ? -1 : digits(text, colon + 1, text.length(), 65_535);
        if (port < 1 || !dotted(text, colon)) {
            throw new IllegalArgumentException("an address such as 10.1.0.3:8241");
        }
        return new Address(text.substring(0, colon), port);
    }

    /**
     * Whether the first {@code end} characters are four numbers up to 255 with dots between them: no name is ever
     * looked up.
     */
    static boolean dotted(String text, int end) {
        int at = 0;
        for (int part = 0; part < 4; part++) {
            int dot = part == 3 ? end : text.indexOf('.', at);
            if (dot < 0 || dot > end || digits(text, at, dot, 255) < 0) {
                return false;
            }
            at = dot + 1;
        }
        return true;
    }

    private static int digits(String text, int from, int to, int most) {
        if (to <= from || to - from > 5) {
            return -1;
        }
        int value = 0;
        for (int i = from; i < to; i++) {
            char c = text.charAt(i);
            if (c < '0' || c > '9') {
                return -1;
            }
            value = value * 10 + c - '0';
        }
        return value > most ? -1 : value;
    }

    @Override
    public String toString() {
        return host + ':' + port;
    }
}
