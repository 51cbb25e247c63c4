package brambletray.relay.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Looks at a store from outside; writes nothing but what a salvage makes in another folder. */
public final class StoreTools {
    private StoreTools() {}

    /** One record as it stands in a file. */
    public record Record(String file, long at, long sequence, String sort, int space, long key, byte[] value) {}

    /** Takes records one by one. */
    public interface Records {
        void record(Record record) throws IOException;
    }

    /** Figures of a name space. */
    public record Space(int chains, int doubtful, long values, long bytes) {}

    /** Figures of a store: for each segment its name, bytes and what of it is live; for each name space. */
    public record Figures(
            long store, Map<String, long[]> segments, Map<Integer, Space> spaces, long records, long next) {}

    private static String sort(byte sort) {
        return switch (sort) {
            case Layout.PUT -> "put";
            case Layout.APPEND -> "append";
            case Layout.DELETE -> "delete";
            case Layout.DOUBT -> "doubt";
            default -> "sort " + sort;
        };
    }

    private interface Seen {
        void record(long sequence, Manifest.Entry segment, byte sort, byte space, long key, int at, int length);
    }

    private static Replay replay(Disk disk, Seen seen, Runnable hole) throws IOException {
        Replay replay = new Replay(disk, Store.manifest(disk), new Replay.Reader() {
            @Override
            public void record(
                    long sequence, Manifest.Entry segment, byte sort, byte space, long key, int at, int length) {
                seen.record(sequence, segment, sort, space, key, at, length);
            }

            @Override
            public void hole() {
                hole.run();
            }
        });
        replay.run();
        return replay;
    }

    /**
     * All that is not as it was written, in the order of the files; throws {@link UntrustedStore} where the
     * store cannot be trusted at all.
     */
    public static List<Damage> verify(Disk disk) throws IOException {
        if (!disk.exists(Layout.MANIFEST)) {
            throw new UntrustedStore(noStore(disk));
        }
        return replay(disk, (sequence, segment, sort, space, key, at, length) -> {}, () -> {})
                .damages();
    }

    private static String noStore(Disk disk) throws IOException {
        return disk.list().stream().anyMatch(Layout::isSegment)
                ? "MANIFEST is missing, but there are segments"
                : "no store: there is no MANIFEST";
    }

    /** Tells every record, dead ones too, in the order in which they were written. */
    public static void dump(Disk disk, Records told) throws IOException {
        if (!disk.exists(Layout.MANIFEST)) {
            throw new UntrustedStore(noStore(disk));
        }
        Map<Long, Disk.File> files = new HashMap<>();
        IOException[] failed = {null};
        try {
            replay(
                    disk,
                    (sequence, segment, sort, space, key, at, length) -> {
                        try {
                            String name = Layout.segmentName(segment.segment());
                            Disk.File file = files.get(segment.segment());
                            if (file == null) {
                                file = disk.open(name, false);
                                files.put(segment.segment(), file);
                            }
                            told.record(new Record(
                                    name,
                                    at - Layout.RECORD_HEAD,
                                    sequence,
                                    sort(sort),
                                    space,
                                    key,
                                    file.read(at, length)));
                        } catch (IOException e) {
                            failed[0] = e;
                        }
                    },
                    () -> {});
        } finally {
            for (Disk.File file : files.values()) {
                file.close();
            }
        }
        if (failed[0] != null) {
            throw failed[0];
        }
    }

    /** What a chain comes to, while it is put together from outside. */
    private static final class Sum {
        private final List<long[]> values = new ArrayList<>();
        private boolean doubtful;
    }

    private record Key(byte space, long key) {}

