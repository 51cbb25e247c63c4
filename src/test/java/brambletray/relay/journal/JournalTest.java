package brambletray.relay.journal;

import static org.junit.jupiter.api.Assertions.*;

import brambletray.relay.membership.Discovery;
import brambletray.relay.message.Body;
import brambletray.relay.message.Message;
import brambletray.relay.store.MemoryDisk;
import brambletray.relay.store.Store;
import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.List;
import java.util.zip.CRC32;
import org.junit.jupiter.api.Test;

/** What is owed outlasts the process, within the limit of the folder. */
class JournalTest {
    private static final long LIMIT = 3_000_000;
    private static final long NOW = 1_899_999_990_000L;
    private MemoryDisk disk = new MemoryDisk();

    private Journal open() throws IOException {
        return Journal.open(disk, LIMIT, Store.Promise.PROCESS, 12);
    }

    private static Message message(String id, int bytes) {
        return new Message(id, "bill-post", 0, "house-3", "key-" + id, 7, 1_900_000_000_000L, Body.of(new byte[bytes]));
    }

    private static Journal.Entry take(Journal journal, String id, int bytes) throws IOException {
        Journal.Entry entry = journal.take(message(id, bytes), NOW);
        journal.commit();
        return entry;
    }

    private static Journal.Entry only(Journal journal) {
        assertEquals(1, journal.owed().size());
        return journal.owed().iterator().next();
    }

    private static List<String> ids(Journal journal) {
        return journal.owed().stream().map(e -> e.message.id()).toList();
    }

    @Test
    void allThatIsKnownOfAMessageIsReadBack() throws IOException {
        try (Journal journal = open()) {
            Journal.Entry entry = take(journal, "a", 300);
            journal.sent(entry, 1_000, 2);
            journal.sent(entry, 2_000, 1);
            journal.notRun(entry, 0);
            journal.ended(entry, new Journal.End(true, 500_000));
        }
        for (int start = 0; start < 2; start++) {
            try (Journal journal = open()) {
                Journal.Entry entry = only(journal);
                assertEquals("a", entry.message.id());
                assertEquals("bill-post", entry.message.messageClass());
                assertEquals("house-3", entry.message.routeKey());
                assertEquals("key-a", entry.message.idempotencyKey());
                assertEquals(7, entry.message.destination());
                assertEquals(1_900_000_000_000L, entry.message.deadline());
                assertArrayEquals(new byte[300], entry.message.body().bytes());
                assertEquals(
                        List.of(1_000L, 2_000L),
                        entry.attempts.stream().map(a -> a.sent).toList());
                assertEquals(
                        List.of(2, 1), entry.attempts.stream().map(a -> a.zone).toList());
                assertEquals(
                        List.of(false, true),
                        entry.attempts.stream().map(a -> a.mayHaveRun).toList());
                assertEquals(new Journal.End(true, 500_000), entry.end);
            }
        }
    }

    @Test
    void endsThatAreOwedAreToldInTheProtocolsForm() throws IOException {
        try (Journal journal = open()) {
            journal.ended(take(journal, "a", 1), new Journal.End(true, 499_001));
            journal.ended(take(journal, "b", 1), new Journal.End(true, 0));
            journal.ended(take(journal, "c", 1), new Journal.End(false, 0));
        }
        try (Journal journal = open()) {
            assertEquals("""
                {"message":"a","outcome":"handed_back","retry_in_ms":500}
                {"message":"b","outcome":"handed_back"}
                {"message":"c","outcome":"given_up"}
                """, Discovery.lines(List.copyOf(journal.owed())));
        }
    }

    @Test
    void whatIsClosedIsForgotten() throws IOException {
        try (Journal journal = open()) {
            journal.closed(take(journal, "a", 10));
            take(journal, "b", 10);
        }
        try (Journal journal = open()) {
            assertEquals("b", only(journal).message.id());
        }
    }

    /** Guards what was not acknowledged against counting: what is staged when the process is killed never was. */
    @Test
    void whatIsNotCommittedNeverWas() throws IOException {
        Journal journal = open();
        Journal.Entry entry = take(journal, "a", 10);
        journal.sent(entry, 1_000, 0);
        journal.take(message("b", 10), NOW);
        journal.abandon();
        try (Journal again = open()) {
            assertTrue(only(again).attempts.isEmpty());
        }
    }

