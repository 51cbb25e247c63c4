package brambletray.platform.storage;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * What is done before a store can be read: finds the generation that counts, or begins the first, and cuts off what is
 * torn.
 */
final class StoreOpening {
    /**
     * Exists once a store has been created here: from then on what cannot be read was lost, and is not merely new.
     */
    static final String MARKER_FILE = "trove";

    private static final byte[] MARKER_TEXT = "a store of format 1\n".getBytes(StandardCharsets.US_ASCII);

    private final Directory directory;

    StoreOpening(Directory directory) {
        this.directory = directory;
    }

    /** The store as the last commit left it, or the one before if that is torn. */
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
        Directory.FileWriter pen = directory.open(MARKER_FILE, 0);
        try {
            pen.write(MARKER_TEXT, 0, MARKER_TEXT.length);
            pen.sync();
        } finally {
            pen.close();
        }
        directory.sync();
        return generation;
    }

    /** By its last commit, or the one before if the last is torn: only one is ever on its way to the disk. */
    private StoreGeneration openGeneration(LogSegmentFiles segments) throws IOException {
        StoreRepair repair = new StoreRepair(segments);
        List<Long> ends = repair.commitEnds(2);
        for (int i = 0; i < ends.size(); i++) {
            boolean cut = repair.truncateAfter(ends.get(i));
            StoreGeneration generation = StoreGeneration.read(new LogSegmentFiles(directory, segments.generation()));
            if (generation != null) {
                syncGeneration(segments, i + 1 < ends.size() ? ends.get(i + 1) : 0);
                if (cut) {
                    KeyValueStore.LOG
                            .info("torn-tail")
                            .with("generation", segments.generation())
                            .with("end", ends.get(i))
                            .with("commits", generation.commitCount())
                            .with("why", i == 0 ? "bytes behind the last commit" : "the last commit was torn")
                            .log();
                }
                return generation;
            }
        }
        return null;
    }

    /**
     * Makes durable what has just been read. After a kill, a commit that had not returned may be read although it was
     * never synced, and files may stand under names that were not synced: the process acts on both, so a loss of
     * power must not take them back. What lies before {@code from}, the end of the commit before, had returned and is
     * durable already.
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
