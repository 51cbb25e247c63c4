package brambletray.platform.logging;

/** The inside of a log line: {@code "event":..., then each fact}, without the braces. */
final class LogLine {
    /** What each line of ours begins with. */
    static final String START = "\"event\":\"";
    /** Characters of one text; longer ones are cut. */
    static final int LONGEST = 2_000;

    private LogLine() {}

    static String of(String event, Object... facts) {
        return facts(new StringBuilder(96), event, facts).toString();
    }

    static StringBuilder facts(StringBuilder line, String event, Object... facts) {
        line.append("\"event\":");
        quote(line, event);
        for (int i = 0; i + 1 < facts.length; i += 2) {
            line.append(',');
            quote(line, String.valueOf(facts[i]));
            line.append(':');
            Object value = facts[i + 1];
            if (value == null
                    || value instanceof Boolean
                    || value instanceof Number number && Double.isFinite(number.doubleValue())) {
                line.append(value);
            } else {
                quote(line, value.toString());
            }
        }
        return line;
    }

    /** The event of a line that {@link #of} made, as it stands there. */
    static String event(String line) {
        int end = START.length();
        while (line.charAt(end) != '"') {
            end += line.charAt(end) == '\\' ? 2 : 1;
        }
        return line.substring(START.length(), end);
    }

    static void quote(StringBuilder out, String text) {
        int end = Math.min(text.length(), LONGEST);
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
