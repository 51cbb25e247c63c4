package brambletray.platform.storage;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * What is done before a store can be read: finds the generation that counts, or begins the first, and cuts off what is
 * torn.
 */
final class StoreOpening {
    /** There once a store has been made here: from then on what can't be read was lost, and not just not begun. */
    static final String BORN = "trove";

    private static final byte[] BORN_TEXT = "a store of format 1\n".getBytes(StandardCharsets.US_ASCII);

    private final Directory directory;

    StoreOpening(Directory directory) {
        this.directory = directory;
    }

    /** The store as the last commit left it, or the one before if that is torn. */
    StoreGeneration open() throws IOException {
        List<Long> generations = LogSegmentFile.generations(directory);
        if (directory.length(BORN) == 0) {
            for (long generation : generations) {
                new LogSegmentFile(directory, generation).remove();
            }
            return begin();
        }
        for (int i = generations.size() - 1; i >= 0; i--) {
            LogSegmentFile segment = new LogSegmentFile(directory, generations.get(i));
            StoreGeneration storeGeneration = whole(segment);
            if (storeGeneration != null) {
                removeOthers(generations, segment);
                return storeGeneration;
            }
            KeyValueStore.LOG.warn("torn-generation", "generation", segment.generation(), "older", i);
        }
        throw new StorageException(
                "storage.broken", "no whole store in " + directory + ", generations " + generations, null);
    }

    private StoreGeneration begin() throws IOException {
        StoreGeneration storeGeneration = StoreGeneration.make(new LogSegmentFile(directory, 1));
        storeGeneration.commit(List.of());
        directory.sync();
        Directory.Pen pen = directory.open(BORN, 0);
        try {
            pen.write(BORN_TEXT, 0, BORN_TEXT.length);
            pen.sync();
        } finally {
            pen.close();
        }
        directory.sync();
        return storeGeneration;
    }

    /** By its last commit, or the one before if the last is torn: only one is ever on its way to the disk. */
    private StoreGeneration whole(LogSegmentFile segment) throws IOException {
        StoreRepair mend = new StoreRepair(segment);
        List<Long> ends = mend.ends(2);
        for (int i = 0; i < ends.size(); i++) {
            boolean cut = mend.cut(ends.get(i));
            StoreGeneration read = StoreGeneration.read(new LogSegmentFile(directory, segment.generation()));
            if (read != null) {
                settle(segment, i + 1 < ends.size() ? ends.get(i + 1) : 0);
                if (cut) {
                    KeyValueStore.LOG.tell(
                            "torn-tail",
                            "generation",
                            segment.generation(),
                            "end",
                            ends.get(i),
                            "commits",
                            read.commits(),
                            "why",
                            i == 0 ? "bytes behind the last commit" : "the last commit was not whole");
                }
                return read;
            }
        }
        return null;
    }

    /**
     * Makes durable what has just been read. After a kill, a commit that had not returned may be read although it was
     * never synced, and files may stand under names that were not: who opens acts on both, so a loss of power must not
     * take them back. What lies before {@code from}, the end of the commit before, had returned and is durable already.
     */
    private void settle(LogSegmentFile segment, long from) throws IOException {
        for (long file : segment.addresses()) {
            if (file + LogSegmentFile.FILE_BYTES > from) {
                directory.sync(segment.name(file));
            }
        }
        directory.sync(BORN);
        directory.sync();
    }

    private void removeOthers(List<Long> generations, LogSegmentFile kept) throws IOException {
        for (long generation : generations) {
            if (generation != kept.generation()) {
                new LogSegmentFile(directory, generation).remove();
            }
        }
        if (generations.size() > 1) {
            directory.sync();
        }
    }
}
