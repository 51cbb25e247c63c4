package brambletray.relay.store;

import brambletray.relay.message.Body;
import brambletray.relay.message.Message;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;

/** What cuts and altered bytes did to the former journal: how often it forgot, without a word, that a bill was sent. */
final class FormerTorture {
    private FormerTorture() {}

    public static void main(String[] args) throws IOException {
        Path folder = Files.createTempDirectory("former");
        Map<String, Integer> sends = new HashMap<>();
        try (FormerJournal journal = new FormerJournal(folder, 3_000_000, 12)) {
            for (int i = 0; i < 40; i++) {
                FormerJournal.Entry e =
                        journal.take(new Message("m" + i, "pay", 0, null, null, 7, 0, Body.of(new byte[60])));
                for (int s = 0; s < i % 3; s++) {
                    journal.sent(e, s, 0);
                }
                if (i % 4 == 3) {
                    journal.closed(e);
                } else {
                    sends.put("m" + i, i % 3);
                }
            }
        }
        byte[] whole = Files.readAllBytes(folder.resolve("journal"));
        int cases = 0;
        int forgotten = 0;
        int back = 0;
        int lost = 0;
        for (int at = 0; at < whole.length; at++) {
            for (int how = 0; how < 2; how++) {
                byte[] damaged = how == 0 ? Arrays.copyOf(whole, at) : whole.clone();
                if (how == 1) {
                    damaged[at] ^= 4;
                }
                Path again = Files.createTempDirectory("former");
                Files.write(again.resolve("journal"), damaged);
                cases++;
                Map<String, Integer> found = new HashMap<>();
                try (FormerJournal journal = new FormerJournal(again, 3_000_000, 12)) {
                    journal.owed().forEach(e -> found.put(e.message.id(), e.attempts.size()));
                }
                forgotten += found.entrySet().stream().anyMatch(e -> e.getValue() < sends.getOrDefault(e.getKey(), 0))
                        ? 1
                        : 0;
                back += found.keySet().stream().anyMatch(id -> !sends.containsKey(id)) ? 1 : 0;
                lost += found.keySet().containsAll(sends.keySet()) ? 0 : 1;
                Files.delete(again.resolve("journal"));
                Files.delete(again);
            }
        }
        System.out.printf(
                "former journal, %d cuts and alterations: a send forgotten in %d, a closed message owed again in %d,"
                        + " messages dropped in %d; none of it told to the relay%n",
                cases, forgotten, back, lost);
    }
}
