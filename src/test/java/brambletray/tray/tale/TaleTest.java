package brambletray.tray.tale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import org.junit.jupiter.api.Test;

class TaleTest {
    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private long now = 1_234;
    private final TaleHandler handler = new TaleHandler(out, () -> now, "n\"1");

    private List<String> lines() {
        String text = out.toString(StandardCharsets.UTF_8);
        out.reset();
        assertTrue(text.isEmpty() || text.endsWith("}\n"), text);
        return text.lines().toList();
    }

    private void publish(Level level, String message, Throwable thrown) {
        LogRecord entry = new LogRecord(level, message);
        entry.setLoggerName("view");
        entry.setThrown(thrown);
        handler.publish(entry);
    }

    private void event(String event) {
        publish(Level.INFO, Line.of(event), null);
    }

    @Test
    void throughTheLoggersOneObjectALine() {
        Tales.begin("n0", Level.INFO, () -> now, out);
        Tales.begin("n1", Level.INFO, () -> now, out);
        Tale tale = Tale.of("ring");
        tale.debug("unheard");
        tale.tell("lost", "edge", "e\n1", "ms", 12, "share", 0.5, "bad", Double.NaN, "sure", true, "why", null, "odd");
        tale.warn("worse");
        assertEquals(
                List.of(
                        "{\"t\":1234,\"level\":\"info\",\"plane\":\"ring\",\"node\":\"n1\",\"event\":\"lost\",\"edge\":\"e\\u000a1\",\"ms\":12,\"share\":0.5,"
                                + "\"bad\":\"NaN\",\"sure\":true,\"why\":null}",
                        "{\"t\":1234,\"level\":\"warn\",\"plane\":\"ring\",\"node\":\"n1\",\"event\":\"worse\"}"),
                lines());
    }

    @Test
    void othersLinesAndWhatWasThrown() {
        publish(Level.SEVERE, "up {0} \"now\"", null);
        publish(Level.FINE, Line.of("a\"b"), new IllegalStateException("no\tway"));
        List<String> lines = lines();
        assertEquals(
                "{\"t\":1234,\"level\":\"error\",\"plane\":\"view\",\"node\":\"n\\\"1\",\"event\":\"foreign\",\"text\":\"up {0} \\\"now\\\"\"}",
                lines.get(0));
        assertTrue(
                lines.get(1).contains("\"level\":\"debug\"")
                        && lines.get(1)
                                .contains(
                                        "\"event\":\"a\\\"b\",\"thrown\":"
                                                + "\"java.lang.IllegalStateException: no\\u0009way\",\"at\":\"brambletray.tray.tale.TaleTest."),
                lines.get(1));
    }

    @Test
    void soManyOfOneEventInASecondTheRestCounted() {
        for (int i = 0; i < 50; i++) {
            event("a \"flood\"");
        }
        event("a \"drop\"");
        assertEquals(TaleHandler.MOST + 1, lines().size());
        now += TaleHandler.SPAN - 1;
        event("a \"flood\"");
        assertEquals(List.of(), lines());
        now++;
        event("other");
        List<String> lines = lines();
        assertEquals(2, lines.size());
        assertTrue(
                lines.get(0)
                        .endsWith(
                                "\"plane\":\"view\",\"node\":\"n\\\"1\",\"event\":\"a \\\"flood\\\"\",\"skipped\":31}"),
                lines.get(0));
        for (int i = 0; i < TaleHandler.MOST + 1; i++) {
            event("flood");
        }
        assertEquals(TaleHandler.MOST, lines().size());
        now += TaleHandler.SPAN;
        event("other");
        assertTrue(lines().get(0).endsWith("\"flood\",\"skipped\":1}"), "counted anew");
    }

    @Test
    void boundsOnEventsAndTexts() {
        for (int i = 0; i < TaleHandler.EVENTS + 500; i++) {
            event("e" + i);
        }
        assertEquals(TaleHandler.EVENTS + TaleHandler.MOST, lines().size());
        String line = Line.of("e", "long", "x".repeat(5_000));
        assertTrue(line.length() < Line.LONGEST + 40 && line.endsWith("x...\""), line);
    }
}
