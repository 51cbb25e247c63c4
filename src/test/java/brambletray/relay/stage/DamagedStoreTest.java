package brambletray.relay.stage;

import static org.junit.jupiter.api.Assertions.*;

import brambletray.relay.journal.Journal;
import brambletray.relay.script.Script;
import brambletray.relay.script.ScriptReader;
import brambletray.relay.store.MemoryDisk;
import brambletray.relay.store.Store;
import brambletray.relay.store.UntrustedStore;
import java.io.IOException;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * The real relay, killed amid unsafe and keyed messages, started again on what a cut or damage left of its
 * store: the partners count effects, and every message that the store still knows gets its one end.
 */
class DamagedStoreTest {
    private static final boolean FULL = "full".equals(System.getProperty("torture"));
    private static final long S = 1_000_000_000L;

    @TempDir
    Path folder;

    private int runs;

    private static Script script() throws Exception {
        return ScriptReader.parse("cut.yaml", """
            name: cut
            length_s: 4
            fleet: {slots: 12, open: 60}
            traffic: {per_s: 30, until_s: 3, retries: 0}
            classes:
              - {name: pay, effect: unsafe, aim_ms: 1000, limit_ms: 3000}
              - {name: bill, effect: keyed, aim_ms: 1000, limit_ms: 4000, window_ms: 15000}
            partners:
              - {name: p, servers: 3, service: {law: exponential, mean_ms: 150}, queue: 4, limit: {per_s: 14, burst: 4}}
              - {name: q, servers: 2, service: {law: exponential, mean_ms: 150}, queue: 4}
            events:
              - {at_s: 0, for_s: 3, on: all, do: spoil, reset_after: 0.1, failed: 0.1}
            """);
    }

    private interface Harm {
        MemoryDisk to(MemoryDisk disk) throws IOException;
    }

    /** True if the relay came back; false if it said that the store cannot be trusted. */
    private boolean survives(Harm harm, String where) throws Exception {
        try (SimStage stage = new SimStage(script(), 5, folder.resolve("run-" + runs++ % 4))) {
            stage.runUntil(2 * S + 300_000_000L);
            stage.kill(0);
            MemoryDisk left = harm.to(stage.disk(0));
            Set<String> known = new HashSet<>();
            try (Journal journal = Journal.open(left.killed(), 3_000_000, Store.Promise.PROCESS, 12)) {
                journal.owed().forEach(e -> known.add(e.message.id()));
                assertEquals(journal.store().chains(Journal.SPACE).size(), known.size(), where + ": messages left out");
            } catch (UntrustedStore e) {
                return false;
            }
            stage.disk(0, left);
            stage.runUntil(2 * S + 800_000_000L);
            stage.restart(0);
            Score.Result r = stage.play();
            assertEquals(List.of(), r.breaches(), where);
            for (String id : r.lost()) {
                assertFalse(known.contains(id), where + ": " + id + " is known to the store and has no end");
            }
            return true;
        }
    }

    @Test
    void killedAndStartedOnItsFolderNothingIsLost() throws Exception {
        assertTrue(survives(disk -> disk, "as it was"));
    }

    /** Guards households against being billed twice: files cut and bytes altered anywhere. */
    @Test
    void startedOnADamagedFolderItRepeatsNothingBeyondTheClass() throws Exception {
        SplittableRandom random = new SplittableRandom(17);
        int cases = FULL ? 20_000 : 400;
        int back = 0;
        for (int i = 0; i < cases; i++) {
            int number = i;
            long seed = random.nextLong();
            boolean survived = survives(
                    disk -> {
                        SplittableRandom draw = new SplittableRandom(seed);
                        MemoryDisk left = disk.killed();
                        List<String> names = left.list();
                        String name = names.get(number % 5 == 0 ? draw.nextInt(names.size()) : names.size() - 1);
                        byte[] bytes = left.bytes(name);
                        if (bytes.length == 0) {
                            return left;
                        }
                        int at = draw.nextInt(bytes.length);
                        if (number % 2 == 0) {
                            left.damage(name, Arrays.copyOf(bytes, at));
                        } else {
                            bytes[at] ^= (byte) (1 << draw.nextInt(8));
                            left.damage(name, bytes);
                        }
                        return left;
                    },
                    "case " + i);
            back += survived ? 1 : 0;
        }
        assertTrue(back > cases * 8 / 10, back + " of " + cases + " came back");
    }

    /** Each tail of the log cut off at a record's end reads well, and is still told from the whole. */
    @Test
    void aLogCutAtAnyRecordsEndIsSeen() throws Exception {
        for (int back = 1; back <= (FULL ? 400 : 40); back++) {
            int records = back;
            survives(
                    disk -> {
                        MemoryDisk left = disk.killed();
                        String name = left.list().stream()
                                .filter(n -> n.startsWith("seg-"))
                                .reduce((a, b) -> b)
                                .orElseThrow();
                        byte[] bytes = left.bytes(name);
                        java.util.ArrayList<Integer> ends = new java.util.ArrayList<>();
                        for (int at = 40; at + 8 <= bytes.length; ) {
                            at += 8 + java.nio.ByteBuffer.wrap(bytes).getInt(at);
                            ends.add(at);
                        }
                        left.damage(name, Arrays.copyOf(bytes, ends.get(Math.max(0, ends.size() - 1 - records))));
                        return left;
                    },
                    back + " records cut off");
        }
    }
}
