package brambletray.platform.configuration;

import java.math.BigDecimal;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The fields of one object, each read as what it should be; faults say which, and where. */
final class JsonFields {
    private final String at;
    private final Map<String, ConfigurationJson.Value> map;

    private JsonFields(String at, Map<String, ConfigurationJson.Value> map) {
        this.at = at;
        this.map = map;
    }

    /** The fields of this value, which stands at {@code at}. */
    @SuppressWarnings("unchecked")
    static JsonFields from(String at, Object plain) {
        if (!(plain instanceof Map)) {
            throw new ConfigurationException("wrong-type", at, "expected an object");
        }
        return new JsonFields(at, (Map<String, ConfigurationJson.Value>) plain);
    }

    /** The same fields, under a better name. */
    JsonFields at(String where) {
        return new JsonFields(where, map);
    }

    JsonFields of(String field, Object plain) {
        return from(path(field), plain);
    }

    JsonFields below(String field) {
        return of(field, value(field));
    }

    Set<String> names() {
        return map.keySet();
    }

    boolean has(String field) {
        return value(field) != null;
    }

    /** Null: missing, or null. */
    Object value(String field) {
        ConfigurationJson.Value value = map.get(field);
        return value == null ? null : value.plain();
    }

    ConfigurationJson.Value raw(String field) {
        return map.get(field);
    }

    private String path(String field) {
        return at.isEmpty() ? field : at + '.' + field;
    }

    ConfigurationException fault(String code, String field, String reason) {
        return new ConfigurationException(code, path(field), reason);
    }

    String name() {
        return need("name");
    }

    /** A text that must be there. */
    String need(String field) {
        String text = text(field);
        if (text == null || text.isEmpty()) {
            throw fault("missing", field, "expected a text, is missing");
        }
        return text;
    }

    String text(String field) {
        Object value = value(field);
        if (value != null && !(value instanceof String)) {
            throw fault("wrong-type", field, "expected a text");
        }
        return (String) value;
    }

    /** A list of anything; null where it is missing. */
    @SuppressWarnings("unchecked")
    List<ConfigurationJson.Value> list(String field) {
        Object value = value(field);
        if (value != null && !(value instanceof List)) {
            throw fault("wrong-type", field, "expected a list");
        }
        return (List<ConfigurationJson.Value>) value;
    }

    int whole(String field, int least, int otherwise) {
        return has(field) ? (int) number(field, least, Integer.MAX_VALUE) : otherwise;
    }

    /** A whole number from least to most; 2500.0 is one, too. */
    long number(String field, long least, long most) {
        Object value = value(field);
        if (value == null) {
            throw fault("missing", field, "expected a number, is missing");
        }
        if (!(value instanceof Number)) {
            throw fault("wrong-type", field, "expected a number");
        }
        long number;
        if (value instanceof Long small) {
            number = small;
        } else {
            try {
                number = ((BigDecimal) value).longValueExact();
            } catch (ArithmeticException e) {
                throw fault("out-of-range", field, "expected a whole number from " + least + " to " + most);
            }
        }
        if (number < least || number > most) {
            throw fault(
                    "out-of-range",
                    field,
                    "expected a whole number from " + least + " to " + most + ", found " + number);
        }
        return number;
    }

    /** A number of at least 0. */
    double real(String field, double otherwise) {
        Object value = value(field);
        if (value == null) {
            return otherwise;
        }
        if (!(value instanceof Number number)) {
            throw fault("wrong-type", field, "expected a number");
        }
        double real = number.doubleValue();
        if (!(real >= 0) || Double.isInfinite(real)) {
            throw fault("out-of-range", field, "expected a number of at least 0");
        }
        return real;
    }
}
