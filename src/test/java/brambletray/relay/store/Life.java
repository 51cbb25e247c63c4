package brambletray.relay.store;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * A scripted life of a store: batches of changes with compaction in between, the same for a seed. It knows what
 * the store must hold after each batch that was acknowledged.
 */
final class Life {
    static final byte SPACE = 1;
    static final long LIMIT = 300_000;

    /** Values of each key, as text of their bytes. */
    record State(TreeMap<Long, List<String>> chains) {
        State() {
            this(new TreeMap<>());
        }

        State copy() {
            TreeMap<Long, List<String>> copy = new TreeMap<>();
            chains.forEach((key, values) -> copy.put(key, List.copyOf(values)));
            return new State(copy);
        }
    }

    private final SplittableRandom random;
    private final Store.Promise promise;
    private final State now = new State();
    /** States after each acknowledged batch, the empty one first; and the batch that is under way, or null. */
    final List<State> acknowledged = new ArrayList<>(List.of(new State()));

    State underWay;
    /** A batch failed with its end unknown. */
    boolean uncertain;

    private long nextKey;
    Store store;

    Life(long seed, Store.Promise promise) {
        this.random = new SplittableRandom(seed);
        this.promise = promise;
    }

    static Store.Options options(Store.Promise promise) {
        return new Store.Options(LIMIT, promise, 4_096);
    }

    static State read(Store store) throws IOException {
        State state = new State();
        for (Chain chain : store.chains(SPACE)) {
            List<String> values = new ArrayList<>();
            for (int i = 0; i < chain.size(); i++) {
                values.add(Arrays.toString(store.read(chain, i)));
            }
            state.chains().put(chain.key(), values);
        }
        return state;
    }

    /** Lives for so many batches; an exception of the disk ends it. */
    void run(MemoryDisk disk, int batches) throws IOException {
        store = Store.open(disk, options(promise));
        for (int i = 0; i < batches; i++) {
            batch();
            if (store.wantsCompaction() || random.nextInt(4) == 0) {
                long[] time = {0};
                store.compact(() -> time[0]++, random.nextInt(3));
            }
        }
    }

    private void batch() throws IOException {
        State after = now.copy();
        int changes = 1 + random.nextInt(4);
        for (int i = 0; i < changes; i++) {
            List<Chain> chains = store.chains(SPACE);
            int what = random.nextInt(10);
            Chain chain = chains.isEmpty() ? null : chains.get(random.nextInt(chains.size()));
            if (chain != null && !after.chains().containsKey(chain.key())) {
                chain = null;
            }
            byte[] value = new byte[random.nextInt(10) == 0 ? 2_000 + random.nextInt(9_000) : random.nextInt(60)];
            Arrays.fill(value, (byte) random.nextInt());
            if (chain == null || what < 4 && after.chains().size() < 25) {
                long key = ++nextKey;
                store.put(SPACE, key, value);
                after.chains().put(key, List.of(Arrays.toString(value)));
            } else if (what < 7) {
                store.append(chain, value);
                List<String> values = new ArrayList<>(after.chains().get(chain.key()));
                values.add(Arrays.toString(value));
                after.chains().put(chain.key(), values);
            } else {
                store.delete(chain);
                after.chains().remove(chain.key());
            }
        }
        underWay = after;
        try {
            store.commit();
        } catch (UncertainWrite e) {
            uncertain = true;
            throw e;
        }
        now.chains().clear();
        now.chains().putAll(after.chains());
        acknowledged.add(after);
        underWay = null;
    }

    State last() {
        return acknowledged.get(acknowledged.size() - 1);
    }
}
