package brambletray.platform.edge;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * IP addresses of the most recently used instances, {@value #MAX_ENTRIES} at most; requests from one of them are
 * nested calls. Confined to the event loop.
 */
final class InstanceAddresses {
    private static final int MAX_ENTRIES = 4_096;

    private final Map<String, Boolean> ips = new LinkedHashMap<>(64, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
            return size() > MAX_ENTRIES;
        }
    };

    /** Adds the address {@code ip:port} of an instance. */
    void add(String address) {
        ips.put(address.substring(0, address.lastIndexOf(':')), Boolean.TRUE);
    }

    /** Whether an instance is known at this IP address. */
    boolean contains(String ip) {
        return ips.containsKey(ip);
    }
}
