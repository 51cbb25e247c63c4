package brambletray.relay.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.security.SecureRandom;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;

/**
 * A small store for what must last: a log of segments with an index in memory. Each key of a name space
 * holds a chain of values; {@link #put}, {@link #append} and {@link #delete} are staged, and {@link
 * #commit} writes all that is staged as one batch, which is there as a whole or not at all. One thread.
 *
 * <p>The page docs/store.md has the form of the files, what is promised, and how damage is told from a cut.
 */
public final class Store implements AutoCloseable {
    /** What a commit outlasts. */
    public enum Promise {
        /** The process: written, not synced. */
        PROCESS,
        /** The machine: one sync for each commit. */
        MACHINE
    }

    /**
     * @param limit bytes that all files may take up together, each in whole 512 bytes
     * @param promise what a commit outlasts
     * @param cache bytes of values kept in memory
     */
    public record Options(long limit, Promise promise, long cache) {}

    /** What was found when it was opened. */
    public record Found(List<Damage> damages, int doubtful, long records) {}

    private static final int BLOCK = 512;
    private static final long SEGMENT_LEAST = 16 * 1024;
    private static final long SEGMENT_MOST = 16 << 20;
    /** Parts of the limit that one segment takes. */
    private static final int PARTS = 12;
    /** Bytes for MANIFEST, its successor, MARK and what the file system rounds up. */
    private static final long FIXED = 8 * BLOCK;
    /** Bytes that one slice of a compaction copies at most, unless one chain is larger. */
    private static final int SLICE_BYTES = 32 * 1024;

    /** One change that is staged. */
    private record Staged(byte sort, Chain chain, byte[] value) {
        int bytes() {
            return Layout.RECORD_HEAD + value.length;
        }
    }

    private final Disk disk;
    private final Options options;
    private final AutoCloseable lock;
    private final long store;
    private final long segmentSize;
    private final ArrayDeque<Segment> segments = new ArrayDeque<>();
    private final Map<Byte, Map<Long, Chain>> spaces = new LinkedHashMap<>();
    private final Disk.File mark;
    private final Cache cache;
    private final List<Staged> staged = new ArrayList<>();
    private int stagedBytes;
    private long next;
    /** All up to here outlasts what was promised. */
    private long safe;

    private long nextSegment;
    private long live;
    private long reserved;
    /**
     * The last batch failed, and what it left behind could not be taken back: the segment is not used
     * again.
     */
    private boolean spoilt;

    private long markFailures;
    private Found found;

    private Store(Disk disk, Options options, AutoCloseable lock, long store) throws IOException {
        this.disk = disk;
        this.options = options;
        this.lock = lock;
        this.store = store;
        this.segmentSize = Math.max(SEGMENT_LEAST, Math.min(SEGMENT_MOST, options.limit() / PARTS));
        this.cache = new Cache(options.cache());
        this.mark = disk.open(Layout.MARK, true);
    }

    /** True while another process has the store of a folder open. */
    public static boolean inUse(RealDisk disk) {
        return disk.heldElsewhere(Layout.LOCK);
    }

    /** Opens the store of a folder, and makes one where there is none. */
    public static Store open(Disk disk, Options options) throws IOException {
        AutoCloseable lock = disk.lock(Layout.LOCK);
        try {
            return disk.exists(Layout.MANIFEST) ? recover(disk, options, lock) : create(disk, options, lock);
        } catch (IOException | RuntimeException e) {
            closeQuietly(lock);
            throw e;
        }
    }

    private static void closeQuietly(AutoCloseable closeable) {
        try {
            closeable.close();
        } catch (Exception e) {
            // The folder is left in any case.
        }
    }

    // ---- Opening --------------------------------------------------------------------------------
    private static Store create(Disk disk, Options options, AutoCloseable lock) throws IOException {
        for (String name : disk.list()) {
            if (Layout.isSegment(name)) {
                Disk.File file = disk.open(name, false);
                boolean held = file.size() > Layout.SEGMENT_HEAD;
                file.close();
                if (held) {
                    throw new UntrustedStore("MANIFEST is missing, but " + name + " holds records");
                }
                disk.delete(name);
            }
        }
        Store made = new Store(disk, options, lock, new SecureRandom().nextLong());
        made.next = 1;
        made.nextSegment = 1;
        // Both slots: the file never grows again, so that a cut cannot leave it without a good one.
        write(made.mark, 0, Layout.mark(made.store, 0));
        write(made.mark, Layout.MARK_SLOT, Layout.mark(made.store, 0));
        if (options.promise() == Promise.MACHINE) {
            made.mark.sync();
        }
        made.begin();
        made.found = new Found(List.of(), 0, 0);
        return made;
    }