    /**
     * Guards the numbers of attempts: a send whose batch failed was not made, and what follows is not taken for it;
     * and the end that was told all the same is written with the next batch.
     */
    @Test
    void aFailedBatchIsMadeGoodByTheNext() throws IOException {
        try (Journal journal = open()) {
            Journal.Entry entry = take(journal, "a", 10);
            Journal.Entry ended = take(journal, "b", 10);
            Journal.Entry closed = take(journal, "c", 10);
            disk.fault((what, name, bytes) -> {
                if (what.equals("write")) {
                    throw new MemoryDisk.PartlyWritten(7);
                }
            });
            Journal.Attempt first = journal.sent(entry, 1_000, 0);
            journal.ended(ended, new Journal.End(false, 0));
            journal.closed(closed);
            Journal.Entry refused = journal.take(message("d", 10), NOW);
            assertThrows(IOException.class, journal::commit);
            assertFalse(first.mayHaveRun);
            assertFalse(refused.held());
            assertFalse(refused.uncertain());
            assertThrows(IOException.class, journal::commit);
            disk.fault((what, name, bytes) -> {});
            journal.sent(entry, 2_000, 1);
            journal.commit();
        }
        try (Journal journal = open()) {
            assertEquals(List.of("a", "b"), ids(journal));
            Journal.Entry a = journal.owed().iterator().next();
            assertEquals(
                    List.of(false, true),
                    a.attempts.stream().map(x -> x.mayHaveRun).toList());
            assertEquals(
                    List.of(1_000L, 2_000L),
                    a.attempts.stream().map(x -> x.sent).toList());
            assertNotNull(List.copyOf(journal.owed()).get(1).end);
        }
    }

    /** Guards clients: a message whose sync failed may be found later, so nobody may be told that it never was. */
    @Test
    void aMessageWhoseSyncFailedIsUncertain() throws IOException {
        Journal journal = Journal.open(disk, LIMIT, Store.Promise.MACHINE, 12);
        disk.fault((what, name, bytes) -> {
            if (what.equals("sync")) {
                throw new IOException("input/output error");
            }
        });
        Journal.Entry entry = journal.take(message("a", 10), NOW);
        assertThrows(IOException.class, journal::commit);
        assertFalse(entry.held());
        assertTrue(entry.uncertain());
        disk.fault((what, name, bytes) -> {});
        assertTrue(take(journal, "b", 10).held());
        journal.abandon();
        try (Journal again = Journal.open(disk.killed(), LIMIT, Store.Promise.MACHINE, 12)) {
            assertEquals(List.of("b"), ids(again), "what a failed sync covered is trusted");
        }
    }

    /** Damage may have hidden a send of what was there before it: that counts as one that may have run. */
    @Test
    void whatDamageMayHaveHiddenCountsAsSent() throws IOException {
        try (Journal journal = open()) {
            take(journal, "before", 10);
            take(journal, "hidden", 10);
            take(journal, "after", 10);
        }
        byte[] bytes = disk.bytes("seg-0000000001");
        int at = new String(bytes, java.nio.charset.StandardCharsets.ISO_8859_1).indexOf("hidden");
        bytes[at] ^= 1;
        disk.damage("seg-0000000001", bytes);
        for (int start = 0; start < 2; start++) {
            try (Journal journal = open()) {
                assertEquals(List.of("before", "after"), ids(journal));
                Journal.Entry before = journal.owed().iterator().next();
                assertEquals(1, before.attempts.size());
                assertTrue(before.attempts.get(0).mayHaveRun);
                assertEquals(NOW, before.attempts.get(0).sent);
                assertTrue(List.copyOf(journal.owed()).get(1).attempts.isEmpty());
            }
        }
    }

    /** Guards the limit on disk: bodies of 64 KiB times the open cap would exceed it, so room is reserved. */
    @Test
    void roomIsReservedAndNeverOverrun() throws IOException {
        disk.fault((what, name, bytes) -> assertTrue(disk.used() <= LIMIT, disk.used() + " bytes on disk"));
        try (Journal journal = open()) {
            int taken = 0;
            while (journal.take(message("m" + taken, 64 * 1024), NOW) != null) {
                taken++;
            }
            assertTrue(taken > 25, "only " + taken + " were taken");
            for (int round = 0; round < 200; round++) {
                for (Journal.Entry entry : journal.owed()) {
                    if (entry.attempts.size() < 12) {
                        journal.sent(entry, round, 0);
                        journal.notRun(entry, entry.attempts.size() - 1);
                    }
                }
                Journal.Entry oldest = journal.owed().iterator().next();
                journal.ended(oldest, new Journal.End(false, 0));
                journal.closed(oldest);
                journal.commit();
                while (journal.wantsCompaction()) {
                    journal.compact(() -> 0, 1);
                }
                assertNotNull(journal.take(message("n" + round, 64 * 1024), NOW), "a closed message frees its room");
                journal.commit();
                assertTrue(disk.used() <= LIMIT, disk.used() + " bytes on disk");
            }
        }
    }