    /** What is live, by segment and by name space. */
    public static Figures stat(Disk disk) throws IOException {
        if (!disk.exists(Layout.MANIFEST)) {
            throw new UntrustedStore(noStore(disk));
        }
        Map<Key, Sum> chains = new HashMap<>();
        Replay replay = replay(
                disk,
                (sequence, segment, sort, space, key, at, length) -> {
                    Key name = new Key(space, key);
                    long[] value = {segment.segment(), (long) Layout.RECORD_HEAD + length};
                    switch (sort) {
                        case Layout.PUT -> {
                            Sum sum = new Sum();
                            sum.values.add(value);
                            chains.put(name, sum);
                        }
                        case Layout.APPEND ->
                            chains.computeIfPresent(name, (n, sum) -> {
                                sum.values.add(value);
                                return sum;
                            });
                        case Layout.DOUBT ->
                            chains.computeIfPresent(name, (n, sum) -> {
                                sum.doubtful = true;
                                return sum;
                            });
                        default -> chains.remove(name);
                    }
                },
                () -> chains.values().forEach(sum -> sum.doubtful = true));
        Manifest manifest = Store.manifest(disk);
        Map<String, long[]> segments = new TreeMap<>();
        for (Manifest.Entry entry : manifest.segments()) {
            String name = Layout.segmentName(entry.segment());
            long size = 0;
            if (disk.exists(name)) {
                Disk.File file = disk.open(name, false);
                size = file.size();
                file.close();
            }
            segments.put(name, new long[] {size, 0});
        }
        Map<Integer, Space> spaces = new TreeMap<>();
        chains.forEach((key, sum) -> {
            long bytes = 0;
            for (long[] value : sum.values) {
                bytes += value[1];
                segments.get(Layout.segmentName(value[0]))[1] += value[1];
            }
            long more = bytes;
            spaces.merge(
                    (int) key.space(),
                    new Space(1, sum.doubtful ? 1 : 0, sum.values.size(), more),
                    (a, b) -> new Space(
                            a.chains() + b.chains(),
                            a.doubtful() + b.doubtful(),
                            a.values() + b.values(),
                            a.bytes() + b.bytes()));
        });
        return new Figures(manifest.store(), segments, spaces, replay.records(), replay.next());
    }

    /**
     * Writes what can be read of a store into another, empty folder, also where the manifest cannot be
     * trusted. All of it counts as doubtful there. Returns how many chains it holds.
     */
    public static int salvage(Disk from, Disk to, long limit) throws IOException {
        if (to.list().stream().anyMatch(n -> n.equals(Layout.MANIFEST) || Layout.isSegment(n))) {
            throw new IOException("the new folder is not empty");
        }
        Manifest manifest = assumed(from);
        Map<Key, List<byte[]>> chains = new LinkedHashMap<>();
        Map<Long, Disk.File> files = new HashMap<>();
        IOException[] failed = {null};
        Replay replay = new Replay(from, manifest, new Replay.Reader() {
            @Override
            public void record(
                    long sequence, Manifest.Entry segment, byte sort, byte space, long key, int at, int length) {
                try {
                    Key name = new Key(space, key);
                    Disk.File file = files.get(segment.segment());
                    if (file == null) {
                        file = from.open(Layout.segmentName(segment.segment()), false);
                        files.put(segment.segment(), file);
                    }
                    if (sort == Layout.PUT) {
                        chains.remove(name);
                        chains.put(name, new ArrayList<>(List.of(file.read(at, length))));
                    } else if (sort == Layout.APPEND && chains.containsKey(name)) {
                        chains.get(name).add(file.read(at, length));
                    } else if (sort == Layout.DELETE) {
                        chains.remove(name);
                    }
                } catch (IOException e) {
                    failed[0] = e;
                }
            }

            @Override
            public void hole() {
                // All of it is doubtful in any case.
            }
        });
        replay.run();
        for (Disk.File file : files.values()) {
            file.close();
        }
        if (failed[0] != null) {
            throw failed[0];
        }
        try (Store store = Store.open(to, new Store.Options(limit, Store.Promise.MACHINE, 0))) {
            for (Map.Entry<Key, List<byte[]>> entry : chains.entrySet()) {
                Chain chain = store.put(
                        entry.getKey().space(),
                        entry.getKey().key(),
                        entry.getValue().get(0));
                entry.getValue().stream().skip(1).forEach(value -> store.append(chain, value));
                store.doubt(chain);
                store.commit();
            }
        }
        return chains.size();
    }

    /** The manifest, or what the segments' own heads say where it cannot be trusted. */
    private static Manifest assumed(Disk disk) throws IOException {
        if (disk.exists(Layout.MANIFEST)) {
            try {
                return Store.manifest(disk);
            } catch (UntrustedStore untrustedStore) {
                // The heads of the segments have to do.
            }
        }
        List<Manifest.Entry> entries = new ArrayList<>();
        long store = 0;
        for (String name : disk.list()) {
            if (!Layout.isSegment(name)) {
                continue;
            }
            Disk.File file = disk.open(name, false);
            byte[] head = file.read(0, Layout.SEGMENT_HEAD);
            file.close();
            if (head.length == Layout.SEGMENT_HEAD) {
                ByteBuffer in = ByteBuffer.wrap(head);
                long id = in.getLong(20);
                if (Arrays.equals(head, Layout.segmentHead(in.getLong(12), id, in.getLong(28)))) {
                    store = in.getLong(12);
                    entries.add(new Manifest.Entry(id, in.getLong(28), -1));
                }
            }
        }
        if (entries.isEmpty()) {
            throw new UntrustedStore("no segment has a head that checks: nothing can be salvaged");
        }
        entries.sort(Comparator.comparingLong(Manifest.Entry::segment));
        return new Manifest(store, 0, entries);
    }
}