    /** Deletes all files of a store that must not count: one that another folder's content replaces. */
    public static void discard(Disk disk) throws IOException {
        // The manifest first: without it what is left is no store.
        disk.delete(Layout.MANIFEST);
        disk.delete(Layout.FRESH_MANIFEST);
        for (String name : disk.list()) {
            if (Layout.isSegment(name)) {
                disk.delete(name);
            }
        }
        disk.delete(Layout.MARK);
    }

    private static Store recover(Disk disk, Options options, AutoCloseable lock) throws IOException {
        Manifest manifest = manifest(disk);
        Store opened = new Store(disk, options, lock, manifest.store());
        opened.nextSegment = manifest.nextSegment();
        for (String name : disk.list()) {
            // Left by a crash: made and not yet in the manifest, or dropped from it and not yet deleted.
            boolean known = manifest.segments().stream()
                    .anyMatch(e -> Layout.segmentName(e.segment()).equals(name));
            if (Layout.isSegment(name) && !known || name.equals(Layout.FRESH_MANIFEST)) {
                disk.delete(name);
            }
        }
        Map<Long, Segment> byId = new LinkedHashMap<>();
        for (Manifest.Entry e : manifest.segments()) {
            Disk.File file = disk.open(Layout.segmentName(e.segment()), true);
            Segment segment = new Segment(e.segment(), e.first(), file, Math.max(e.sealed(), Layout.SEGMENT_HEAD));
            segment.sealed = true;
            byId.put(e.segment(), segment);
            opened.segments.add(segment);
        }
        Replay replay = new Replay(disk, manifest, new Replay.Reader() {
            @Override
            public void record(long sequence, Manifest.Entry in, byte sort, byte space, long key, int at, int length) {
                opened.apply(sort, space, key, new Chain.Place(byId.get(in.segment()), at, length));
            }

            @Override
            public void hole() {
                opened.spaces.values().forEach(chains -> chains.values().forEach(c -> c.doubtful = true));
            }
        });
        replay.run();
        opened.next = replay.next();
        opened.safe = opened.next - 1;
        int doubtful = (int) opened.spaces.values().stream()
                .flatMap(m -> m.values().stream())
                .filter(Chain::doubtful)
                .count();
        opened.found = new Found(List.copyOf(replay.damages()), doubtful, replay.records());
        opened.goOn(replay.tail());
        return opened;
    }

    static Manifest manifest(Disk disk) throws IOException {
        Disk.File file = disk.open(Layout.MANIFEST, false);
        try {
            return Manifest.read(file.read(0, (int) Math.min(1 << 26, file.size())));
        } finally {
            file.close();
        }
    }

    /**
     * What was read is a prefix of what was written, or has holes that are marked. The last segment is cut
     * at its last good frame, and written on.
     */
    private void goOn(long tail) throws IOException {
        Segment last = segments.peekLast();
        last.tail = tail;
        last.sealed = false;
        if (last.file.size() != tail) {
            last.file.truncate(Math.min(tail, last.file.size()));
        }
        write(last.file, 0, Layout.segmentHead(store, last.id, last.first));
        write(mark, Layout.MARK_SLOT * (safe & 1), Layout.mark(store, safe));
        if (options.promise() == Promise.MACHINE) {
            last.file.sync();
            mark.sync();
            disk.syncNames();
        }
    }

    private void apply(byte sort, byte space, long key, Chain.Place place) {
        Map<Long, Chain> chains = spaces.computeIfAbsent(space, s -> new LinkedHashMap<>());
        Chain chain = chains.get(key);
        long bytes = Layout.RECORD_HEAD + place.length();
        switch (sort) {
            case Layout.PUT -> {
                if (chain == null) {
                    chain = new Chain(space, key);
                    chains.put(key, chain);
                }
                forgetPlaces(chain);
                chain.doubtful = false;
                chain.places.add(place);
                place.segment().begun.add(chain);
                count(chain, bytes);
            }
            case Layout.APPEND -> {
                if (chain != null) {
                    chain.places.add(place);
                    count(chain, bytes);
                }
            }
            case Layout.DOUBT -> {
                if (chain != null) {
                    chain.doubtful = true;
                    count(chain, bytes);
                }
            }
            default -> {
                if (chain != null) {
                    forget(chain);
                }
            }
        }
    }

