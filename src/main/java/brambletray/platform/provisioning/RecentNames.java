package brambletray.platform.provisioning;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/** What happened lately by name: bounded in number and age (ms), the oldest goes first. */
final class RecentNames<V> {
    private record Entry<V>(V value, long at) {}

    private final Map<String, Entry<V>> entries = new LinkedHashMap<>();
    private final int most;
    private final long age;

    RecentNames(int most, long age) {
        this.most = most;
        this.age = age;
    }

    void put(String name, V value, long now) {
        entries.remove(name);
        entries.put(name, new Entry<>(value, now));
        forget(now);
    }

    /** Null: not known, or too long ago. */
    V get(String name, long now) {
        Entry<V> entry = entries.get(name);
        return entry == null || now - entry.at > age ? null : entry.value;
    }

    /** ms since it was put; -1: not known. */
    long ago(String name, long now) {
        Entry<V> entry = entries.get(name);
        return entry == null || now - entry.at > age ? -1 : now - entry.at;
    }

    void remove(String name) {
        entries.remove(name);
    }

    private void forget(long now) {
        Iterator<Entry<V>> oldest = entries.values().iterator();
        while (oldest.hasNext()) {
            Entry<V> entry = oldest.next();
            if (entries.size() <= most && now - entry.at <= age) {
                return;
            }
            oldest.remove();
        }
    }
}
