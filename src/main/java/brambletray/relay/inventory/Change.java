package brambletray.relay.inventory;

import java.util.ArrayList;
import java.util.List;

/**
 * What one revision changes: names of hosts, each in one list only. {@code altered}: state, rate, zone,
 * kind.
 */
public record Change(
        List<String> added, List<String> removed, List<String> moved, List<String> drained, List<String> altered) {
    static Change between(Revision old, Revision next) {
        Change change = new Change(
                new ArrayList<>(), new ArrayList<>(), new ArrayList<>(), new ArrayList<>(), new ArrayList<>());
        next.hosts().forEach((name, entry) -> {
            Entry before = old.hosts().get(name);
            if (before == null) {
                change.added.add(name);
            } else if (!before.place().equals(entry.place())) {
                change.moved.add(name);
            } else if (before.state() == Entry.State.READY && entry.state() == Entry.State.DRAINING) {
                change.drained.add(name);
            } else if (!before.equals(entry)) {
                change.altered.add(name);
            }
        });
        old.hosts().keySet().stream()
                .filter(name -> !next.hosts().containsKey(name))
                .forEach(change.removed::add);
        return change;
    }

    public boolean isEmpty() {
        return added.isEmpty() && removed.isEmpty() && moved.isEmpty() && drained.isEmpty() && altered.isEmpty();
    }

    /** Hosts that get no new work by it where they had some. */
    int taken() {
        return removed.size() + drained.size();
    }
}
