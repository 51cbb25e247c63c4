package brambletray.relay.partners;

import brambletray.relay.emulator.Endpoint;
import brambletray.relay.emulator.World;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.function.LongSupplier;

/**
 * The list of hosts as one relay's agent has it, in versions: what changes becomes visible after a lag, in
 * order. Pure; times in ns that never go back.
 */
public final class Registry implements World.ListWatcher {
    /** One entry of the list; {@code born}: ns of the world, 0 for long ago. */
    record Entry(String host, Endpoint endpoint, InetSocketAddress dial, String health, long born) {}

    private record Change(long visibleAt, Entry entry) {}

    private final Function<Endpoint, InetSocketAddress> dials;
    private final LongSupplier clock;
    private final long lag;
    private final Map<String, Entry> entries = new LinkedHashMap<>();
    /** For each host the version in which it last changed; hosts that are gone are kept for late watchers. */
    private final Map<String, Long> versions = new LinkedHashMap<>();

    private final ArrayDeque<Change> coming = new ArrayDeque<>();
    private Runnable whenMoved = () -> {};
    private Runnable whenChanged = () -> {};
    private long late;
    private long version = 1;
    private boolean stalled;

    /** {@code lag}: how long after a change the list has it; ns. */
    public Registry(World world, Function<Endpoint, InetSocketAddress> dials, LongSupplier clock, long lag) {
        this.dials = dials;
        this.clock = clock;
        this.lag = lag;
        for (Endpoint endpoint : world.endpoints()) {
            entries.put(
                    world.host(endpoint), new Entry(world.host(endpoint), endpoint, dials.apply(endpoint), "ready", 0));
            versions.put(world.host(endpoint), 1L);
        }
    }

    /** Told when a change has been put down that will become visible, and when the agent stalls or speaks. */
    void whenChanged(Runnable told) {
        whenChanged = told;
    }

    public void whenMoved(Runnable told) {
        whenMoved = told;
    }

    @Override
    public void listed(Endpoint endpoint, String host, String health, long born) {
        long at = clock.getAsLong() + lag + late;
        if (!coming.isEmpty()) {
            at = Math.max(at, coming.peekLast().visibleAt());
        }
        coming.addLast(new Change(at, new Entry(host, endpoint, dials.apply(endpoint), health, born)));
        whenChanged.run();
    }

    @Override
    public void late(long by) {
        late = by;
    }

    @Override
    public void stalled(boolean silent) {
        stalled = silent;
        whenChanged.run();
    }

    @Override
    public void moved() {
        whenMoved.run();
    }

    boolean isStalled() {
        return stalled;
    }

    /** When the next change becomes visible; Long.MAX_VALUE for none. */
    long nextAt() {
        return coming.isEmpty() ? Long.MAX_VALUE : coming.peekFirst().visibleAt();
    }

    /** The version that is visible now. */
    long version(long now) {
        while (!coming.isEmpty() && coming.peekFirst().visibleAt() <= now) {
            Entry entry = coming.pollFirst().entry();
            version++;
            entries.put(entry.host(), entry);
            versions.put(entry.host(), version);
        }
        return version;
    }

    /** The entries that changed after a version; the whole list leaves out what is gone. */
    List<Entry> after(long known, boolean whole) {
        List<Entry> all = new ArrayList<>();
        for (Entry entry : entries.values()) {
            if (whole ? !entry.health().equals("gone") : versions.get(entry.host()) > known) {
                all.add(entry);
            }
        }
        return all;
    }
}
