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
 * A configuration as it was sent, by entry: lists of named items (tables) item by item, all other fields as one entry
 * each. So named items can be replaced without losing anything else, known or not. Never changed once a {@link
 * Configuration} holds it.
 */
final class ConfigurationDocument {
    static final String ROUTES = "routes";
    static final String SERVICES = "services";
    static final String TENANTS = "tenants";

    /** Where an entry stands: {@code table} empty: a field by itself. */
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

    /** Adds a field, or replaces it; in a table, items by their names, and in an object its fields. */
    void put(String name, ConfigurationJson.Value value, byte[] body) {
        Map<String, byte[]> items = parseNamedItems(value, body);
        byte[] former = fields.get(name);
        if (items != null) {
            fields.remove(name);
            tables.computeIfAbsent(name, n -> new LinkedHashMap<>()).putAll(items);
        } else if (value.content() instanceof Map && former != null && former[0] == '{') {
            fields.put(name, mergeObject(former, value, body));
        } else if (!tables.containsKey(name) || !isEmptyList(value)) {
            tables.remove(name);
            fields.put(name, value.bytesIn(body));
        }
    }

    private static byte[] mergeObject(byte[] former, ConfigurationJson.Value value, byte[] body) {
        Map<String, byte[]> merged = new LinkedHashMap<>();
        ((Map<?, ?>) ConfigurationJson.parse(former).content())
                .forEach((field, old) -> merged.put((String) field, ((ConfigurationJson.Value) old).bytesIn(former)));
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

    /** The names of the items of a list, each behind its table's. */
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

    /** Removes an item from a table; one that isn't there, from a table that isn't there, is gone already. */
    void remove(String table, String item) {
        Map<String, byte[]> items = tables.get(table);
        if (items != null) {
            items.remove(item);
        }
    }

    /** An entry's bytes, or null: it isn't there. A field that holds an empty list is as good as none. */
    byte[] entry(String table, String name) {
        if (!table.equals(TOP_LEVEL)) {
            return tables.getOrDefault(table, Map.of()).get(name);
        }
        byte[] field = fields.get(name);
        return field == null || isEmptyList(field) ? null : field;
    }

    /** All that {@link #entry} gives, in the order in which it is shown. */
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

    /** Keys of entries that are here and not the same in the other, or there and not here. */
    Set<Key> changedSince(ConfigurationDocument other) {
        Set<Key> changed = new LinkedHashSet<>();
        entries().forEach((key, body) -> {
            byte[] former = other.entry(key.table, key.name);
            if (former != body && !Arrays.equals(former, body)) {
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

    /** Puts an entry as it is, or takes it out where {@code body} is null. */
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

    /** The items of a list of objects with names of their own; null: it is something else. */
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

    /** Bytes that {@link #json} has at most. */
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

    /** One object: the revision, routes, services, and the rest as it came. */
    byte[] json(long revision) {
        ByteArrayOutputStream out = new ByteArrayOutputStream(4_096);
        writeAscii(out, "{\"revision\":" + revision);
        tables.forEach((name, items) -> {
            out.write(',');
            writeKey(out, name);
            char between = '[';
            for (byte[] item : items.values()) {
                out.write(between);
                out.writeBytes(item);
                between = ',';
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
