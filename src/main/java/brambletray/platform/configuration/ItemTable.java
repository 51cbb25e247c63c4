package brambletray.platform.configuration;

import java.util.Collections;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;

/**
 * The parsed items of one table of a configuration by name, in insertion order. Not thread-safe.
 *
 * @param <T> type of the parsed items
 */
final class ItemTable<T> {
    private final String table;
    private final Function<JsonFields, T> reader;
    private final Map<String, T> items;
    private final Map<String, T> view;

    /** An empty table. {@code reader} parses one item and throws {@link ConfigurationException} if it is invalid. */
    ItemTable(String table, Function<JsonFields, T> reader) {
        this(table, reader, Map.of());
    }

    private ItemTable(String table, Function<JsonFields, T> reader, Map<String, T> items) {
        this.table = table;
        this.reader = reader;
        this.items = new LinkedHashMap<>(items);
        view = Collections.unmodifiableMap(this.items);
    }

    ItemTable<T> copy() {
        return new ItemTable<>(table, reader, items);
    }

    /** An unmodifiable view of the items. */
    Map<String, T> items() {
        return view;
    }

    /** Adds or replaces the items listed in this object; each name may occur once. */
    void putAll(JsonFields in) {
        List<ConfigurationJson.Value> listed = in.list(table);
        Set<String> seen = new HashSet<>();
        for (int i = 0; listed != null && i < listed.size(); i++) {
            JsonFields fields =
                    JsonFields.from(table + '[' + i + ']', listed.get(i).content());
            T item = reader.apply(fields);
            String name = fields.requiredName();
            if (!seen.add(name)) {
                throw new ConfigurationException(
                        "duplicate-name",
                        table + '[' + ConfigurationJson.abbreviate(name) + "].name",
                        "expected each name once");
            }
            items.put(name, item);
        }
    }

    /** Removes an item; no effect if it does not exist. */
    void remove(String name) {
        items.remove(name);
    }

    /** Adds or replaces an item by an entry of a delta, or removes it if the entry has no body. */
    void apply(ConfigurationDelta.Entry entry) {
        if (entry.body() == null) {
            remove(entry.name());
            return;
        }
        JsonFields fields = JsonFields.from(
                table + '[' + ConfigurationJson.abbreviate(entry.name()) + ']',
                ConfigurationJson.parse(entry.body()).content());
        items.put(entry.name(), reader.apply(fields));
    }
}
