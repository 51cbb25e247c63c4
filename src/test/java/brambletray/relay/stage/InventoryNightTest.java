package brambletray.relay.stage;

import static org.junit.jupiter.api.Assertions.*;

import brambletray.common.runtime.Machine;
import brambletray.relay.core.CompletionListener;
import brambletray.relay.core.EventDispatcher;
import brambletray.relay.core.Platform;
import brambletray.relay.emulator.Endpoint;
import brambletray.relay.emulator.Ledger;
import brambletray.relay.inventory.Entry;
import brambletray.relay.inventory.Inventory;
import brambletray.relay.inventory.Revision;
import brambletray.relay.journal.Journal;
import brambletray.relay.membership.HostList;
import brambletray.relay.script.Script;
import brambletray.relay.script.ScriptReader;
import brambletray.relay.serve.RelayInstance;
import brambletray.relay.standalone.StandaloneRelay;
import brambletray.relay.store.Store;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.attribute.FileTime;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Function;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Relays on an inventory that is edited all the time, in simulated time: hosts taken out, drained, put back, the
 * file cut at any byte and mended, a relay killed and started again on whatever is there. No send to a host from
 * 250 ms after the relay can know, no message without its end, no effect twice.
 */
class InventoryNightTest {
    private static final long S = 1_000_000_000L;
    private static final long MS = 1_000_000;
    private static final int SEEDS = Integer.getInteger("seeds", 8);
    /** From the edit until the relay has read the file: it looks every 50 ms, and the file has to stand for 100. */
    private static final long LEARNT = 220 * MS;

    @TempDir
    Path folder;

    private static Script script() throws Exception {
        return ScriptReader.parse("inventory.yaml", """
            name: inventory-night
            length_s: 20
            fleet: {relays: 2, slots: 24, open: 120, zones: [a, b]}
            traffic: {per_s: 30, until_s: 16}
            classes:
              - {name: read, effect: safe, limit_ms: 8000}
              - {name: bill, effect: keyed, limit_ms: 8000, window_ms: 15000}
              - {name: pay, effect: unsafe, limit_ms: 8000}
            partners:
              - {name: m, endpoints: 4, traffic: 3, servers: 3, service: {law: exponential, mean_ms: 120}}
              - {name: n, endpoints: 2, traffic: 1, servers: 3, service: {law: exponential, mean_ms: 120}}
            events:
              - {at_s: 2, for_s: 12, on: [m, n], do: spoil, reset_before: 0.03, reset_after: 0.03, failed: 0.02}
              - {at_s: 5, for_s: 3, on: n.1, do: down}
            """);
    }

    /** The file, and what stands in it. */
    private final class Editor {
        private final Path file = folder.resolve("hosts.csv");
        private final Map<String, Entry> all = new LinkedHashMap<>();
        private final Map<String, Entry.State> now = new HashMap<>();
        private final SplittableRandom random;
        private int edits;
        private int cuts;
        private long stamps;

        Editor(long seed) {
            random = new SplittableRandom(seed);
        }

        /** The file as it stands now. */
        private byte[] text() {
            Map<String, Entry> listed = new LinkedHashMap<>();
            all.forEach((name, e) -> {
                if (now.get(name) != null) {
                    listed.put(
                            name,
                            new Entry(
                                    name,
                                    e.address(),
                                    e.port(),
                                    e.protocol(),
                                    e.destination(),
                                    e.zone(),
                                    e.kind(),
                                    e.rate(),
                                    now.get(name)));
                }
            });
            return Inventory.write(new Revision(listed), true).getBytes(StandardCharsets.UTF_8);
        }

        void replace(byte[] text) throws Exception {
            Path fresh = stamped(Files.write(folder.resolve("hosts.new"), text));
            Files.move(fresh, file, StandardCopyOption.REPLACE_EXISTING, StandardCopyOption.ATOMIC_MOVE);
        }

        /** With a time of its own: simulated seconds pass faster than a file system's clock ticks. */
        private Path stamped(Path file) throws Exception {
            return Files.setLastModifiedTime(file, FileTime.fromMillis(1_700_000_000_000L + ++stamps));
        }

        /** One edit; the ledger is told what each relay knows of it, once it must. */
        void edit(SimStage stage) throws Exception {
            edits++;
            String name = List.copyOf(all.keySet()).get(random.nextInt(all.size()));
            Entry.State next = switch (random.nextInt(3)) {
                case 0 -> null;
                case 1 -> Entry.State.DRAINING;
                default -> Entry.State.READY;
            };
            String partner = name.substring(0, 1);
            long left = now.entrySet().stream()
                    .filter(e -> e.getKey().startsWith(partner)
                            && !e.getKey().equals(name)
                            && e.getValue() == Entry.State.READY)
                    .count();
            now.put(name, left == 0 ? Entry.State.READY : next);
            byte[] whole = text();
            if (random.nextInt(3) == 0) {
                // Written in place and cut: whatever of it can be read is not to be believed.
                cuts++;
                stamped(Files.write(file, Arrays.copyOf(whole, random.nextInt(whole.length - 1))));
                run(stage, 50 + random.nextInt(400));
            }
            replace(whole);
            boolean ready = now.get(name) == Entry.State.READY;
            if (ready) {
                told(stage, name, true);
            }
            run(stage, LEARNT / MS);
            told(stage, name, ready);
        }

