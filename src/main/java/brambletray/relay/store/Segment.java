package brambletray.relay.store;

import java.util.LinkedHashSet;
import java.util.Set;

/** One file of the log, while the store is open. */
final class Segment {
    final long id;
    final long first;
    final Disk.File file;
    /** Where the next frame goes, or where it was sealed. */
    long tail;

    boolean sealed;
    /** Chains that begin here; they have to be copied before it can go. */
    final Set<Chain> begun = new LinkedHashSet<>();

    Segment(long id, long first, Disk.File file, long tail) {
        this.id = id;
        this.first = first;
        this.file = file;
        this.tail = tail;
    }
}
