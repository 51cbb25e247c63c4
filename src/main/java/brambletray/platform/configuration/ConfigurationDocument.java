package brambletray.platform.configuration;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The raw JSON of a configuration, split into entries: each named item of a list (a table) is an entry, and so is each
 * other top-level field. Named items can thus be replaced while all other fields, known or unknown, are preserved. The
 * revision is not part of it: {@link #json} writes it beside the entries. Not modified once a {@link Configuration}
 * holds it.
 */
final class ConfigurationDocument {
    static final String ROUTES = "routes";
    static final String SERVICES = "services";
    static final String TENANTS = "tenants";
    static final String REVISION = "revision";

    /** The key of an entry; {@code table} is empty for a top-level field that is not a table. */
    record Key(String table, String name) {}

    private static final String TOP_LEVEL = "";

    private final Map<String, Map<String, byte[]>> tables = new LinkedHashMap<>();
    private final Map<String, byte[]> fields = new LinkedHashMap<>();

    ConfigurationDocument() {
        tables.put(ROUTES, new LinkedHashMap<>());
        tables.put(SERVICES, new LinkedHashMap<>());
    }

    ConfigurationDocument copy() {
        ConfigurationDocument copy = new ConfigurationDocument();
        tables.forEach((name, items) -> copy.tables.put(name, new LinkedHashMap<>(items)));
        copy.fields.putAll(fields);
        return copy;
    }

    byte[] field(String name) {
        return fields.get(name);
    }

    /**
     * Adds or replaces a field. Items of a table are merged by name, and objects field by field. A field without a name
     * is never a table, as the key of an item of it would be that of a top-level field. A revision is ignored: a second
     * one would make {@link #json} unreadable.
     */
    void put(String name, ConfigurationJson.Value value, byte[] body) {
        if (name.equals(REVISION)) {
            return;
        }
        Map<String, byte[]> items = name.equals(TOP_LEVEL) ? null : parseNamedItems(value, body);
        byte[] previous = fields.get(name);
        if (items != null) {
            fields.remove(name);
            tables.computeIfAbsent(name, n -> new LinkedHashMap<>()).putAll(items);
        } else if (value.content() instanceof Map && previous != null && previous[0] == '{') {
            fields.put(name, mergeObject(previous, value, body));
        } else if (!tables.containsKey(name) || !isEmptyList(value)) {
            tables.remove(name);
            fields.put(name, value.bytesIn(body));
        }
    }

    private static byte[] mergeObject(byte[] previous, ConfigurationJson.Value value, byte[] body) {
        Map<String, byte[]> merged = new LinkedHashMap<>();
        ((Map<?, ?>) ConfigurationJson.parse(previous).content())
                .forEach((field, old) -> merged.put((String) field, ((ConfigurationJson.Value) old).bytesIn(previous)));
        ((Map<?, ?>) value.content())
                .forEach((field, now) -> merged.put((String) field, ((ConfigurationJson.Value) now).bytesIn(body)));
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        merged.forEach((field, raw) -> {
            out.write(out.size() == 0 ? '{' : ',');
            writeKey(out, field);
            out.writeBytes(raw);
        });
        writeAscii(out, merged.isEmpty() ? "{}" : "}");
        return out.toByteArray();
    }

    /** The named items of a list, each as {@code table/name}. */
    static Set<String> namedItemPaths(String table, Object content) {
        Set<String> names = new HashSet<>();
        if (content instanceof List<?> list) {
            for (Object entry : list) {
                if (((ConfigurationJson.Value) entry).content() instanceof Map<?, ?> map
                        && map.get("name") instanceof ConfigurationJson.Value name) {
                    names.add(table + '/' + name.content());
                }
            }
        }
        return names;
    }

    /** Removes an item from a table; no effect if the item or the table does not exist. */
    void remove(String table, String item) {
        Map<String, byte[]> items = tables.get(table);
        if (items != null) {
            items.remove(item);
        }
    }

    /** The bytes of an entry, or null if it does not exist. A field that holds an empty list counts as absent. */
    byte[] entry(String table, String name) {
        if (!table.equals(TOP_LEVEL)) {
            return tables.getOrDefault(table, Map.of()).get(name);
        }
        byte[] field = fields.get(name);
        return field == null || isEmptyList(field) ? null : field;
    }

    /** All entries that {@link #entry} returns, in the order of {@link #json}. */
    Map<Key, byte[]> entries() {
        Map<Key, byte[]> all = new LinkedHashMap<>();
        tables.forEach((table, items) -> items.forEach((name, body) -> all.put(new Key(table, name), body)));
        fields.forEach((name, body) -> {
            if (!isEmptyList(body)) {
                all.put(new Key(TOP_LEVEL, name), body);
            }
        });
        return all;
    }

    /** The keys of entries that were added, changed or removed compared with {@code other}. */
    Set<Key> changedSince(ConfigurationDocument other) {
        Set<Key> changed = new LinkedHashSet<>();
        entries().forEach((key, body) -> {
            byte[] previous = other.entry(key.table, key.name);
            if (previous != body && !Arrays.equals(previous, body)) {
                changed.add(key);
            }
        });
        for (Key key : other.entries().keySet()) {
            if (entry(key.table, key.name) == null) {
                changed.add(key);
            }
        }
        return changed;
    }

    /** Sets an entry without merging, or removes it if {@code body} is null. */
    void set(String table, String name, byte[] body) {
        if (table.equals(TOP_LEVEL)) {
            if (body == null) {
                fields.remove(name);
            } else {
                fields.put(name, body);
            }
        } else if (body != null) {
            fields.remove(table);
            tables.computeIfAbsent(table, n -> new LinkedHashMap<>()).put(name, body);
        } else {
            remove(table, name);
            if (!table.equals(ROUTES)
                    && !table.equals(SERVICES)
                    && tables.getOrDefault(table, Map.of()).isEmpty()) {
                tables.remove(table);
            }
        }
    }

    private static boolean isEmptyList(byte[] raw) {
        if (raw[0] != '[') {
            return false;
        }
        int at = 1;
        while (raw[at] <= ' ' && raw[at] >= 0) {
            at++;
        }
        return raw[at] == ']';
    }

    private static boolean isEmptyList(ConfigurationJson.Value value) {
        return value.content() instanceof List<?> list && list.isEmpty();
    }

    /** The items of a non-empty list of objects with unique names, or null if the value is anything else. */
    private static Map<String, byte[]> parseNamedItems(ConfigurationJson.Value value, byte[] body) {
        if (!(value.content() instanceof List<?> list) || list.isEmpty()) {
            return null;
        }
        Map<String, byte[]> items = new LinkedHashMap<>();
        for (Object entry : list) {
            ConfigurationJson.Value item = (ConfigurationJson.Value) entry;
            if (!(item.content() instanceof Map<?, ?> map)
                    || !(map.get("name") instanceof ConfigurationJson.Value name)
                    || !(name.content() instanceof String text)
                    || items.put(text, item.bytesIn(body)) != null) {
                return null;
            }
        }
        return items;
    }

    /** An upper bound of the length of {@link #json} in bytes. */
    long maxJsonBytes() {
        long size = 32;
        for (Map.Entry<String, Map<String, byte[]>> table : tables.entrySet()) {
            size += 6L * table.getKey().length() + 6;
            for (byte[] item : table.getValue().values()) {
                size += item.length + 1;
            }
        }
        for (Map.Entry<String, byte[]> field : fields.entrySet()) {
            size += 6L * field.getKey().length() + 4 + field.getValue().length;
        }
        return size;
    }

    /** One object: first the revision, then routes, services, all other tables and fields as they were received. */
    byte[] json(long revision) {
        ByteArrayOutputStream out = new ByteArrayOutputStream(4_096);
        writeAscii(out, "{\"revision\":" + revision);
        tables.forEach((name, items) -> {
            out.write(',');
            writeKey(out, name);
            char separator = '[';
            for (byte[] item : items.values()) {
                out.write(separator);
                out.writeBytes(item);
                separator = ',';
            }
            writeAscii(out, items.isEmpty() ? "[]" : "]");
        });
        fields.forEach((name, value) -> {
            out.write(',');
            writeKey(out, name);
            out.writeBytes(value);
        });
        out.write('}');
        return out.toByteArray();
    }

    private static void writeKey(ByteArrayOutputStream out, String name) {
        StringBuilder key = new StringBuilder(name.length() + 4).append('"');
        for (int i = 0; i < name.length(); i++) {
            char c = name.charAt(i);
            if (c == '"' || c == '\\') {
                key.append('\\').append(c);
            } else if (c < ' ' || c > '~') {
                key.append("\\u")
                        .append(Character.forDigit(c >> 12, 16))
                        .append(Character.forDigit(c >> 8 & 15, 16))
                        .append(Character.forDigit(c >> 4 & 15, 16))
                        .append(Character.forDigit(c & 15, 16));
            } else {
                key.append(c);
            }
        }
        writeAscii(out, key.append("\":").toString());
    }

    private static void writeAscii(ByteArrayOutputStream out, String text) {
        out.writeBytes(text.getBytes(StandardCharsets.US_ASCII));
    }
}
