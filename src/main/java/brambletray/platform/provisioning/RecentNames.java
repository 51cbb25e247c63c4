package brambletray.platform.provisioning;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/** What happened lately by name: bounded in number and age (ms), the oldest goes first. */
final class RecentNames<V> {
    private record Entry<V>(V value, long putAtMs) {}

    private final Map<String, Entry<V>> entries = new LinkedHashMap<>();
    private final int maxSize;
    private final long maxAgeMs;

    RecentNames(int maxSize, long maxAgeMs) {
        this.maxSize = maxSize;
        this.maxAgeMs = maxAgeMs;
    }

    void put(String name, V value, long now) {
        entries.remove(name);
        entries.put(name, new Entry<>(value, now));
        expire(now);
    }

    /** Null: not known, or too long ago. */
    V get(String name, long now) {
        Entry<V> entry = entries.get(name);
        return entry == null || now - entry.putAtMs > maxAgeMs ? null : entry.value;
    }

    /** ms since it was put; -1: not known. */
    long ageMs(String name, long now) {
        Entry<V> entry = entries.get(name);
        return entry == null || now - entry.putAtMs > maxAgeMs ? -1 : now - entry.putAtMs;
    }

    void remove(String name) {
        entries.remove(name);
    }

    private void expire(long now) {
        Iterator<Entry<V>> oldest = entries.values().iterator();
        while (oldest.hasNext()) {
            Entry<V> entry = oldest.next();
            if (entries.size() <= maxSize && now - entry.putAtMs <= maxAgeMs) {
                return;
            }
            oldest.remove();
        }
    }
}
