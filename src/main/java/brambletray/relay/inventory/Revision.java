package brambletray.relay.inventory;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;

/** All hosts of one version of a file, by name, in its order; checked as a whole. */
public record Revision(Map<String, Entry> hosts) {
    public static final Revision EMPTY = new Revision(Map.of());

    public Revision {
        hosts = Collections.unmodifiableMap(new LinkedHashMap<>(hosts));
    }
}
