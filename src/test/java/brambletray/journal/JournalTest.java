package brambletray.journal;

import static org.junit.jupiter.api.Assertions.*;

import brambletray.membership.Discovery;
import brambletray.message.Message;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** What is owed outlasts the process, within the limit of the folder. */
class JournalTest {
    private static final long LIMIT = 3_000_000;

    @TempDir
    Path folder;

    private Journal open() throws IOException {
        return new Journal(folder, LIMIT, 12);
    }

    private static Message message(String id, int bytes) {
        return new Message(id, "bill-post", 0, "house-3", "key-" + id, 7, 1_900_000_000_000L, new byte[bytes]);
    }

    private static Journal.Entry only(Journal journal) {
        assertEquals(1, journal.owed().size());
        return journal.owed().iterator().next();
    }

    private long onDisk() throws IOException {
        try (var files = Files.list(folder)) {
            return files.mapToLong(f -> (f.toFile().length() + 511) / 512 * 512).sum();
        }
    }

    @Test
    void allThatIsKnownOfAMessageIsReadBack() throws IOException {
        try (Journal journal = open()) {
            Journal.Entry entry = journal.take(message("a", 300));
            journal.sent(entry, 1_000, 2);
            journal.sent(entry, 2_000, 1);
            journal.notRun(entry, 0);
            journal.ended(entry, new Journal.End(true, 500_000));
        }
        // Twice: what the first start wrote anew must read the same.
        for (int start = 0; start < 2; start++) {
            try (Journal journal = open()) {
                Journal.Entry entry = only(journal);
                assertEquals("a", entry.message.id());
                assertEquals("bill-post", entry.message.messageClass());
                assertEquals("house-3", entry.message.routeKey());
                assertEquals("key-a", entry.message.idempotencyKey());
                assertEquals(7, entry.message.destination());
                assertEquals(1_900_000_000_000L, entry.message.deadline());
                assertArrayEquals(new byte[300], entry.message.body());
                assertEquals(List.of(1_000L, 2_000L), entry.attempts.stream().map(a -> a.sent).toList());
                assertEquals(List.of(2, 1), entry.attempts.stream().map(a -> a.zone).toList());
                assertEquals(List.of(false, true), entry.attempts.stream().map(a -> a.mayHaveRun).toList());
                assertEquals(new Journal.End(true, 500_000), entry.end);
            }
        }
    }

    /** Guards the form of notices: a time to come back only with what is handed back, in whole milliseconds. */
    @Test
    void anEndReadBackIsTheNoticeThatWasOwed() throws IOException {
        try (Journal journal = open()) {
            journal.ended(journal.take(message("a", 1)), new Journal.End(true, 499_001));
            journal.ended(journal.take(message("b", 1)), new Journal.End(true, 0));
            journal.ended(journal.take(message("c", 1)), new Journal.End(false, 0));
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
            journal.closed(journal.take(message("a", 10)));
            journal.take(message("b", 10));
        }
        try (Journal journal = open()) {
            assertEquals("b", only(journal).message.id());
        }
    }

    /** Guards against a kill in the middle of a write: the records before it count, new ones follow them. */
    @Test
    void aTornTailIsCutOff() throws IOException {
        try (Journal journal = open()) {
            journal.take(message("a", 100));
        }
        Path file = folder.resolve("journal");
        long whole = Files.size(file);
        try (Journal journal = open()) {
            journal.take(message("b", 100));
        }
        byte[] both = Files.readAllBytes(file);
        for (int length = (int) whole; length < both.length; length++) {
            Files.write(file, java.util.Arrays.copyOf(both, length));
            try (Journal journal = open()) {
                assertEquals("a", only(journal).message.id());
                journal.take(message("c", 100));
            }
            try (Journal journal = open()) {
                assertEquals(2, journal.owed().size());
            }
        }
    }

    /** Guards the numbers of attempts: one whose record failed never ran, and what follows is not taken for it. */
    @Test
    void aFailedWriteIsMadeGoodByTheNext() throws IOException {
        try (Journal journal = open()) {
            Journal.Entry entry = journal.take(message("a", 10));
            journal.close();
            assertThrows(IOException.class, () -> journal.sent(entry, 1_000, 0));
            journal.sent(entry, 2_000, 1);
        }
        try (Journal journal = open()) {
            assertEquals(List.of(false, true), only(journal).attempts.stream().map(a -> a.mayHaveRun).toList());
        }
    }

    @Test
    void aRecordThatDoesNotCheckEndsTheFile() throws IOException {
        try (Journal journal = open()) {
            journal.take(message("a", 100));
            journal.take(message("b", 100));
        }
        Path file = folder.resolve("journal");
        byte[] bytes = Files.readAllBytes(file);
        bytes[bytes.length - 1] ^= 1;
        Files.write(file, bytes, StandardOpenOption.TRUNCATE_EXISTING);
        try (Journal journal = open()) {
            assertEquals("a", only(journal).message.id());
        }
    }

    /** Guards the limit on disk: bodies of 64 KiB times the open cap would exceed it, so room is reserved. */
    @Test
    void roomIsReservedAndNeverOverrun() throws IOException {
        try (Journal journal = open()) {
            int taken = 0;
            while (journal.take(message("m" + taken, 64 * 1024)) != null) {
                taken++;
            }
            assertTrue(taken > 10, "only " + taken + " were taken");
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
                assertNotNull(journal.take(message("n" + round, 64 * 1024)), "a closed message frees its room");
                assertTrue(onDisk() <= LIMIT, onDisk() + " bytes on disk");
            }
        }
    }

    /** Guards the start: records that check but make no sense are skipped, what is owed is still taken up. */
    @Test
    void recordsThatMakeNoSenseDoNotStopTheStart() throws IOException {
        try (Journal journal = new Journal(folder, 3_000_000, 12)) {
            journal.take(new Message("a", "bill", 0, null, null, 7, 0, new byte[3]));
        }
        byte[][] odd = {{9, 0, 0, 0, 0, 0, 0, 0, 1}, {3, 0, 0, 0, 0, 0, 0, 0, 1, 0, 77},
            {3, 0, 0, 0, 0, 0, 0, 0, 1, -1, -1}, {1, 0, 0, 0, 0, 0, 0, 0, 5}, {2}};
        for (byte[] content : odd) {
            java.util.zip.CRC32 crc = new java.util.zip.CRC32();
            crc.update(content);
            Files.write(folder.resolve("journal"), java.nio.ByteBuffer.allocate(8 + content.length)
                .putInt(content.length).putInt((int) crc.getValue()).put(content).array(),
                java.nio.file.StandardOpenOption.APPEND);
        }
        try (Journal journal = new Journal(folder, 3_000_000, 12)) {
            assertEquals(List.of("a"), journal.owed().stream().map(e -> e.message.id()).toList());
        }
    }
}