    // ---- The one file of earlier relays ---------------------------------------------------------
    private static byte[] old(String... records) throws IOException {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        for (String record : records) {
            String[] parts = record.split(" ");
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            DataOutputStream out = new DataOutputStream(bytes);
            out.writeByte(List.of("taken", "sent", "notrun", "ended", "closed").indexOf(parts[0]) + 1);
            out.writeLong(Long.parseLong(parts[1]));
            switch (parts[0]) {
                case "taken" -> {
                    out.writeUTF(parts[2]);
                    out.writeUTF("bill-post");
                    out.writeInt(0);
                    out.writeBoolean(false);
                    out.writeBoolean(true);
                    out.writeUTF("key-" + parts[2]);
                    out.writeLong(7);
                    out.writeLong(1_900_000_000_000L);
                    out.writeInt(5);
                    out.writeBytes("hello");
                }
                case "sent" -> {
                    out.writeLong(Long.parseLong(parts[2]));
                    out.writeInt(1);
                }
                case "notrun" -> out.writeShort(Integer.parseInt(parts[2]));
                case "ended" -> {
                    out.writeBoolean(true);
                    out.writeLong(7_000);
                }
                default -> {}
            }
            CRC32 crc = new CRC32();
            crc.update(bytes.toByteArray());
            all.write(ByteBuffer.allocate(8)
                    .putInt(bytes.size())
                    .putInt((int) crc.getValue())
                    .array());
            bytes.writeTo(all);
        }
        return all.toByteArray();
    }

    private static final String[] LIFE = {
        "taken 1 a", "taken 2 b", "sent 1 1000", "notrun 1 0", "sent 1 2000", "closed 2", "taken 3 c", "ended 3"
    };

    private void assertMoved(Journal journal) throws IOException {
        assertEquals(List.of("a", "c"), ids(journal));
        Journal.Entry a = journal.owed().iterator().next();
        assertEquals("hello", new String(a.message.body().bytes(), java.nio.charset.StandardCharsets.US_ASCII));
        assertEquals("key-a", a.message.idempotencyKey());
        assertEquals(
                List.of(false, true), a.attempts.stream().map(x -> x.mayHaveRun).toList());
        assertEquals(new Journal.End(true, 7_000), List.copyOf(journal.owed()).get(1).end);
    }

    @Test
    void theOldFileIsMovedOverOnce() throws IOException {
        disk.damage("journal", old(LIFE));
        disk.damage("journal.new", new byte[10]);
        for (int start = 0; start < 2; start++) {
            try (Journal journal = open()) {
                assertMoved(journal);
                assertFalse(disk.exists("journal"));
                assertFalse(disk.exists("journal.new"));
            }
        }
    }

    /** A kill, or a power cut, at every operation of the move: the next start has all of it, once. */
    @Test
    void theMoveIsSafeAtEveryStep() throws IOException {
        for (Store.Promise promise : Store.Promise.values()) {
            for (int at = 0; at < 60; at++) {
                MemoryDisk moving = new MemoryDisk();
                moving.damage("journal", old(LIFE));
                int[] count = {0};
                int last = at;
                moving.fault((what, name, bytes) -> {
                    if (count[0]++ == last) {
                        moving.die();
                        throw new IOException("killed here");
                    }
                });
                try {
                    Journal.open(moving, LIMIT, promise, 12).abandon();
                } catch (IOException e) {
                    // Killed.
                }
                for (int draw = 0; draw < 10; draw++) {
                    MemoryDisk after = promise == Store.Promise.PROCESS
                            ? moving.killed()
                            : moving.cut(new java.util.SplittableRandom(at * 100 + draw));
                    try (Journal journal = Journal.open(after, LIMIT, promise, 12)) {
                        assertMoved(journal);
                    }
                }
            }
        }
    }

    /** The old file cut at every byte: what is whole before the cut counts, and the start goes on. */
    @Test
    void theOldFileMayBeCutAnywhere() throws IOException {
        byte[] whole = old(LIFE);
        for (int length = 0; length <= whole.length; length++) {
            disk = new MemoryDisk();
            disk.damage("journal", Arrays.copyOf(whole, length));
            try (Journal journal = open()) {
                assertTrue(journal.owed().size() <= 2);
                assertTrue(length < whole.length || journal.owed().size() == 2);
            }
        }
    }
}
