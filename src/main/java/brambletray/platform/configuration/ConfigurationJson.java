package brambletray.platform.configuration;

import com.dslplatform.json.DslJson;
import com.dslplatform.json.JsonReader;
import com.dslplatform.json.NumberConverter;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Parses a JSON body and records the position of each value. Unknown fields are stored as their original bytes, so that
 * a configuration is returned exactly as it was sent, including the notation of numbers.
 */
final class ConfigurationJson {
    /** Maximum size of a body in bytes. */
    static final int MAX_BODY_BYTES = 4 << 20;

    /** Created on first use, as creating the parser takes tens of milliseconds on a slow CPU core. */
    private static final class LazyParser {
        static final DslJson<Object> JSON = new DslJson<>(new DslJson.Settings<>()
                .unknownNumbers(JsonReader.UnknownNumberParsing.LONG_AND_BIGDECIMAL)
                .errorInfo(JsonReader.ErrorInfo.MINIMAL));
    }

    /**
     * A parsed value: {@code Map<String, Value>}, {@code List<Value>}, String, Long, BigDecimal, Boolean or null, with
     * its position in the body ({@code end} exclusive).
     */
    record Value(Object content, int start, int end) {
        byte[] bytesIn(byte[] body) {
            return Arrays.copyOfRange(body, start, end);
        }
    }

    private final byte[] body;
    /** Top-level field of which only the first is kept; null if each field may occur once. */
    private final String repeatableField;

    private final JsonReader<Object> reader;

    private ConfigurationJson(byte[] body, String repeatableField) {
        this.body = body;
        this.repeatableField = repeatableField;
        reader = LazyParser.JSON.newReader(body);
    }

    /** Parses the body. Throws {@link ConfigurationException} unless it is exactly one JSON object. */
    static Value parse(byte[] body) {
        return parseKeepingFirst(null, body);
    }

    /** The same, but if the top-level field {@code repeatable} occurs more than once, the first one is kept. */
    static Value parseKeepingFirst(String repeatable, byte[] body) {
        if (body.length > MAX_BODY_BYTES) {
            throw tooLarge(body.length);
        }
        JsonTextValidator.validate(body);
        ConfigurationJson json = new ConfigurationJson(body, repeatable);
        try {
            json.reader.getNextToken();
            Value value = json.parseValue("");
            if (!(value.content instanceof Map)) {
                throw new ConfigurationException("wrong-type", "", "expected an object");
            }
            for (int i = value.end; i < body.length; i++) {
                if (body[i] > ' ') {
                    throw new ConfigurationException(
                            "unreadable", "", "expected nothing after the object, found more at byte " + i);
                }
            }
            return value;
        } catch (IOException | NumberFormatException | ArithmeticException | IndexOutOfBoundsException e) {
            throw new ConfigurationException(
                    "unreadable",
                    "",
                    "expected whole JSON, malformed near byte " + json.reader.getCurrentIndex() + " of " + body.length,
                    e);
        }
    }

    static ConfigurationException tooLarge(long found) {
        return new ConfigurationException(
                "too-large", "", "expected at most " + MAX_BODY_BYTES + " bytes, found " + found);
    }

    private Value parseValue(String path) throws IOException {
        int start = reader.getCurrentIndex() - 1;
        Object content = switch (reader.last()) {
            case '{' -> parseObject(path);
            case '[' -> parseList(path);
            case '"' -> reader.readString();
            case 't' -> parseLiteral(reader.wasTrue(), Boolean.TRUE);
            case 'f' -> parseLiteral(reader.wasFalse(), Boolean.FALSE);
            case 'n' -> parseLiteral(reader.wasNull(), null);
            default -> NumberConverter.deserializeNumber(reader);
        };
        int end = reader.getCurrentIndex();
        while (body[end - 1] <= ' ' && body[end - 1] >= 0) {
            end--;
        }
        if (content instanceof Number) {
            JsonTextValidator.validateNumber(body, start, end);
        }
        return new Value(content, start, end);
    }

    private Boolean parseLiteral(boolean matched, Boolean value) throws IOException {
        if (!matched) {
            throw reader.newParseError("Expected a value");
        }
        return value;
    }

    private Map<String, Value> parseObject(String path) throws IOException {
        Map<String, Value> fields = new LinkedHashMap<>();
        if (reader.getNextToken() == '}') {
            return fields;
        }
        while (true) {
            if (reader.last() != '"') {
                throw reader.newParseError("Expected a name");
            }
            String name = reader.readString();
            if (reader.getNextToken() != ':') {
                throw reader.newParseError("Expected ':'");
            }
            reader.getNextToken();
            String field = path.isEmpty() ? abbreviate(name) : path;
            boolean isRepeatable = path.isEmpty() && name.equals(repeatableField);
            if (fields.putIfAbsent(name, parseValue(field)) != null && !isRepeatable) {
                throw new ConfigurationException(
                        "duplicate-field",
                        field,
                        "expected each field once, found " + abbreviate(name) + " twice near byte "
                                + reader.getCurrentIndex());
            }
            byte next = reader.getNextToken();
            if (next == '}') {
                return fields;
            }
            if (next != ',') {
                throw reader.newParseError("Expected ',' or '}'");
            }
            reader.getNextToken();
        }
    }

    private List<Value> parseList(String path) throws IOException {
        List<Value> items = new ArrayList<>();
        if (reader.getNextToken() == ']') {
            return items;
        }
        while (true) {
            items.add(parseValue(path));
            byte next = reader.getNextToken();
            if (next == ']') {
                return items;
            }
            if (next != ',') {
                throw reader.newParseError("Expected ',' or ']'");
            }
            reader.getNextToken();
        }
    }

    /** Truncates external text for use in error messages. */
    static String abbreviate(String text) {
        return text.length() > 60 ? text.substring(0, 60) + "..." : text;
    }
}
