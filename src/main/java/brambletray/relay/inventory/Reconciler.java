package brambletray.relay.inventory;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Turns revisions into the lists that the module is told of. Free of I/O and of time.
 *
 * <p>Several sources may name hosts, each in revisions of its own, guarded each by itself. Of a host that
 * more than one names, the first source in their order tells where it is and what it takes; it is draining
 * as soon as one of them says so, for to send nothing new is what can be taken back. A host is gone once no
 * source names it. What a source that is lost told last goes on: to lose the source is not to lose its hosts.
 *
 * <p>A host that moves to another address, protocol or destination is the old one gone and a new one: it gets
 * a new key, so that no call, no wait and no history of the old one counts for the new one. A file that takes
 * away more than a share of the hosts at once is held back unless it is sealed, for that is what a file cut
 * at a row's end looks like; and once a file was sealed, each that is not is held back, whatever it changes.
 */
public final class Reconciler {
    /** Edits that take so few hosts away are never held back. */
    private static final int FEW = 2;

    private static final int NAMES_MOST = 400_000;

    /** What became of a revision. */
    public sealed interface Verdict permits Taken, HeldBack, Same {}

    /**
     * It counts from now on; {@code hosts}: all of it, by key; {@code changed}: keys of those that are new or
     * not as they were; {@code gone}: keys that no longer stand for a host; {@code revision}: of its source.
     */
    public record Taken(
            Change change,
            Map<String, Entry> hosts,
            List<String> changed,
            List<String> gone,
            Revision revision,
            boolean sealed)
            implements Verdict {}

    /**
     * The former one goes on: it takes more than {@code most} hosts away, or {@code unsealed}: its last line
     * does not seal it, as the former one's did.
     */
    public record HeldBack(Change change, int most, boolean unsealed) implements Verdict {}

    /** Nothing changes. */
    public record Same() implements Verdict {}

    /** One source of hosts: what it told last, and whether that told of itself that it is whole. */
    private static final class Source {
        Revision told = Revision.EMPTY;
        boolean sealed;
    }

    private final double removeMost;
    /** The highest first. */
    private final Map<String, Source> sources = new LinkedHashMap<>();

    private Revision held = Revision.EMPTY;
    /** Where each name was last, also of hosts that are gone, and how often it has moved; the eldest go. */
    private final Map<String, Placed> placed = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Placed> eldest) {
            return size() > NAMES_MOST;
        }
    };

    private record Placed(String place, int moves) {
        Placed at(String next) {
            return next.equals(place) ? this : new Placed(next, moves + 1);
        }
    }

    /**
     * {@code removeMost}: the share of its hosts that an edit of a source may take away without being sealed;
     * 1 for all. {@code names}: of the sources, the one that counts most first.
     */
    public Reconciler(double removeMost, List<String> names) {
        this.removeMost = removeMost;
        names.forEach(name -> sources.put(name, new Source()));
    }

    /** Of one source. */
    public Reconciler(double removeMost) {
        this(removeMost, List.of(""));
    }

    /** True when what counts of the one source told of itself that it is whole. */
    public boolean isSealed() {
        return sources.values().iterator().next().sealed;
    }

    /** What all sources together tell. */
    public Revision held() {
        return held;
    }

    /** A revision of the one source has come; {@code sealed}: it tells of itself that it is whole. */
    public Verdict offer(Revision next, boolean sealed) {
        return offer(sources.keySet().iterator().next(), next, sealed);
    }

    /** A revision of one of the sources has come; {@code sealed}: it tells of itself that it is whole. */
    public Verdict offer(String name, Revision next, boolean sealed) {
        Source source = sources.get(name);
        Change change = Change.between(source.told, next);
        if (change.isEmpty()) {
            source.sealed |= sealed;
            return new Same();
        }
        int most = Math.max(FEW, (int) (source.told.hosts().size() * removeMost));
        if (!sealed && (source.sealed || change.taken() > most)) {
            return new HeldBack(change, most, source.sealed);
        }
        source.sealed = sealed;
        source.told = next;
        Revision merged = sources.size() == 1 ? next : merged();
        Change effect = sources.size() == 1 ? change : Change.between(held, merged);
        Map<String, Entry> before = keyed(held);
        held = merged;
        Map<String, Entry> hosts = keyed(merged);
        List<String> changed = new ArrayList<>();
        hosts.forEach((key, entry) -> {
            if (!entry.equals(before.get(key))) {
                changed.add(key);
            }
        });
        List<String> gone =
                before.keySet().stream().filter(key -> !hosts.containsKey(key)).toList();
        return new Taken(effect, hosts, changed, gone, next, sealed);
    }

    /**
     * What all sources tell together. Two names at one address and port would be one endpoint twice: the one
     * of the higher source counts.
     */
    private Revision merged() {
        Map<String, Entry> hosts = new LinkedHashMap<>();
        Set<String> taken = new HashSet<>();
        for (Source source : sources.values()) {
            source.told.hosts().forEach((name, entry) -> {
                Entry higher = hosts.get(name);
                if (higher == null && taken.add(entry.address() + " " + entry.port())) {
                    hosts.put(name, entry);
                } else if (higher != null && entry.state() == Entry.State.DRAINING) {
                    hosts.put(name, higher.draining());
                }
            });
        }
        return new Revision(hosts);
    }

    /** The hosts of a revision by key; what is new, or elsewhere than it was, is noted so. */
    private Map<String, Entry> keyed(Revision revision) {
        Map<String, Entry> hosts = new LinkedHashMap<>();
        revision.hosts().forEach((name, entry) -> {
            Placed before = placed.get(name);
            Placed now = before == null ? new Placed(entry.place(), 0) : before.at(entry.place());
            placed.put(name, now);
            int moves = now.moves();
            hosts.put(moves == 0 ? name : name + "~" + moves, entry);
        });
        return hosts;
    }
}