    private void count(Chain chain, long bytes) {
        chain.bytes += bytes;
        live += bytes;
    }

    private void forgetPlaces(Chain chain) {
        if (!chain.places.isEmpty()) {
            chain.places.get(0).segment().begun.remove(chain);
            chain.places.forEach(cache::forget);
            chain.places.clear();
        }
        live -= chain.bytes;
        chain.bytes = 0;
    }

    private void forget(Chain chain) {
        forgetPlaces(chain);
        release(chain, Long.MAX_VALUE);
        chain.dead = true;
        spaces.get(chain.space).remove(chain.key);
    }

    /** Number drawn when it was made. */
    public long number() {
        return store;
    }

    /** Number of the last batch that outlasts what was promised; it grows over all lives of the folder. */
    public long last() {
        return safe;
    }

    /** What was found when it was opened. */
    public Found found() {
        return found;
    }

    // ---- Reading --------------------------------------------------------------------------------
    /** The chains of a name space, in the order in which they were begun or last copied. */
    public List<Chain> chains(byte space) {
        return List.copyOf(spaces.getOrDefault(space, Map.of()).values());
    }

    /** One value of a chain, from memory or from its file. */
    public byte[] read(Chain chain, int index) throws IOException {
        return value(chain.places.get(index));
    }

    private byte[] value(Chain.Place place) throws IOException {
        byte[] value = cache.get(place);
        if (value == null) {
            value = place.segment().file.read(place.at(), place.length());
            if (value.length != place.length()) {
                throw new IOException(
                        Layout.segmentName(place.segment().id) + " at " + place.at() + ": ends inside a record");
            }
            cache.put(place, value);
        }
        return value;
    }

    // ---- Room -----------------------------------------------------------------------------------
    /** Bytes that one value takes up in a batch of its own. */
    public static long cost(int length) {
        return Layout.FRAME_HEAD + Layout.FRAME_FIXED + Layout.RECORD_HEAD + length;
    }

    /** True when so many bytes more can be held, whatever is dead on disk. */
    public boolean fits(long bytes) {
        return live + reserved + stagedBytes + bytes <= capacity();
    }

    /** Bytes of live records and reservations at most: the rest is for copying and for what is dead. */
    public long capacity() {
        return options.limit() - FIXED - 3 * segmentSize;
    }

    /** Keeps so many bytes free for records of a chain that may still come. */
    public void reserve(Chain chain, long bytes) {
        chain.reserved += bytes;
        reserved += bytes;
    }

    /** Gives up so much of a chain's reservation. */
    public void release(Chain chain, long bytes) {
        long freed = Math.min(bytes, chain.reserved);
        chain.reserved -= freed;
        reserved -= freed;
    }

    /** Bytes that the files take up, each in whole blocks. */
    public long used() {
        long sum = FIXED;
        for (Segment s : segments) {
            sum += blocks(s.tail);
        }
        return sum;
    }

    private static long blocks(long bytes) {
        return (bytes + BLOCK - 1) / BLOCK * BLOCK;
    }

    /** Bytes of live records. */
    public long live() {
        return live;
    }

    // ---- Writing --------------------------------------------------------------------------------
    /** Begins a chain; one of that key ends. It has no values before the commit. */
    public Chain put(byte space, long key, byte[] value) {
        Chain chain = new Chain(space, key);
        stage(new Staged(Layout.PUT, chain, value));
        return chain;
    }

    public void append(Chain chain, byte[] value) {
        stage(new Staged(Layout.APPEND, chain, value));
    }

    public void delete(Chain chain) {
        stage(new Staged(Layout.DELETE, chain, new byte[0]));
    }

    /** Marks a chain as doubtful: records of it may be missing. */
    void doubt(Chain chain) {
        stage(new Staged(Layout.DOUBT, chain, new byte[0]));
    }

    private void stage(Staged change) {
        staged.add(change);
        stagedBytes += change.bytes();
    }

    /** True when a commit has something to write. */
    public boolean dirty() {
        return !staged.isEmpty();
    }

    /** Bytes staged. */
    public int stagedBytes() {
        return stagedBytes;
    }

