package brambletray.relay.inventory;

import static org.junit.jupiter.api.Assertions.*;

import brambletray.common.runtime.Machine;
import brambletray.common.yaml.Faults;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.io.RandomAccessFile;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.attribute.FileTime;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Files that are edited in every way, on a real file system. */
@Timeout(value = 300, unit = TimeUnit.SECONDS)
class FollowerTest {
    private static final int REWRITES = Integer.getInteger("rewrites", 40);
    private static final int POLL = 2;
    private static final int SETTLE = 10;

    @TempDir
    Path folder;

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final ExecutorService reader = Executors.newSingleThreadExecutor();
    private final BlockingQueue<Inventory.Parsed> read = new LinkedBlockingQueue<>();
    private Follower follower;

    /** How a file is replaced. */
    enum Way {
        RENAME,
        IN_PLACE,
        LINK,
        FOLDER
    }

    private void follow(Path file) throws Exception {
        follower = new Follower(Machine.real(loop), file, POLL, SETTLE, reader, read::add);
        loop.submit(() -> follower.begin(false)).get();
    }

    @AfterEach
    void end() throws Exception {
        loop.submit(() -> follower.close()).get();
        reader.shutdownNow();
        group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS).sync();
    }

    /** All hosts of one version have its number for their rate. */
    private static byte[] version(int number) {
        Map<String, Entry> hosts = new LinkedHashMap<>();
        for (int i = 0; i < 5 + number % 20; i++) {
            hosts.put(
                    "h" + i,
                    new Entry("h" + i, "192.0.2." + (i + 1), 80, "http", 7, "a", "m", number, Entry.State.READY));
        }
        return Inventory.write(new Revision(hosts), true).getBytes(StandardCharsets.UTF_8);
    }

    private static int number(Inventory.Parsed parsed) {
        int number = (int) parsed.revision().hosts().get("h0").rate();
        assertTrue(parsed.sealed());
        assertTrue(
                parsed.revision().hosts().values().stream().allMatch(e -> e.rate() == number), "two versions in one");
        assertEquals(5 + number % 20, parsed.revision().hosts().size(), "half a version");
        return number;
    }

    private void write(Way way, int number) throws IOException {
        byte[] text = version(number);
        switch (way) {
            case RENAME ->
                Files.move(
                        Files.write(folder.resolve("new"), text),
                        folder.resolve("hosts.csv"),
                        StandardCopyOption.ATOMIC_MOVE,
                        StandardCopyOption.REPLACE_EXISTING);
            case IN_PLACE -> {
                // In pieces, as an editor does that writes as it goes.
                try (RandomAccessFile file =
                        new RandomAccessFile(folder.resolve("hosts.csv").toFile(), "rw")) {
                    file.setLength(0);
                    for (int from = 0; from < text.length; from += 97) {
                        file.write(text, from, Math.min(97, text.length - from));
                    }
                }
            }
            case LINK -> {
                Path to = Files.write(folder.resolve("v" + number % 3 + ".csv"), text);
                Path link = folder.resolve("link");
                Files.deleteIfExists(link);
                Files.createSymbolicLink(link, to);
                Files.move(
                        link,
                        folder.resolve("hosts.csv"),
                        StandardCopyOption.ATOMIC_MOVE,
                        StandardCopyOption.REPLACE_EXISTING);
            }
            default -> {
                // A folder that is taken away and put back with another file in it.
                Path away = folder.resolve("away");
                Files.createDirectories(folder.resolve("sub"));
                Files.move(folder.resolve("sub"), away, StandardCopyOption.ATOMIC_MOVE);
                Files.write(away.resolve("hosts.csv"), text);
                Files.move(away, folder.resolve("sub"), StandardCopyOption.ATOMIC_MOVE);
            }
        }
    }

    /** Every version that is read is one that the writer finished; the last one is always read. */
    @ParameterizedTest
    @EnumSource(Way.class)
    void rewrittenAgainAndAgain(Way way) throws Exception {
        Path file = way == Way.FOLDER ? folder.resolve("sub").resolve("hosts.csv") : folder.resolve("hosts.csv");
        follow(file);
        long[] took = new long[REWRITES];
        int last = 0;
        for (int n = 1; n <= REWRITES; n++) {
            write(way, n);
            if (n % 3 == 0 && n < REWRITES) {
                // Two edits at once: only the second one has to be read.
                took[n - 1] = -1;
                continue;
            }
            long from = System.nanoTime();
            while (last < n) {
                Inventory.Parsed parsed = read.poll(30, TimeUnit.SECONDS);
                assertNotNull(parsed, "version " + n + " was not read");
                int got = number(parsed);
                assertTrue(got >= last && got <= n, got + " after " + last);
                last = got;
            }
            took[n - 1] = System.nanoTime() - from;
        }
        long[] sorted = Arrays.stream(took).filter(t -> t >= 0).sorted().toArray();
        System.out.printf(
                "%s: from edit to effect %.1f ms (50 %%), %.1f ms (99 %%); poll %d ms, settle %d ms%n",
                way, sorted[sorted.length / 2] / 1e6, sorted[sorted.length * 99 / 100] / 1e6, POLL, SETTLE);
    }

    /** The system's events alone: the file would be looked at by turns an hour later. */
    @ParameterizedTest
    @EnumSource(
            value = Way.class,
            names = {"RENAME", "IN_PLACE"})
    void eventsTellOfAnEditAtOnce(Way way) throws Exception {
        write(way, 1);
        follower = new Follower(
                Machine.real(loop), folder.resolve("hosts.csv"), 3_600_000, SETTLE, true, reader, read::add);
        loop.submit(() -> follower.begin(true)).get();
        for (int n = 2; n <= REWRITES / 4; n++) {
            write(way, n);
            int last = 0;
            while (last < n) {
                Inventory.Parsed parsed = read.poll(30, TimeUnit.SECONDS);
                assertNotNull(parsed, "version " + n + " was not read");
                last = number(parsed);
            }
        }
    }

    /** Two edits that look the same (key, size and time): an event or an operator's word has it read once more. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void anEditThatLooksLikeNoneIsRead(boolean events) throws Exception {
        Path file = folder.resolve("hosts.csv");
        Files.write(file, version(21));
        FileTime time = Files.getLastModifiedTime(file);
        follower = new Follower(Machine.real(loop), file, 3_600_000, SETTLE, events, reader, read::add);
        loop.submit(() -> follower.begin(true)).get();
        try (RandomAccessFile open = new RandomAccessFile(file.toFile(), "rw")) {
            open.write(version(41));
        }
        Files.setLastModifiedTime(file, time);
        if (!events) {
            loop.submit(() -> follower.readAgain()).get();
        }
        assertEquals(41, number(read.poll(30, TimeUnit.SECONDS)));
    }

    /** The system's clock is set back, and forward: edits are told by a time that is another, not by a later one. */
    @Test
    void aStepOfTheClockHidesNoEdit() throws Exception {
        Path file = folder.resolve("hosts.csv");
        Files.write(file, version(1));
        follow(file);
        assertEquals(1, number(read.poll(30, TimeUnit.SECONDS)));
        long[] steps = {-3_600_000, 3_600_000, -86_400_000, 0};
        for (int i = 0; i < steps.length; i++) {
            Path fresh = Files.write(folder.resolve("new"), version(2 + i));
            Files.setLastModifiedTime(fresh, FileTime.fromMillis(System.currentTimeMillis() + steps[i]));
            Files.move(fresh, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
            assertEquals(2 + i, number(read.poll(30, TimeUnit.SECONDS)));
        }
    }

    /** Whatever the file is cut to, nothing but the whole version is ever read as sealed. */
    @Test
    void cutAtEveryByte() throws Exception {
        byte[] whole = version(3);
        Path file = folder.resolve("hosts.csv");
        for (int length = 0; length < whole.length - 1; length++) {
            Files.write(file, Arrays.copyOf(whole, length));
            try {
                assertFalse(Inventory.read(file).sealed(), "cut to " + length);
            } catch (Faults e) {
                assertFalse(e.lines().isEmpty());
            }
        }
        follow(file);
        Files.write(file, whole);
        assertEquals(3, number(read.poll(30, TimeUnit.SECONDS)));
    }

    /** A file that can't be opened, and one far too large, change nothing; mended, it is read. */
    @Test
    void whatCannotBeReadIsLeftAlone() throws Exception {
        Path file = folder.resolve("hosts.csv");
        try (RandomAccessFile large = new RandomAccessFile(file.toFile(), "rw")) {
            large.setLength(64 << 20);
        }
        Faults refused = assertThrows(Faults.class, () -> Inventory.read(file));
        assertTrue(refused.getMessage().contains("expected no more than"));
        follow(file);
        Files.delete(file);
        Files.createDirectory(file);
        assertThrows(IOException.class, () -> Inventory.read(file));
        Files.delete(file);
        Files.write(file, version(1));
        assertEquals(1, number(read.poll(30, TimeUnit.SECONDS)));
        Files.setPosixFilePermissions(file, Set.of());
        Files.write(folder.resolve("new"), version(2));
        Files.move(folder.resolve("new"), file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        assertEquals(2, number(read.poll(30, TimeUnit.SECONDS)));
        assertTrue(read.isEmpty());
    }
}
