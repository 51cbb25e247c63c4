package brambletray.relay.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Stream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A folder of a relay that an earlier build has written is read: src/test/resources/brambletray/stored. */
class StoredDataTest {
    private static final Path WRITTEN = Path.of("src/test/resources/brambletray/stored/relay");

    @TempDir
    private Path dir;

    @BeforeEach
    void copy() throws IOException {
        try (Stream<Path> files = Files.list(WRITTEN)) {
            for (Path file : files.toList()) {
                Files.copy(file, dir.resolve(file.getFileName()));
            }
        }
    }

    private String run(String verb) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        int code = Verbs.run(
                new String[] {"store", verb, dir.toString()},
                new PrintStream(out, true, StandardCharsets.UTF_8),
                System.err);
        assertEquals(0, code);
        return out.toString(StandardCharsets.UTF_8);
    }

    @Test
    void nothingIsMissing() throws IOException {
        assertTrue(run("verify").contains("all as it was written"));
    }

    @Test
    void eachOwedMessageIsThereWithItsAttempts() throws IOException {
        String records = run("dump");
        for (int i = 1; i <= 3; i++) {
            assertTrue(
                    records.contains("id line-" + i + " class bill-post tenant 0 route-key null key line-" + i),
                    records);
        }
        assertTrue(records.contains("not run, attempt 0"), records);
    }
}
