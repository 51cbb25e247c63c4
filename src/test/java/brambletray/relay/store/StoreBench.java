package brambletray.relay.store;

import brambletray.relay.journal.Journal;
import brambletray.relay.message.Body;
import brambletray.relay.message.Message;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Comparator;
import java.util.Locale;
import org.h2.mvstore.MVMap;
import org.h2.mvstore.MVStore;

/** Measures the store beside the former journal, H2 MVStore and bare writes; run by bench/store. */
final class StoreBench {
    private static final int BODY = 200;
    private static final int HELD = 200;
    private static final long LIMIT = 3_000_000;

    private StoreBench() {}

    private interface Lives {
        void run(int lives) throws IOException;
    }

    private static Path folder() throws IOException {
        return Files.createTempDirectory("store-bench");
    }

    private static void clear(Path folder) throws IOException {
        try (var files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }

    private static Message message(long n, int body) {
        return new Message("id-" + n, "bill-post", 0, null, "key-" + n, 7, 1_900_000_000_000L, Body.of(new byte[body]));
    }

    /** Taken, sent and closed are three commits; so many are held at once. */
    private static void journal(Journal journal, int lives, int held, int body) throws IOException {
        ArrayDeque<Journal.Entry> open = new ArrayDeque<>();
        for (int i = 0; i < lives; i++) {
            Journal.Entry e = journal.take(message(i, body), 0);
            journal.commit();
            journal.sent(e, i, 0);
            journal.commit();
            open.add(e);
            if (open.size() > held) {
                journal.closed(open.poll());
                journal.commit();
            }
            if (journal.wantsCompaction()) {
                journal.compact(System::nanoTime, 500_000);
            }
        }
    }

    private static void former(FormerJournal journal, int lives, int held, int body) throws IOException {
        ArrayDeque<FormerJournal.Entry> open = new ArrayDeque<>();
        for (int i = 0; i < lives; i++) {
            FormerJournal.Entry e = journal.take(message(i, body));
            journal.sent(e, i, 0);
            open.add(e);
            if (open.size() > held) {
                journal.closed(open.poll());
            }
        }
    }

    private static double time(String what, int lives, Lives run) throws IOException {
        run.run(lives / 4);
        double[] took = new double[5];
        for (int i = 0; i < took.length; i++) {
            long began = System.nanoTime();
            run.run(lives);
            took[i] = (System.nanoTime() - began) / 1e3 / lives;
        }
        Arrays.sort(took);
        System.out.printf(
                Locale.ROOT,
                "%-52s %8.2f us a life (%.2f to %.2f), %,.0f records a second%n",
                what,
                took[2],
                took[0],
                took[4],
                3e6 / took[2]);
        return took[2];
    }

    private static void lives() throws IOException {
        System.out.println("Cost of a message's life (taken with 200 bytes, sent, closed; 200 held), median of five:");
        double bare = time("three bare writes of the same bytes", 60_000, lives -> {
            Path f = folder();
            try (FileChannel c =
                    FileChannel.open(f.resolve("x"), StandardOpenOption.CREATE, StandardOpenOption.WRITE)) {
                byte[][] pieces = {new byte[320], new byte[51], new byte[38]};
                long at = 0;
                for (int i = 0; i < lives; i++) {
                    for (byte[] piece : pieces) {
                        at += c.write(ByteBuffer.wrap(piece), at);
                        at = at > LIMIT ? 0 : at;
                    }
                }
            }
            clear(f);
        });
        double former = time("former journal, outlasts the process", 60_000, lives -> {
            Path f = folder();
            try (FormerJournal j = new FormerJournal(f, LIMIT, 12)) {
                former(j, lives, HELD, BODY);
            }
            clear(f);
        });
        double store = time("store, three commits, outlasts the process", 60_000, lives -> {
            Path f = folder();
            try (Journal j = Journal.open(new RealDisk(f), LIMIT, Store.Promise.PROCESS, 12)) {
                journal(j, lives, HELD, BODY);
            }
            clear(f);
        });
        double turn = time("store, taken and sent in one batch", 60_000, lives -> {
            Path f = folder();
            try (Journal j = Journal.open(new RealDisk(f), LIMIT, Store.Promise.PROCESS, 12)) {
                ArrayDeque<Journal.Entry> open = new ArrayDeque<>();
                for (int i = 0; i < lives; i++) {
                    Journal.Entry e = j.take(message(i, BODY), 0);
                    j.sent(e, i, 0);
                    if (open.size() >= HELD) {
                        j.closed(open.poll());
                    }
                    j.commit();
                    open.add(e);
                    if (j.wantsCompaction()) {
                        j.compact(System::nanoTime, 500_000);
                    }
                }
            }
            clear(f);
        });
        double h2 = time("H2 MVStore, a commit each, outlasts the process", 6_000, lives -> {
            Path f = folder();
            try (MVStore s = new MVStore.Builder()
                    .fileName(f.resolve("h2").toString())
                    .autoCommitDisabled()
                    .open()) {
                MVMap<Long, byte[]> taken = s.openMap("taken");
                MVMap<Long, byte[]> sent = s.openMap("sent");
                for (long i = 0; i < lives; i++) {
                    taken.put(i, new byte[300]);
                    s.commit();
                    sent.put(i, new byte[13]);
                    s.commit();
                    if (i >= HELD) {
                        taken.remove(i - HELD);
                        sent.remove(i - HELD);
                        s.commit();
                    }
                }
            }
            clear(f);
        });
        System.out.printf(
                Locale.ROOT,
                "ratios: store to former journal %.2f, one batch a turn to former %.2f, to bare"
                        + " writes %.2f, H2 to store %.1f%n%n",
                store / former,
                turn / former,
                turn / bare,
                h2 / store);
    }

    private static void syncs() throws IOException {
        System.out.println("Outlasts the machine: messages a second, so many waiting in a turn:");
        for (int waiting : new int[] {1, 16, 256}) {
            for (boolean group : new boolean[] {true, false}) {
                Path f = folder();
                int lives = Math.max(waiting, 512);
                try (Journal j = Journal.open(new RealDisk(f), 50_000_000, Store.Promise.MACHINE, 12)) {
                    long began = System.nanoTime();
                    for (int i = 0; i < lives; i++) {
                        j.take(message(i, BODY), 0);
                        if (!group || (i + 1) % waiting == 0) {
                            j.commit();
                        }
                    }
                    j.commit();
                    System.out.printf(
                            Locale.ROOT,
                            "  %3d waiting, %-22s %,9.0f%n",
                            waiting,
                            group ? "one sync for all" : "one sync each",
                            lives * 1e9 / (System.nanoTime() - began));
                }
                clear(f);
            }
        }
        System.out.println();
    }

    private static String percentiles(long[] nanos, int n) {
        long[] sorted = Arrays.copyOf(nanos, n);
        Arrays.sort(sorted);
        return String.format(
                Locale.ROOT,
                "50 %% %.3f  99 %% %.3f  99.9 %% %.3f  worst %.3f ms",
                sorted[n / 2] / 1e6,
                sorted[n * 99 / 100] / 1e6,
                sorted[(int) (n * 0.999)] / 1e6,
                sorted[n - 1] / 1e6);
    }

    /** What one call holds the event loop up for, with the folder nearly full of messages of 8 KiB. */
    private static void pauses() throws IOException {
        System.out.println("Pause of the loop, 3 MB nearly full (bodies of 8 KiB), 30,000 lives:");
        int lives = 30_000;
        for (int round = 0; round < 2; round++) {
            long[] took = new long[3 * lives];
            int n = 0;
            Path f = folder();
            try (FormerJournal j = new FormerJournal(f, LIMIT, 12)) {
                ArrayDeque<FormerJournal.Entry> open = new ArrayDeque<>();
                for (int i = 0; i < lives; i++) {
                    long began = System.nanoTime();
                    FormerJournal.Entry e = j.take(message(i, 8_192));
                    if (e == null) {
                        j.closed(open.poll());
                    } else {
                        open.add(e);
                    }
                    took[n++] = System.nanoTime() - began;
                }
                System.out.println((round == 0 ? "  (warming up) " : "  ") + "former journal, " + open.size()
                        + " held: " + percentiles(took, n));
            }
            clear(f);
            f = folder();
            n = 0;
            try (Journal j = Journal.open(new RealDisk(f), LIMIT, Store.Promise.PROCESS, 12)) {
                ArrayDeque<Journal.Entry> open = new ArrayDeque<>();
                for (int i = 0; i < lives; i++) {
                    long began = System.nanoTime();
                    Journal.Entry e = j.take(message(i, 8_192), 0);
                    if (e == null) {
                        j.closed(open.poll());
                    } else {
                        open.add(e);
                    }
                    j.commit();
                    took[n++] = System.nanoTime() - began;
                    if (j.wantsCompaction()) {
                        began = System.nanoTime();
                        j.compact(System::nanoTime, 500_000);
                        took[n++] = System.nanoTime() - began;
                    }
                }
                System.out.println((round == 0 ? "  (warming up) " : "  ") + "store, " + open.size() + " held: "
                        + percentiles(took, n));
            }
            clear(f);
        }
        System.out.println();
    }

    private static void recovery() throws IOException {
        System.out.println("Recovery:");
        for (int records : new int[] {1_000, 1_000, 100_000, 1_000_000}) {
            Path f = folder();
            try (Store s = Store.open(new RealDisk(f), new Store.Options(4L << 30, Store.Promise.PROCESS, 0))) {
                for (int i = 0; i < records; i++) {
                    s.put((byte) 1, i, new byte[300]);
                    if (i % 100 == 99) {
                        s.commit();
                    }
                }
                s.commit();
            }
            long began = System.nanoTime();
            try (Store s = Store.open(new RealDisk(f), new Store.Options(4L << 30, Store.Promise.PROCESS, 0))) {
                double took = (System.nanoTime() - began) / 1e6;
                System.out.printf(
                        Locale.ROOT,
                        "  %,9d records: %.1f ms, %.2f us a record%n",
                        s.found().records(),
                        took,
                        took * 1e3 / records);
            }
            clear(f);
        }
        System.out.println();
    }

    private static void sizes() throws IOException {
        for (int body : new int[] {0, 200, 8_192, 65_536}) {
            Path f = folder();
            try (Journal j = Journal.open(new RealDisk(f), LIMIT, Store.Promise.PROCESS, 12)) {
                int held = 0;
                while (j.take(message(held, body), 0) != null) {
                    j.commit();
                    held++;
                }
                System.out.printf(
                        Locale.ROOT,
                        "3 MB hold %,d messages with a body of %,d bytes; %,.0f bytes on disk each%n",
                        held,
                        body,
                        j.store().live() / (double) held);
            }
            clear(f);
        }
    }

    public static void main(String[] args) throws IOException {
        lives();
        syncs();
        pauses();
        recovery();
        sizes();
    }
}
