package brambletray.platform.configuration;

import java.util.Collections;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;

/**
 * The items of one table of a configuration by name, in the order in which they came. For one thread.
 *
 * @param <T> what an item is read as
 */
final class ItemTable<T> {
    private final String table;
    private final Function<JsonFields, T> reader;
    private final Map<String, T> items;
    private final Map<String, T> view;

    /** Empty; {@code reader} reads one item, and throws {@link ConfigurationException} where it is invalid. */
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

    /** A view that cannot be changed. */
    Map<String, T> items() {
        return view;
    }

    /** Adds or replaces the items that this object lists, each of them once. */
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

    /** Removes an item; one that isn't there is gone already. */
    void remove(String name) {
        items.remove(name);
    }

    /** Puts an entry of this table, or removes it where it has no body. */
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
