package brambletray.platform.settings;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The fields of one settings file by name, each parsed to its type or rejected with its line number. */
final class SettingsFields {
    /** Bytes; a file beyond it isn't one of settings. */
    private static final long MAX_FILE_BYTES = 1 << 20;

    private final String file;
    private final Map<String, String> values = new LinkedHashMap<>();
    private final Map<String, Integer> lines = new HashMap<>();

    private SettingsFields(String file) {
        this.file = file;
    }

    static SettingsFields read(Path path) {
        try {
            if (Files.size(path) > MAX_FILE_BYTES) {
                throw new SettingsException(
                        "settings.unreadable",
                        path + ": larger than " + MAX_FILE_BYTES + " bytes, expected a settings file",
                        null);
            }
            return parse(path.toString(), Files.readString(path, StandardCharsets.UTF_8));
        } catch (IOException e) {
            throw new SettingsException(
                    "settings.unreadable",
                    path + ": can't be read (" + e.getClass().getSimpleName()
                            + "), expected a settings file with lines a.b=value",
                    e);
        }
    }

    /**
     * Line by line, each with its number for the messages; {@code #} begins a comment line, no line continues in the
     * next.
     */
    static SettingsFields parse(String file, String text) {
        SettingsFields read = new SettingsFields(file);
        int number = 0;
        int from = 0;
        while (from < text.length()) {
            int end = text.indexOf('\n', from);
            String line = text.substring(from, end < 0 ? text.length() : end).strip();
            from = end < 0 ? text.length() : end + 1;
            number++;
            if (line.isEmpty() || line.charAt(0) == '#') {
                continue;
            }
            int equals = line.indexOf('=');
            if (equals < 1) {
                throw new SettingsException("settings.bad-line", file + ':' + number + ": expected a.b=value", null);
            }
            read.put(
                    line.substring(0, equals).strip(),
                    line.substring(equals + 1).strip(),
                    number);
        }
        return read;
    }

    private void put(String field, String value, int number) {
        Integer former = lines.put(field, number);
        if (former != null) {
            throw new SettingsException(
                    "settings.twice",
                    file + ':' + number + ": " + field + ": expected once, stands in line " + former + " too",
                    null);
        }
        values.put(field, value);
    }

    private SettingsException invalid(String field, String expected) {
        String value = values.get(field);
        return new SettingsException(
                "settings.bad-field",
                file + ':' + lines.get(field) + ": " + field + ": expected " + expected + ", found '"
                        + (value.length() > 60 ? value.substring(0, 60) + "..." : value) + "'",
                null);
    }

    /** A field that must be there. */
    String require(String field) {
        String value = values.get(field);
        if (value == null) {
            throw new SettingsException(
                    "settings.missing", file + ": " + field + ": expected in the file, is missing", null);
        }
        if (value.isEmpty()) {
            throw invalid(field, "a value");
        }
        return value;
    }

    String text(String field, String defaultValue) {
        String value = values.get(field);
        return value == null || value.isEmpty() ? defaultValue : value;
    }

    /** A number of at least 0; fractions of it are refused, a trailing {@code .0} is not. */
    int nonNegativeInt(String field, int defaultValue) {
        double value = nonNegativeDouble(field, defaultValue);
        if (value != Math.rint(value) || value > Integer.MAX_VALUE) {
            throw invalid(field, "a whole number up to " + Integer.MAX_VALUE);
        }
        return (int) value;
    }

    /** The same, where 0 makes no sense. */
    int positiveInt(String field, int defaultValue) {
        int value = nonNegativeInt(field, defaultValue);
        if (value == 0) {
            throw invalid(field, "a whole number above 0");
        }
        return value;
    }

    /** A number of at least 0. */
    double nonNegativeDouble(String field, double defaultValue) {
        String value = text(field, null);
        if (value == null) {
            return defaultValue;
        }
        double number;
        try {
            number = Double.parseDouble(value);
        } catch (NumberFormatException e) {
            throw invalid(field, "a number of at least 0");
        }
        if (!(number >= 0) || Double.isInfinite(number)) {
            throw invalid(field, "a number of at least 0");
        }
        return number;
    }

    boolean flag(String field, boolean defaultValue) {
        String value = text(field, null);
        if (value == null) {
            return defaultValue;
        }
        if (!value.equals("true") && !value.equals("false")) {
            throw invalid(field, "true or false");
        }
        return value.equals("true");
    }

    /** The items between commas, without empty ones. */
    List<String> list(String field) {
        List<String> items = new ArrayList<>();
        for (String item : text(field, "").split(",")) {
            if (!item.isBlank()) {
                items.add(item.strip());
            }
        }
        return items;
    }

    Set<String> set(String field) {
        return new LinkedHashSet<>(list(field));
    }

    /** An address; null where the field is missing. */
    Address address(String field) {
        List<Address> all = addresses(field);
        if (all.size() > 1) {
            throw invalid(field, "one address");
        }
        return all.isEmpty() ? null : all.get(0);
    }

    List<Address> addresses(String field) {
        List<Address> all = new ArrayList<>();
        for (String item : list(field)) {
            try {
                all.add(Address.parse(item));
            } catch (IllegalArgumentException e) {
                throw invalid(field, e.getMessage());
            }
        }
        return List.copyOf(all);
    }

    /** The number of an IPv4 address. */
    String ip(String field) {
        String value = require(field);
        if (!Address.dotted(value, value.length())) {
            throw invalid(field, "an address such as 10.1.0.3");
        }
        return value;
    }

    /** Two ports with a comma between them, the lower one first; {0, 0} where the field is missing. */
    int[] ports(String field) {
        List<String> items = list(field);
        if (items.isEmpty()) {
            return new int[2];
        }
        int[] ports = new int[2];
        try {
            ports[0] = Integer.parseInt(items.get(0));
            ports[1] = Integer.parseInt(items.get(items.size() - 1));
        } catch (NumberFormatException e) {
            ports[0] = 0;
        }
        if (items.size() != 2 || ports[0] < 1 || ports[1] > 65_535 || ports[0] > ports[1]) {
            throw invalid(field, "two ports from 1 to 65535, the lower one first");
        }
        return ports;
    }

    /** What stands behind the dot after {@code head}, and its values. */
    Map<String, String> valuesBelow(String head) {
        Map<String, String> found = new LinkedHashMap<>();
        String start = head + '.';
        for (Map.Entry<String, String> e : values.entrySet()) {
            if (e.getKey().startsWith(start)) {
                found.put(e.getKey().substring(start.length()), e.getValue());
            }
        }
        return found;
    }

    Path path(String field) {
        String value = text(field, null);
        if (value == null) {
            return null;
        }
        Path path = Path.of(value);
        if (!path.isAbsolute()) {
            throw invalid(field, "a folder's full path");
        }
        return path;
    }
}
