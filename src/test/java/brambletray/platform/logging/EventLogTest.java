package brambletray.platform.logging;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import org.junit.jupiter.api.Test;

class EventLogTest {
    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private long now = 1_234;
    private final JsonLogHandler handler = new JsonLogHandler(out, () -> now, "n\"1");

    private List<String> lines() {
        String text = out.toString(StandardCharsets.UTF_8);
        out.reset();
        assertTrue(text.isEmpty() || text.endsWith("}\n"), text);
        return text.lines().toList();
    }

    private void publish(Level level, String message, Throwable thrown) {
        LogRecord entry = new LogRecord(level, message);
        entry.setLoggerName("replication");
        entry.setThrown(thrown);
        handler.publish(entry);
    }

    private void event(String event) {
        publish(Level.INFO, LogLine.begin(event).toString(), null);
    }

    @Test
    void throughTheLoggersOneObjectALine() {
        LogOutput.install("n0", Level.INFO, () -> now, out);
        LogOutput.install("n1", Level.INFO, () -> now, out);
        EventLog log = EventLog.of("failuredetection");
        log.debug("unheard").log();
        log.info("lost")
                .with("edge", "e\n1")
                .with("ms", 12)
                .with("share", 0.5)
                .with("bad", Double.NaN)
                .with("sure", true)
                .with("why", null)
                .log();
        log.warn("worse").log();
        assertEquals(
                List.of(
                        "{\"t\":1234,\"level\":\"info\",\"plane\":\"failuredetection\",\"node\":\"n1\",\"event\":\"lost\",\"edge\":\"e\\u000a1\",\"ms\":12,\"share\":0.5,"
                                + "\"bad\":\"NaN\",\"sure\":true,\"why\":null}",
                        "{\"t\":1234,\"level\":\"warn\",\"plane\":\"failuredetection\",\"node\":\"n1\",\"event\":\"worse\"}"),
                lines());
    }

    @Test
    void othersLinesAndWhatWasThrown() {
        publish(Level.SEVERE, "up {0} \"now\"", null);
        publish(Level.FINE, LogLine.begin("a\"b").toString(), new IllegalStateException("no\tway"));
        List<String> lines = lines();
        assertEquals(
                "{\"t\":1234,\"level\":\"error\",\"plane\":\"replication\",\"node\":\"n\\\"1\",\"event\":\"foreign\",\"text\":\"up {0} \\\"now\\\"\"}",
                lines.get(0));
        assertTrue(
                lines.get(1).contains("\"level\":\"debug\"")
                        && lines.get(1)
                                .contains(
                                        "\"event\":\"a\\\"b\",\"thrown\":"
                                                + "\"java.lang.IllegalStateException: no\\u0009way\",\"at\":\"brambletray.platform.logging.EventLogTest."),
                lines.get(1));
    }

    @Test
    void soManyOfOneEventInASecondTheRestCounted() {
        for (int i = 0; i < 50; i++) {
            event("a \"flood\"");
        }
        event("a \"drop\"");
        assertEquals(JsonLogHandler.MAX_LINES_PER_EVENT + 1, lines().size());
        now += JsonLogHandler.RATE_WINDOW_MS - 1;
        event("a \"flood\"");
        assertEquals(List.of(), lines());
        now++;
        event("other");
        List<String> lines = lines();
        assertEquals(2, lines.size());
        assertTrue(
                lines.get(0)
                        .endsWith(
                                "\"plane\":\"replication\",\"node\":\"n\\\"1\",\"event\":\"a \\\"flood\\\"\",\"skipped\":31}"),
                lines.get(0));
        for (int i = 0; i < JsonLogHandler.MAX_LINES_PER_EVENT + 1; i++) {
            event("flood");
        }
        assertEquals(JsonLogHandler.MAX_LINES_PER_EVENT, lines().size());
        now += JsonLogHandler.RATE_WINDOW_MS;
        event("other");
        assertTrue(lines().get(0).endsWith("\"flood\",\"skipped\":1}"), "counted anew");
    }

    @Test
    void boundsOnEventsAndTexts() {
        for (int i = 0; i < JsonLogHandler.MAX_EVENTS + 500; i++) {
            event("e" + i);
        }
        assertEquals(JsonLogHandler.MAX_EVENTS + JsonLogHandler.MAX_LINES_PER_EVENT, lines().size());
        StringBuilder built = LogLine.begin("e");
        LogLine.appendField(built, "long", "x".repeat(5_000));
        String line = built.toString();
        assertTrue(line.length() < LogLine.MAX_TEXT_LENGTH + 40 && line.endsWith("x...\""), line);
    }
}