        private void told(SimStage stage, String name, boolean ready) {
            for (int relay = 0; relay < 2; relay++) {
                stage.scene().ledger().listed(stage.scene().now(), "10.1.0." + (relay + 1), name, ready);
            }
        }
    }

    private static void run(SimStage stage, long ms) {
        stage.runUntil(stage.simulation().now() + ms * MS);
    }

    /** The relay's own surroundings; what the platform would be told goes to the clients. */
    private record Told(RelayInstance.Surroundings inner, SimStage[] stage) implements RelayInstance.Surroundings {
        @Override
        public Platform platform(Machine machine, HostList hosts, EventDispatcher loop, Store store) {
            Platform platform = inner.platform(machine, hosts, loop, store);
            return new Platform() {
                @Override
                public void watch() {
                    platform.watch();
                }

                @Override
                public void postNotice(Journal.Entry entry) {
                    stage[0].scene()
                            .noticed(entry.message.id(), entry.end.handedBack(), entry.end.retryAfter() / 1_000);
                    platform.postNotice(entry);
                }

                @Override
                public boolean hasUnacknowledgedNotices() {
                    return false;
                }

                @Override
                public void onAgentAddressChanged(InetSocketAddress agent) {
                    platform.onAgentAddressChanged(agent);
                }
            };
        }

        @Override
        public CompletionListener ends(Machine machine, EventDispatcher loop, Store store, CompletionListener mqtt) {
            return inner.ends(machine, loop, store, mqtt);
        }

        @Override
        public Function<String, String> answers() {
            return inner.answers();
        }
    }

    @Test
    void theRulesHoldWhileTheFileIsEdited() throws Exception {
        long delivered = 0;
        int edits = 0;
        int cuts = 0;
        Path config = Files.writeString(folder.resolve("standalone.yaml"), """
            inventory: hosts.csv
            zones: [a, b]
            kinds: [partner]
            guards: {poll_ms: 50, settle_ms: 100, remove_most: 0.3}
            classes: [{name: read, effect: safe}]
            """);
        for (int seed = 1; seed <= SEEDS; seed++) {
            Editor editor = new Editor(seed);
            Script script = script();
            int index = 0;
            for (var partner : script.partners()) {
                for (var e : partner.endpoints()) {
                    editor.all.put(
                            e.name(),
                            new Entry(
                                    e.name(),
                                    "10.2.0." + ++index,
                                    8_080,
                                    "http",
                                    partner.destination(),
                                    e.zone(),
                                    "partner",
                                    partner.listedRate(),
                                    Entry.State.READY));
                    editor.now.put(e.name(), Entry.State.READY);
                }
            }
            editor.replace(editor.text());
            SimStage[] stage = new SimStage[1];
            try (SimStage night = new SimStage(script, seed, folder.resolve("s" + seed % 4), text -> text, relay -> {
                try {
                    return new Told(StandaloneRelay.surroundings(config, Runnable::run), stage);
                } catch (Exception e) {
                    throw new IllegalStateException(e);
                }
            })) {
                stage[0] = night;
                for (Endpoint e : night.scene().world().endpoints()) {
                    assertEquals(editor.all.get(e.name()).address(), night.ip(e).getHostAddress());
                }
                int kill = 4 + seed % 5;
                while (night.simulation().now() < 15 * S) {
                    run(night, 100 + editor.random.nextInt(500));
                    editor.edit(night);
                    if (night.simulation().now() > kill * S && kill > 0) {
                        kill = 0;
                        night.kill(seed % 2);
                        if (seed % 3 == 0) {
                            Files.writeString(editor.file, "half a ro");
                        }
                        run(night, 700);
                        night.restart(seed % 2);
                        run(night, 100);
                        editor.replace(editor.text());
                    }
                }
                Score.Result r = night.play();
                assertEquals(
                        List.of(),
                        r.breaches().stream()
                                .filter(b -> b.rule() != Ledger.Rule.EFFECT_TWICE || !night.isSafe(b.message()))
                                .toList(),
                        "seed " + seed);
                assertEquals(0, r.lostCount(), "seed " + seed + ": " + r.lost());
                delivered += r.delivered();
            }
            edits += editor.edits;
            cuts += editor.cuts;
        }
        assertTrue(delivered > SEEDS * 250L, delivered + " delivered");
        assertTrue(edits > SEEDS * 10 && cuts > SEEDS * 2, edits + " edits, " + cuts + " cuts");
    }
}
