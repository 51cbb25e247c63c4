package brambletray.platform.logging;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brambletray.platform.interleaving.Turns;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import org.junit.jupiter.api.Test;

/** Threads that log at the same time, under every order of their turns. */
class JsonLogHandlerTurnsTest {
    /** What was written; another thread may go on before each write. */
    private static final class Output extends ByteArrayOutputStream {
        private final Turns turns;
        private int writes;

        private Output(Turns turns) {
            this.turns = turns;
        }

        @Override
        public void write(byte[] bytes, int offset, int count) {
            turns.point();
            writes++;
            super.write(bytes, offset, count);
        }
    }

    private static void publish(JsonLogHandler handler, String event, int lines) {
        for (int i = 0; i < lines; i++) {
            StringBuilder line = LogLine.begin(event);
            LogLine.appendField(line, "number", i);
            LogRecord entry = new LogRecord(Level.INFO, line.toString());
            entry.setLoggerName(event);
            handler.publish(entry);
        }
    }

    @Test
    void eachLineOfEachThreadIsWholeAndOneWrite() {
        int orders = Turns.everyOrder(turns -> {
            Output out = new Output(turns);
            long[] clock = new long[1];
            JsonLogHandler handler = new JsonLogHandler(
                    out,
                    () -> {
                        turns.point();
                        return clock[0]++;
                    },
                    "n",
                    turns.lock());
            turns.thread("loop", () -> publish(handler, "loop", 2));
            turns.thread("writer", () -> publish(handler, "writer", 1));
            turns.thread("signal", () -> publish(handler, "signal", 1));
            turns.run();
            List<String> lines = out.toString(StandardCharsets.UTF_8).lines().toList();
            assertEquals(4, lines.size());
            assertEquals(4, out.writes);
            for (int i = 0; i < lines.size(); i++) {
                String line = lines.get(i);
                assertTrue(
                        line.matches("\\{\"t\":" + i + ",\"level\":\"info\",\"plane\":\"(\\w+)\",\"node\":\"n\","
                                + "\"event\":\"\\1\",\"number\":\\d}"),
                        line);
            }
        });
        System.out.println("log: " + orders + " orders of turns");
        assertTrue(orders > 50, "few orders: " + orders);
    }

    /** Lines of one event beyond the bound are counted, whoever writes them. */
    @Test
    void noLineIsCountedTwiceOrNotAtAll() {
        int orders = Turns.everyOrder(turns -> {
            Output out = new Output(turns);
            JsonLogHandler handler = new JsonLogHandler(out, () -> 0, "n", turns.lock());
            publish(handler, "same", JsonLogHandler.MAX_LINES_PER_EVENT - 1);
            turns.thread("loop", () -> publish(handler, "same", 2));
            turns.thread("writer", () -> publish(handler, "same", 2));
            turns.run();
            assertEquals(JsonLogHandler.MAX_LINES_PER_EVENT, out.writes);
        });
        assertTrue(orders > 5, "few orders: " + orders);
    }
}