    /**
     * Writes what is staged as one batch, and syncs it where that is promised. After an exception none of it
     * counts and nothing is staged; after an {@link UncertainWrite} it may still be found after a restart.
     */
    public void commit() throws IOException {
        if (staged.isEmpty()) {
            return;
        }
        List<Staged> batch = List.copyOf(staged);
        staged.clear();
        stagedBytes = 0;
        write(batch, options.promise() == Promise.MACHINE);
    }

    private void write(List<Staged> batch, boolean sync) throws IOException {
        int length = Layout.FRAME_FIXED;
        for (Staged s : batch) {
            length += s.bytes();
        }
        Segment segment = roomFor(Layout.FRAME_HEAD + length);
        ByteBuffer frame = ByteBuffer.allocate(Layout.FRAME_HEAD + length)
                .putInt(length)
                .putInt(0)
                .putLong(next)
                .putLong(options.promise() == Promise.MACHINE ? safe : next - 1);
        long[] places = new long[batch.size()];
        for (int i = 0; i < places.length; i++) {
            Staged s = batch.get(i);
            frame.put(s.sort()).put(s.chain().space).putLong(s.chain().key).putInt(s.value().length);
            places[i] = segment.tail + frame.position();
            frame.put(s.value());
        }
        frame.putInt(4, Layout.frameCrc(store, segment.id, frame.array(), Layout.FRAME_HEAD, length));
        try {
            write(segment.file, segment.tail, frame.array());
        } catch (IOException e) {
            takeBack(segment, e);
        }
        if (sync) {
            try {
                segment.file.sync();
            } catch (IOException e) {
                // What a failed sync covered is never trusted again: nothing more goes into this segment.
                spoilt = true;
                throw new UncertainWrite(e);
            }
        }
        segment.tail += frame.capacity();
        next++;
        for (int i = 0; i < places.length; i++) {
            Staged s = batch.get(i);
            applied(s, new Chain.Place(segment, places[i], s.value().length));
        }
        if (sync || options.promise() == Promise.PROCESS) {
            safe = next - 1;
            try {
                write(mark, Layout.MARK_SLOT * (safe & 1), Layout.mark(store, safe));
            } catch (IOException e) {
                // The batch is there all the same. A mark that lags behind the log does no harm, and the next
                // goes into the other slot.
                markFailures++;
            }
        }
    }

    /** How often MARK could not be written. */
    public long markFailures() {
        return markFailures;
    }

    private void applied(Staged s, Chain.Place place) {
        if (s.sort() == Layout.PUT) {
            Map<Long, Chain> chains = spaces.computeIfAbsent(s.chain().space, k -> new LinkedHashMap<>());
            Chain old = chains.get(s.chain().key);
            if (old != null && old != s.chain()) {
                forget(old);
            }
            chains.put(s.chain().key, s.chain());
        }
        if (!s.chain().dead) {
            apply(s.sort(), s.chain().space, s.chain().key, place);
            if (s.sort() == Layout.PUT || s.sort() == Layout.APPEND) {
                cache.put(place, s.value());
            }
        }
    }

    /** A write failed: what it left is cut off, or the segment is left where it was good. */
    private void takeBack(Segment segment, IOException cause) throws IOException {
        try {
            segment.file.truncate(segment.tail);
        } catch (IOException e) {
            spoilt = true;
            throw new UncertainWrite(cause);
        }
        throw cause;
    }

    private static void write(Disk.File file, long at, byte[] bytes) throws IOException {
        file.write(at, ByteBuffer.wrap(bytes));
    }

    /** The segment that the next frame goes into; a new one where the last is full or spoilt. */
    private Segment roomFor(int bytes) throws IOException {
        Segment last = segments.peekLast();
        if (spoilt || last.tail + bytes > segmentSize && last.tail > Layout.SEGMENT_HEAD) {
            begin();
            last = segments.peekLast();
        }
        return last;
    }

