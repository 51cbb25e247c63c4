package brambletray.platform.configuration;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * Records which entries the latest versions of the configuration changed, so that an edge with one of these versions is
 * sent only what has changed since. Only the keys are stored; the entries are taken from the current configuration.
 * Each core member keeps the history, so that a new coordinator can continue to send deltas. Performs no I/O. Not
 * thread-safe.
 */
public final class ChangeHistory {
    /** Maximum number of versions, and of changed keys over all versions; beyond either, the oldest are evicted. */
    static final int MAX_VERSIONS = 4_096;

    static final int MAX_NAMES = 65_536;

    private record VersionChange(long fromRevision, Set<ConfigurationDocument.Key> changedKeys) {}

    private final ArrayDeque<VersionChange> versions = new ArrayDeque<>();
    private int nameCount;
    private Configuration current = Configuration.NONE;

    /** The current configuration. */
    public Configuration current() {
        return current;
    }

    /**
     * Makes this the current configuration. Skipped revisions count as one version; a configuration that is not newer
     * is ignored.
     */
    public void advanceTo(Configuration next) {
        if (next.revision() <= current.revision()) {
            return;
        }
        if (current != Configuration.NONE) {
            VersionChange version = new VersionChange(current.revision(), next.changedSince(current));
            versions.add(version);
            nameCount += version.changedKeys.size();
            while (versions.size() > MAX_VERSIONS || nameCount > MAX_NAMES) {
                nameCount -= versions.remove().changedKeys.size();
            }
        }
        current = next;
    }

    /** Whether the changes since this revision are known. */
    boolean isRemembered(long baseRevision) {
        return baseRevision == current.revision()
                || versions.stream().anyMatch(version -> version.fromRevision == baseRevision);
    }

    /**
     * The delta from this revision to the current one; null if the revision is not remembered or if more entries
     * changed than the current configuration has routes and services, so that the full configuration is no larger.
     */
    public ConfigurationDelta deltaSince(long baseRevision) {
        Set<ConfigurationDocument.Key> changedKeys = new TreeSet<>(
                Comparator.comparing(ConfigurationDocument.Key::table).thenComparing(ConfigurationDocument.Key::name));
        long from = current.revision();
        for (Iterator<VersionChange> newestFirst = versions.descendingIterator();
                from != baseRevision && newestFirst.hasNext(); ) {
            VersionChange version = newestFirst.next();
            changedKeys.addAll(version.changedKeys);
            from = version.fromRevision;
        }
        if (from != baseRevision
                || baseRevision == 0
                || changedKeys.size()
                        > current.routes().size() + current.services().size()) {
            return null;
        }
        List<ConfigurationDelta.Entry> entries = new ArrayList<>(changedKeys.size());
        for (ConfigurationDocument.Key key : changedKeys) {
            entries.add(new ConfigurationDelta.Entry(key.table(), key.name(), current.entry(key)));
        }
        return new ConfigurationDelta(baseRevision, current.revision(), current.digest(), entries);
    }

    /** The full configuration as a delta with base revision 0, for edges whose revision is not remembered. */
    public ConfigurationDelta fullDelta() {
        List<ConfigurationDelta.Entry> entries = new ArrayList<>();
        current.entries()
                .forEach((key, body) -> entries.add(new ConfigurationDelta.Entry(key.table(), key.name(), body)));
        return new ConfigurationDelta(0, current.revision(), current.digest(), entries);
    }
}
