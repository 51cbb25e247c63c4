package brambletray.platform.storage;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** Opens a store: finds the newest valid generation or creates the first one, and truncates torn commits. */
final class StoreOpening {
    /**
     * Exists once a store has been created in the directory. From then on, a missing or unreadable store means data
     * loss, not a new directory.
     */
    static final String MARKER_FILE = "trove";

    private static final byte[] MARKER_TEXT = "a store of format 1\n".getBytes(StandardCharsets.US_ASCII);

    private final Directory directory;

    StoreOpening(Directory directory) {
        this.directory = directory;
    }

    /** Opens the store at its last commit, or at the one before if the last is torn. */
    StoreGeneration open() throws IOException {
        List<Long> generations = LogSegmentFiles.generations(directory);
        if (directory.length(MARKER_FILE) == 0) {
            for (long generation : generations) {
                new LogSegmentFiles(directory, generation).remove();
            }
            return createFirstGeneration();
        }
        for (int i = generations.size() - 1; i >= 0; i--) {
            LogSegmentFiles segments = new LogSegmentFiles(directory, generations.get(i));
            StoreGeneration generation = openGeneration(segments);
            if (generation != null) {
                removeOthers(generations, segments);
                return generation;
            }
            KeyValueStore.LOG
                    .warn("torn-generation")
                    .with("generation", segments.generation())
                    .with("older", i)
                    .log();
        }
        throw new StorageException(
                "storage.broken", "no complete store in " + directory + ", generations " + generations, null);
    }

    private StoreGeneration createFirstGeneration() throws IOException {
        StoreGeneration generation = StoreGeneration.create(new LogSegmentFiles(directory, 1));
        generation.commit(List.of());
        directory.sync();
        Directory.FileWriter writer = directory.open(MARKER_FILE, 0);
        try {
            writer.write(MARKER_TEXT, 0, MARKER_TEXT.length);
            writer.sync();
        } finally {
            writer.close();
        }
        directory.sync();
        return generation;
    }

    /**
     * Opens at the last commit, or at the one before if the last is torn: at most one commit is in progress at a time.
     */
    private StoreGeneration openGeneration(LogSegmentFiles segments) throws IOException {
        StoreRepair repair = new StoreRepair(segments);
        List<Long> ends = repair.commitEnds(2);
        for (int i = 0; i < ends.size(); i++) {
            boolean truncated = repair.truncateAfter(ends.get(i));
            StoreGeneration generation = StoreGeneration.read(new LogSegmentFiles(directory, segments.generation()));
            if (generation != null) {
                syncGeneration(segments, i + 1 < ends.size() ? ends.get(i + 1) : 0);
                if (truncated) {
                    KeyValueStore.LOG
                            .info("torn-tail")
                            .with("generation", segments.generation())
                            .with("end", ends.get(i))
                            .with("commits", generation.commitCount())
                            .with("why", i == 0 ? "bytes after the last commit" : "the last commit was torn")
                            .log();
                }
                return generation;
            }
        }
        return null;
    }

    /**
     * Makes durable what has just been read. After a process kill, a commit that had not returned may be read although
     * it was never synced, and file names may not have been synced either. The process acts on both, so a loss of power
     * must not undo them. Everything before {@code from}, the end of the previous commit, is durable already because
     * that commit had returned.
     */
    private void syncGeneration(LogSegmentFiles segments, long from) throws IOException {
        for (long file : segments.addresses()) {
            if (file + LogSegmentFiles.FILE_BYTES > from) {
                directory.sync(segments.fileName(file));
            }
        }
        directory.sync(MARKER_FILE);
        directory.sync();
    }

    private void removeOthers(List<Long> generations, LogSegmentFiles opened) throws IOException {
        for (long generation : generations) {
            if (generation != opened.generation()) {
                new LogSegmentFiles(directory, generation).remove();
            }
        }
        if (generations.size() > 1) {
            directory.sync();
        }
    }
}