    /** Seals the last segment and begins a new one; counts once the manifest names it. */
    private void begin() throws IOException {
        boolean sync = options.promise() == Promise.MACHINE;
        Segment last = segments.peekLast();
        long id = nextSegment++;
        Disk.File file = disk.open(Layout.segmentName(id), true);
        Segment fresh = new Segment(id, next, file, Layout.SEGMENT_HEAD);
        try {
            file.truncate(0);
            write(file, 0, Layout.segmentHead(store, id, next));
            if (sync) {
                file.sync();
            }
            segments.addLast(fresh);
            if (last != null) {
                last.sealed = true;
            }
            writeManifest();
        } catch (IOException e) {
            segments.remove(fresh);
            // The manifest on disk may name the last segment as sealed by now: nothing more goes into it.
            spoilt = true;
            file.close();
            throw e;
        }
        spoilt = false;
    }

    private void writeManifest() throws IOException {
        boolean sync = options.promise() == Promise.MACHINE;
        List<Manifest.Entry> entries = new ArrayList<>();
        for (Segment s : segments) {
            entries.add(new Manifest.Entry(s.id, s.first, s.sealed ? s.tail : -1));
        }
        Disk.File file = disk.open(Layout.FRESH_MANIFEST, true);
        try {
            byte[] bytes = new Manifest(store, nextSegment, entries).bytes();
            file.truncate(0);
            write(file, 0, bytes);
            if (sync) {
                file.sync();
            }
        } finally {
            file.close();
        }
        disk.rename(Layout.FRESH_MANIFEST, Layout.MANIFEST);
        if (sync) {
            disk.syncNames();
        }
    }

    // ---- Compaction -----------------------------------------------------------------------------
    /** True when there is more that is dead than it is worth to keep, or little room is left. */
    public boolean wantsCompaction() {
        return segments.size() > 1
                && (used() > 2 * live + 3 * segmentSize || used() > options.limit() - 2 * segmentSize);
    }

    /**
     * One slice: copies live chains out of the oldest segment until so much time has passed, and drops the
     * segment once nothing in it is needed. {@code clock}: ns.
     */
    public void compact(LongSupplier clock, long budget) throws IOException {
        long by = clock.getAsLong() + budget;
        do {
            if (!copySome()) {
                drop();
                return;
            }
        } while (clock.getAsLong() < by);
    }

    /** Copies some chains out of the oldest segment in one batch; false when there is none left. */
    private boolean copySome() throws IOException {
        Segment oldest = segments.peekFirst();
        if (oldest == segments.peekLast()) {
            begin();
        }
        List<Staged> copies = new ArrayList<>();
        int bytes = 0;
        Iterator<Chain> chains = oldest.begun.iterator();
        while (chains.hasNext() && bytes < SLICE_BYTES) {
            Chain chain = chains.next();
            for (int i = 0; i < chain.places.size(); i++) {
                Staged copy = new Staged(i == 0 ? Layout.PUT : Layout.APPEND, chain, read(chain, i));
                copies.add(copy);
                bytes += copy.bytes();
            }
            if (chain.doubtful) {
                copies.add(new Staged(Layout.DOUBT, chain, new byte[0]));
            }
        }
        if (copies.isEmpty()) {
            return false;
        }
        write(copies, options.promise() == Promise.MACHINE);
        return true;
    }

    /** The oldest segment has nothing live: it goes, first from the manifest, then from the folder. */
    private void drop() throws IOException {
        Segment oldest = segments.pollFirst();
        try {
            writeManifest();
        } catch (IOException e) {
            segments.addFirst(oldest);
            throw e;
        }
        oldest.file.close();
        disk.delete(Layout.segmentName(oldest.id));
    }

    @Override
    public void close() throws IOException {
        try {
            for (Segment segment : segments) {
                segment.file.close();
            }
            mark.close();
        } finally {
            closeQuietly(lock);
        }
    }

    /** Values in memory, the one used last the longest; bounded in bytes. */
    private static final class Cache {
        private final long most;
        private final LinkedHashMap<Chain.Place, byte[]> values = new LinkedHashMap<>(64, 0.75f, true);
        private long bytes;

        Cache(long most) {
            this.most = most;
        }

        byte[] get(Chain.Place place) {
            return values.get(place);
        }

        void put(Chain.Place place, byte[] value) {
            if (value.length > most) {
                return;
            }
            byte[] old = values.put(place, value);
            bytes += value.length - (old == null ? 0 : old.length);
            Iterator<byte[]> eldest = values.values().iterator();
            while (bytes > most) {
                bytes -= eldest.next().length;
                eldest.remove();
            }
        }

        void forget(Chain.Place place) {
            byte[] old = values.remove(place);
            bytes -= old == null ? 0 : old.length;
        }
    }
}
