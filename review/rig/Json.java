import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads and writes JSON as far as the stand-ins need it. */
final class Json {
    private final String text;
    private int at;

    private Json(String text) {
        this.text = text;
    }

    /** Parses a value; throws IllegalArgumentException if the text is not JSON. */
    static Object parse(String text) {
        Json json = new Json(text);
        Object value = json.value();
        json.space();
        if (json.at != text.length()) {
            throw new IllegalArgumentException("text after the value at " + json.at);
        }
        return value;
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> object(String text) {
        return (Map<String, Object>) parse(text);
    }

    private void space() {
        while (at < text.length() && Character.isWhitespace(text.charAt(at))) {
            at++;
        }
    }

    private char next() {
        space();
        if (at >= text.length()) {
            throw new IllegalArgumentException("the text ends early");
        }
        return text.charAt(at);
    }

    private void expect(String word) {
        if (!text.startsWith(word, at)) {
            throw new IllegalArgumentException("expected " + word + " at " + at);
        }
        at += word.length();
    }

    private Object value() {
        char c = next();
        if (c == '{') {
            Map<String, Object> map = new LinkedHashMap<>();
            at++;
            while (next() != '}') {
                String name = string();
                next();
                expect(":");
                map.put(name, value());
                if (next() == ',') {
                    at++;
                }
            }
            at++;
            return map;
        }
        if (c == '[') {
            List<Object> list = new ArrayList<>();
            at++;
            while (next() != ']') {
                list.add(value());
                if (next() == ',') {
                    at++;
                }
            }
            at++;
            return list;
        }
        if (c == '"') {
            return string();
        }
        if (c == 't') {
            expect("true");
            return true;
        }
        if (c == 'f') {
            expect("false");
            return false;
        }
        if (c == 'n') {
            expect("null");
            return null;
        }
        int from = at;
        while (at < text.length() && "+-.eE0123456789".indexOf(text.charAt(at)) >= 0) {
            at++;
        }
        return Double.parseDouble(text.substring(from, at));
    }

    private String string() {
        next();
        expect("\"");
        StringBuilder out = new StringBuilder();
        while (text.charAt(at) != '"') {
            char c = text.charAt(at++);
            if (c == '\\') {
                char escaped = text.charAt(at++);
                switch (escaped) {
                    case 'n' -> out.append('\n');
                    case 't' -> out.append('\t');
                    case 'r' -> out.append('\r');
                    case 'b' -> out.append('\b');
                    case 'f' -> out.append('\f');
                    case 'u' -> {
                        out.append((char) Integer.parseInt(text.substring(at, at + 4), 16));
                        at += 4;
                    }
                    default -> out.append(escaped);
                }
            } else {
                out.append(c);
            }
        }
        at++;
        return out.toString();
    }

    /** Writes maps, lists, texts, numbers, booleans and null. */
    static String write(Object value) {
        StringBuilder out = new StringBuilder();
        write(value, out);
        return out.toString();
    }

    private static void write(Object value, StringBuilder out) {
        if (value instanceof Map<?, ?> map) {
            char before = '{';
            for (Map.Entry<?, ?> entry : map.entrySet()) {
                out.append(before);
                write(entry.getKey(), out);
                out.append(':');
                write(entry.getValue(), out);
                before = ',';
            }
            out.append(before == '{' ? "{}" : "}");
        } else if (value instanceof List<?> list) {
            char before = '[';
            for (Object item : list) {
                out.append(before);
                write(item, out);
                before = ',';
            }
            out.append(before == '[' ? "[]" : "]");
        } else if (value instanceof String text) {
            out.append('"').append(text.replace("\\", "\\\\").replace("\"", "\\\"")).append('"');
        } else if (value instanceof Double number && number == Math.rint(number)) {
            out.append(number.longValue());
        } else {
            out.append(value);
        }
    }
}
