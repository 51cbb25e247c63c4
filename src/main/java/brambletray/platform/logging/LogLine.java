package brambletray.platform.logging;

/** The inside of a log line, without the braces: {@code "event":...}, then each field. */
final class LogLine {
    /** How each line of this project begins; lines of libraries do not. */
    static final String LINE_START = "\"event\":\"";
    /** Characters of one text; longer ones are cut. */
    static final int MAX_TEXT_LENGTH = 2_000;

    private LogLine() {}

    /** Begins a line with the event's name. */
    static StringBuilder begin(String event) {
        StringBuilder line = new StringBuilder(96);
        appendEvent(line, event);
        return line;
    }

    static void appendEvent(StringBuilder line, String event) {
        line.append("\"event\":");
        quote(line, event);
    }

    static void appendField(StringBuilder line, String name, Object value) {
        line.append(',');
        quote(line, name);
        line.append(':');
        if (value == null
                || value instanceof Boolean
                || value instanceof Number number && Double.isFinite(number.doubleValue())) {
            line.append(value);
        } else {
            quote(line, value.toString());
        }
    }

    /** The event of a line that {@link #begin} has begun, quoted as it stands there. */
    static String event(String line) {
        int end = LINE_START.length();
        while (line.charAt(end) != '"') {
            end += line.charAt(end) == '\\' ? 2 : 1;
        }
        return line.substring(LINE_START.length(), end);
    }

    static void quote(StringBuilder out, String text) {
        int end = Math.min(text.length(), MAX_TEXT_LENGTH);
        out.append('"');
        for (int i = 0; i < end; i++) {
            char c = text.charAt(i);
            if (c == '"' || c == '\\') {
                out.append('\\').append(c);
            } else if (c < ' ') {
                out.append("\\u00").append(Character.forDigit(c >> 4, 16)).append(Character.forDigit(c & 15, 16));
            } else {
                out.append(c);
            }
        }
        out.append(end < text.length() ? "...\"" : "\"");
    }
}
