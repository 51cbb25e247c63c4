package brambletray.relay.emulator;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;

/** The idempotency keys that one group of endpoints remembers. Each is dropped when its window has passed. */
final class KeyMemory {
    private record Known(String key, long until) {}

    private final long window;
    private final Map<String, Long> until = new HashMap<>();
    private final ArrayDeque<Known> byAge = new ArrayDeque<>();

    KeyMemory(long window) {
        this.window = window;
    }

    /** True when the key is remembered; else it is from now on. */
    boolean seen(long now, String key) {
        while (!byAge.isEmpty() && byAge.peekFirst().until() <= now) {
            until.remove(byAge.pollFirst().key());
        }
        if (until.containsKey(key)) {
            return true;
        }
        until.put(key, now + window);
        byAge.addLast(new Known(key, now + window));
        return false;
    }

    int size() {
        return until.size();
    }
}
