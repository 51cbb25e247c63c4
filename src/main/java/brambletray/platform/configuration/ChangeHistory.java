package brambletray.platform.configuration;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * Which entries the last versions of the configuration changed, so that an edge with one of them is sent what has
 * changed since, and no more. Only names are remembered: the entries themselves are those of the current
 * configuration. Each member of the core has the history, so that a new coordinator can go on. Pure; one thread.
 */
public final class ChangeHistory {
    /** Versions that are remembered, and names that these touched together; beyond either the oldest are forgotten. */
    static final int MAX_VERSIONS = 4_096;

    static final int MAX_NAMES = 65_536;

    private record VersionChange(long fromRevision, Set<ConfigurationDocument.Key> changedKeys) {}

    private final ArrayDeque<VersionChange> versions = new ArrayDeque<>();
    private int nameCount;
    private Configuration current = Configuration.NONE;

    /** The configuration that applies now. */
    public Configuration current() {
        return current;
    }

    /** This configuration applies from here on; what came in between, if anything, counts as one version. */
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

    /** Whether it is known what has changed since this revision. */
    boolean isRemembered(long baseRevision) {
        return baseRevision == current.revision()
                || versions.stream().anyMatch(version -> version.fromRevision == baseRevision);
    }

    /**
     * The delta from this revision to the current one; null if the revision is not remembered, or the full
     * configuration is no larger.
     */
    public ConfigurationDelta deltaSince(long baseRevision) {
        Set<ConfigurationDocument.Key> touched = new TreeSet<>(
                Comparator.comparing(ConfigurationDocument.Key::table).thenComparing(ConfigurationDocument.Key::name));
        long from = current.revision();
        for (Iterator<VersionChange> back = versions.descendingIterator(); from != baseRevision && back.hasNext(); ) {
            VersionChange version = back.next();
            touched.addAll(version.changedKeys);
            from = version.fromRevision;
        }
        if (from != baseRevision
                || baseRevision == 0
                || touched.size() > current.routes().size() + current.services().size()) {
            return null;
        }
        List<ConfigurationDelta.Entry> entries = new ArrayList<>(touched.size());
        for (ConfigurationDocument.Key key : touched) {
            entries.add(new ConfigurationDelta.Entry(key.table(), key.name(), current.entry(key)));
        }
        return new ConfigurationDelta(baseRevision, current.revision(), current.digest(), entries);
    }

    /** The full configuration as a delta from nothing, for edges that have no remembered revision. */
    public ConfigurationDelta fullDelta() {
        List<ConfigurationDelta.Entry> entries = new ArrayList<>();
        current.entries()
                .forEach((key, body) -> entries.add(new ConfigurationDelta.Entry(key.table(), key.name(), body)));
        return new ConfigurationDelta(0, current.revision(), current.digest(), entries);
    }
}
