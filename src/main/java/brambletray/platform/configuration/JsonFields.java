package brambletray.platform.configuration;

import java.math.BigDecimal;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Typed access to the fields of one JSON object; errors name the field by its path. */
final class JsonFields {
    private final String path;
    private final Map<String, ConfigurationJson.Value> map;

    private JsonFields(String path, Map<String, ConfigurationJson.Value> map) {
        this.path = path;
        this.map = map;
    }

    /** The fields of the object {@code content}, located at {@code path}. */
    @SuppressWarnings("unchecked")
    static JsonFields from(String path, Object content) {
        if (!(content instanceof Map)) {
            throw new ConfigurationException("wrong-type", path, "expected an object");
        }
        return new JsonFields(path, (Map<String, ConfigurationJson.Value>) content);
    }

    /** The same fields with another path for error messages, such as one with the item's name for its index. */
    JsonFields withPath(String path) {
        return new JsonFields(path, map);
    }

    JsonFields objectAt(String field, Object content) {
        return from(pathOf(field), content);
    }

    JsonFields object(String field) {
        return objectAt(field, value(field));
    }

    Set<String> fieldNames() {
        return map.keySet();
    }

    boolean has(String field) {
        return value(field) != null;
    }

    /** The value of a field, or null if it is missing or JSON null. */
    Object value(String field) {
        ConfigurationJson.Value value = map.get(field);
        return value == null ? null : value.content();
    }

    ConfigurationJson.Value rawValue(String field) {
        return map.get(field);
    }

    private String pathOf(String field) {
        return path.isEmpty() ? field : path + '.' + field;
    }

    ConfigurationException error(String code, String field, String reason) {
        return new ConfigurationException(code, pathOf(field), reason);
    }

    String requiredName() {
        return requiredText("name");
    }

    /** A non-empty string; an error if the field is missing. */
    String requiredText(String field) {
        String text = text(field);
        if (text == null || text.isEmpty()) {
            throw error("missing", field, "expected a text, is missing");
        }
        return text;
    }

    String text(String field) {
        Object value = value(field);
        if (value != null && !(value instanceof String)) {
            throw error("wrong-type", field, "expected a text");
        }
        return (String) value;
    }

    /** A list with elements of any type, or null if the field is missing. */
    @SuppressWarnings("unchecked")
    List<ConfigurationJson.Value> list(String field) {
        Object value = value(field);
        if (value != null && !(value instanceof List)) {
            throw error("wrong-type", field, "expected a list");
        }
        return (List<ConfigurationJson.Value>) value;
    }

    int intOrDefault(String field, int min, int defaultValue) {
        return has(field) ? (int) requiredLong(field, min, Integer.MAX_VALUE) : defaultValue;
    }

    /** A whole number from {@code min} to {@code max}; 2500.0 counts as whole. */
    long requiredLong(String field, long min, long max) {
        Object value = value(field);
        if (value == null) {
            throw error("missing", field, "expected a number, is missing");
        }
        if (!(value instanceof Number)) {
            throw error("wrong-type", field, "expected a number");
        }
        long number;
        if (value instanceof Long small) {
            number = small;
        } else {
            try {
                number = ((BigDecimal) value).longValueExact();
            } catch (ArithmeticException e) {
                throw error("out-of-range", field, "expected a whole number from " + min + " to " + max);
            }
        }
        if (number < min || number > max) {
            throw error(
                    "out-of-range", field, "expected a whole number from " + min + " to " + max + ", found " + number);
        }
        return number;
    }

    boolean booleanOrDefault(String field, boolean defaultValue) {
        Object value = value(field);
        if (value != null && !(value instanceof Boolean)) {
            throw error("wrong-type", field, "expected true or false");
        }
        return value == null ? defaultValue : (Boolean) value;
    }

    /** A number of at least 0. */
    double nonNegativeDouble(String field, double defaultValue) {
        Object value = value(field);
        if (value == null) {
            return defaultValue;
        }
        if (!(value instanceof Number number)) {
            throw error("wrong-type", field, "expected a number");
        }
        double parsed = number.doubleValue();
        if (!(parsed >= 0) || Double.isInfinite(parsed)) {
            throw error("out-of-range", field, "expected a number of at least 0");
        }
        return parsed;
    }
}
