package brambletray.relay.journal;

import brambletray.relay.store.Chain;
import brambletray.relay.store.Store;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The hosts that operators have taken out, as they last: name space {@link #SPACE}, one chain a host, whose
 * value is its name in UTF-8. What is noted is staged, and lasts from the store's next commit on.
 */
public final class ExcludedHostsJournal {
    /** Name space of the store that is theirs. */
    public static final byte SPACE = 7;

    private final Store store;
    private final Map<String, Chain> chains = new HashMap<>();
    private long last;

    /** Reads those that are out. */
    public ExcludedHostsJournal(Store store) throws IOException {
        this.store = store;
        for (Chain chain : store.chains(SPACE)) {
            last = Math.max(last, chain.key());
            chains.put(new String(store.read(chain, 0), StandardCharsets.UTF_8), chain);
        }
    }

    public List<String> all() {
        return List.copyOf(chains.keySet());
    }

    /** Notes that a host is out. False where there is no room for it. */
    public boolean enter(String host) {
        byte[] value = host.getBytes(StandardCharsets.UTF_8);
        if (!store.fits(Store.cost(value.length) + Store.cost(0))) {
            return false;
        }
        Chain chain = store.put(SPACE, ++last, value);
        store.reserve(chain, Store.cost(0));
        chains.put(host, chain);
        return true;
    }

    /** The batch of {@link #enter} failed. */
    public void notEntered(String host) {
        store.release(chains.remove(host), Long.MAX_VALUE);
    }

    /** Notes that it is not any more; {@link #exited} once that lasts. */
    public void exit(String host) {
        if (chains.containsKey(host)) {
            store.delete(chains.get(host));
        }
    }

    /** The batch of {@link #exit} has been written. */
    public void exited(String host) {
        chains.remove(host);
    }
}
