package brambletray.relay.inventory;

import brambletray.relay.control.Control;
import brambletray.relay.control.Relay;
import brambletray.relay.membership.HostList;
import brambletray.relay.wire.Wire;
import java.lang.management.ManagementFactory;
import java.lang.ref.Reference;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** Time to read, compare and take in inventories of 100 to 100,000 hosts, and heap for each; run by bench/inventory. */
final class InventoryBench {
    /** As the relay has it. */
    private static final int SLICE = 100;

    private InventoryBench() {}

    private static Revision hosts(int many, int altered) {
        Map<String, Entry> hosts = new LinkedHashMap<>();
        for (int i = 0; i < many; i++) {
            hosts.put(
                    "host-" + i,
                    new Entry(
                            "host-" + i,
                            "10." + (i >> 16) + "." + (i >> 8 & 255) + "." + (i & 255),
                            8_080,
                            "http",
                            1 + i / 4,
                            "a",
                            "m",
                            i < altered ? 20 : 10,
                            Entry.State.READY));
        }
        return new Revision(hosts);
    }

    private static double ms(long from) {
        return (System.nanoTime() - from) / 1e6;
    }

    private static long used() {
        System.gc();
        System.gc();
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }

    /**
     * What the loop does of a revision: 100 hosts a turn, taken in by the list and by a module that knows all of them.
     */
    private static void slices(Map<String, Entry> all, List<Double> pauses) throws Exception {
        HostList hosts = new HostList(List.of("a"), List.of("m"));
        Control control = new Control(1, settings());
        long now = 1;
        int seq = 0;
        for (double rate : new double[] {10, 20}) {
            List<String> lines = new ArrayList<>();
            for (Map.Entry<String, Entry> e : all.entrySet()) {
                lines.add("{\"host\":\"" + e.getKey() + "\",\"dial\":\""
                        + e.getValue().address() + ":8080\",\"site\":\"a\"," + "\"class\":\"m\",\"block\":"
                        + e.getValue().destination() + ",\"health\":\"ready\",\"share\":" + rate + "}");
            }
            for (int from = 0; from < lines.size(); from += SLICE) {
                Wire.Fields slice = Wire.decode("{\"seq\":" + ++seq + ",\"whole\":false,\"hosts\":["
                        + String.join(",", lines.subList(from, Math.min(lines.size(), from + SLICE))) + "]}");
                long collections = collections();
                long began = System.nanoTime();
                control.turn(now += 1_000, List.of(hosts.update(slice)));
                double took = ms(began);
                // A collection of this program's own heap is no figure of the loop's.
                if (collections() == collections) {
                    pauses.add(took);
                }
            }
        }
    }

    private static long collections() {
        return ManagementFactory.getGarbageCollectorMXBeans().stream()
                .mapToLong(gc -> gc.getCollectionCount())
                .sum();
    }

    private static Relay.Settings settings() {
        return new Relay.Settings(
                0,
                1,
                0,
                false,
                1,
                Relay.Weights.ROUGH,
                List.of(new Relay.MessageClass(
                        "bill", 2_000_000, 16_000_000, 1, 0.3, Relay.Effect.KEYED, false, 15_000_000, false)),
                List.of(),
                List.of(new Relay.Kind(true, 1)),
                new Relay.Allowed(100, 1_000, 12, false, true, 1, 800_000, 15_000_000, 3_000_000),
                new Relay.Rules(250_000, 2, 3_000_000, 0.2, 12_000_000, 0, 0),
                new Relay.Prices(0, 0, 0, 0, List.of()));
    }

    public static void main(String[] args) throws Exception {
        System.out.println(Runtime.getRuntime().availableProcessors() + " processors; the best of five; ms");
        System.out.println(
                "hosts      CSV bytes   read CSV  read YAML    compare  pass on: decode, take in    heap a host");
        for (int many : new int[] {100, 10_000, 100_000}) {
            byte[] csv = Inventory.write(hosts(many, 0), true).getBytes(StandardCharsets.UTF_8);
            byte[] yaml = Inventory.write(hosts(many, 0), false).getBytes(StandardCharsets.UTF_8);
            double[] best = {1e9, 1e9, 1e9, 1e9, 1e9};
            double heap = 0;
            List<Double> pauses = new ArrayList<>();
            for (int round = 0; round < 5; round++) {
                long from = System.nanoTime();
                Revision first = Inventory.parse("a.csv", csv).revision();
                best[0] = Math.min(best[0], ms(from));
                if (yaml.length < Inventory.BYTES_MOST) {
                    from = System.nanoTime();
                    Inventory.parse("a.yaml", yaml);
                    best[1] = Math.min(best[1], ms(from));
                }
                Reconciler reconciler = new Reconciler(0.3);
                reconciler.offer(first, true);
                Revision next = hosts(many, many / 10);
                from = System.nanoTime();
                var taken = (Reconciler.Taken) reconciler.offer(next, true);
                best[2] = Math.min(best[2], ms(from));
                StringBuilder list = new StringBuilder("{\"seq\":1,\"whole\":true,\"hosts\":[");
                taken.hosts()
                        .forEach((key, e) -> list.append(list.length() > 40 ? "," : "")
                                .append("{\"host\":\"")
                                .append(key)
                                .append("\",\"dial\":\"")
                                .append(e.address())
                                .append(":8080\",\"site\":\"a\",\"class\":\"m\",\"block\":")
                                .append(e.destination())
                                .append(",\"health\":\"ready\",\"share\":10}"));
                String json = list.append("]}").toString();
                HostList hosts = new HostList(List.of("a"), List.of("m"));
                from = System.nanoTime();
                Wire.Fields decoded = Wire.decode(json);
                best[3] = Math.min(best[3], ms(from));
                long before = used();
                from = System.nanoTime();
                hosts.update(decoded);
                best[4] = Math.min(best[4], ms(from));
                heap = (used() - before) / (double) many;
                Reference.reachabilityFence(List.of(decoded, json, taken, first, next, csv, yaml, reconciler, list));
                if (hosts.hosts().size() != many) {
                    throw new IllegalStateException("hosts are missing");
                }
                slices(taken.hosts(), pauses);
            }
            pauses.sort(null);
            System.out.printf(
                    Locale.ROOT,
                    "  the loop's turns of 100 hosts at most, with the module: %.2f ms (50 %%), %.2f (99 %%),"
                            + " %.2f the longest of %d%n",
                    pauses.get(pauses.size() / 2),
                    pauses.get(pauses.size() * 99 / 100),
                    pauses.get(pauses.size() - 1),
                    pauses.size());
            System.out.printf(
                    Locale.ROOT,
                    "%-7d %12d %10.1f %10s %10.2f %10.2f %10.2f %10.0f bytes%n",
                    many,
                    csv.length,
                    best[0],
                    best[1] > 1e8 ? "-" : String.format(Locale.ROOT, "%.1f", best[1]),
                    best[2],
                    best[3],
                    best[4],
                    heap);
        }
    }
}
