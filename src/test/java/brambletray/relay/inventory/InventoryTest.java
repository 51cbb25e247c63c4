package brambletray.relay.inventory;

import static org.junit.jupiter.api.Assertions.*;

import brambletray.common.yaml.Faults;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class InventoryTest {
    private static final String HEAD = "name,address,port,destination\n";

    private static byte[] file(String name) throws IOException {
        try (var in = InventoryTest.class.getResourceAsStream("/inventory/" + name)) {
            return in.readAllBytes();
        }
    }

    private static Revision csv(String text) throws Faults {
        return Inventory.parse("a.csv", text.getBytes(StandardCharsets.UTF_8)).revision();
    }

    private static List<String> faults(String name, byte[] bytes) {
        return assertThrows(Faults.class, () -> Inventory.parse(name, bytes)).lines();
    }

    private static Entry host(String name, int last, Entry.State state) {
        return new Entry(name, "192.0.2." + last, 80, "http", 7, "a", "m1", 10, state);
    }

    private static Revision hosts(Entry... entries) {
        Map<String, Entry> hosts = new LinkedHashMap<>();
        for (Entry e : entries) {
            hosts.put(e.name(), e);
        }
        return new Revision(hosts);
    }

    /** The same three hosts, as three kinds of tools write them. */
    @Test
    void threeFormatsSayTheSame() throws Exception {
        Revision ansible = Inventory.parse("ansible.yaml", file("ansible.yaml")).revision();
        assertEquals(3, ansible.hosts().size());
        Entry n2 = ansible.hosts().get("n2");
        assertEquals(80, n2.rate());
        assertEquals(8443, n2.port());
        assertEquals(Destinations.number("north-grid"), n2.destination());
        assertEquals(Entry.State.DRAINING, ansible.hosts().get("s1").state());
        assertEquals(
                ansible,
                Inventory.parse("spreadsheet.csv", file("spreadsheet.csv")).revision());
        assertEquals(
                ansible, Inventory.parse("outputs.yaml", file("outputs.yaml")).revision());
    }

    @Test
    void whatSpreadsheetsDoToAFile() throws Exception {
        Revision plain = csv(HEAD + "a,192.0.2.1,80,7\nb,192.0.2.2,80,7\n");
        assertEquals(plain, csv("\uFEFF" + HEAD + "a,192.0.2.1,80,7\nb,192.0.2.2,80,7\n"));
        assertEquals(plain, csv((HEAD + "a,192.0.2.1,80,7\nb,192.0.2.2,80,7").replace("\n", "\r\n")));
        assertEquals(
                plain,
                csv("# kept by hand\n\nDestination;Name;Port;Address\n7;\"a\";80;192.0.2.1\n\n7;b;80;192.0.2.2\n"));
    }

    /** Each fault with its place, all of them at once. */
    @Test
    void everyFaultIsToldAtOnce() {
        List<String> lines = faults(
                "a.csv",
                (HEAD + "a,partner.example,80,7\n-x,192.0.2.2,0,7\nc,192.0.2.3,80\n" + "d,192.0.2.4,80,\n")
                        .getBytes(StandardCharsets.UTF_8));
        assertEquals(
                List.of(
                        "a.csv:2:2: address: expected an IP address, for names are not looked up, not 'partner.example'",
                        "a.csv:3:1: name: expected letters, digits, '.', '_', ':' and '-', up to 200, not '-x'",
                        "a.csv:3:3: port: expected a whole number from 1 to 65535, not '0'",
                        "a.csv:4:3: expected 4 fields as in the header, not 3",
                        "a.csv:5:4: destination: expected a value"),
                lines);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "name,address,port\\na,192.0.2.1,80|header: expected a column destination",
                "name,name,port\\n|at most once",
                "name,address,port,destination\\na,192.0.2.1,80,7\\na,192.0.2.2,80,7|line 2 has it too",
                "name,address,port,destination\\na,192.0.2.1,80,7\\nb,192.0.2.1,80,8|'a' has them too",
                "name,address,port,destination\\n\"a,192.0.2.1,80,7|not CSV",
                "name,address,port,destination\\na,192.0.2.1,80,7\\n# end of inventory: 2 hosts|expected them to be as many",
                "name,address,port,destination\\n|at least one host"
            })
    void wrongCsvIsTurnedAway(String text, String expected) {
        List<String> lines = faults("a.csv", text.replace("\\n", "\n").getBytes(StandardCharsets.UTF_8));
        assertTrue(lines.get(0).contains(expected), lines.toString());
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "hosts:\n  - {name: a, name: b}\n",
                "a: &x [1]\nb: *x\n",
                "hosts: 5\n",
                "all: {hosts: {a: {ansible_host: 192.0.2.1, brambletray_port: 80}}}\n",
                "- {name: a, colour: red}\n"
            })
    void wrongYamlIsTurnedAway(String text) {
        assertFalse(faults("a.yaml", text.getBytes(StandardCharsets.UTF_8)).isEmpty());
    }

    @Test
    void whatIsNoTextIsTurnedAway() {
        assertTrue(faults("a.csv", (HEAD + "\u00e4,192.0.2.1,80,7\n").getBytes(StandardCharsets.ISO_8859_1))
                .get(0)
                .contains("expected UTF-8"));
        assertTrue(
                faults("a.csv", HEAD.getBytes(StandardCharsets.UTF_16LE)).get(0).contains("null characters"));
    }

    /** Whatever a sealed file is cut to, it is refused, or not sealed; only the whole one is both. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void aSealedFileCutAnywhereIsSeen(boolean asCsv) throws Exception {
        Revision revision =
                Inventory.parse("ansible.yaml", file("ansible.yaml")).revision();
        String name = asCsv ? "a.csv" : "a.yaml";
        byte[] whole = Inventory.write(revision, asCsv).getBytes(StandardCharsets.UTF_8);
        assertEquals(revision, Inventory.parse(name, whole).revision());
        int refused = 0;
        for (int length = 0; length < whole.length - 1; length++) {
            try {
                Inventory.Parsed parsed = Inventory.parse(name, Arrays.copyOf(whole, length));
                if (parsed.sealed()) {
                    assertEquals(revision, parsed.revision(), "cut to " + length);
                }
            } catch (Faults e) {
                refused++;
            }
        }
        assertTrue(refused > whole.length / 3, refused + " refused");
    }

    /** The same of a file as Ansible keeps it: whatever is cut off, it is refused or seen not to be sealed. */
    @Test
    void aSealedAnsibleFileCutAnywhereIsSeen() throws Exception {
        String text = Files.readString(Path.of("src", "test", "resources", "inventory", "ansible.yaml"));
        int hosts = Inventory.parse("a.yaml", text.getBytes(StandardCharsets.UTF_8))
                .revision()
                .hosts()
                .size();
        byte[] whole =
                (text.stripTrailing() + "\n# end of inventory: " + hosts + " hosts").getBytes(StandardCharsets.UTF_8);
        assertTrue(Inventory.parse("a.yaml", whole).sealed());
        int refused = 0;
        for (int length = 0; length < whole.length; length++) {
            try {
                assertFalse(
                        Inventory.parse("a.yaml", Arrays.copyOf(whole, length)).sealed(), "cut to " + length);
            } catch (Faults e) {
                refused++;
            }
        }
        assertTrue(refused > 20, refused + " refused");
    }

    /** Guards rule 1 and the partners: a file cut at a row's end takes no more than a few hosts away. */
    @Test
    void anEditThatTakesTooMuchAwayIsHeldBack() {
        Reconciler reconciler = new Reconciler(0.3);
        Entry[] ten = new Entry[10];
        Arrays.setAll(ten, i -> host("h" + i, i + 1, Entry.State.READY));
        assertInstanceOf(Reconciler.Taken.class, reconciler.offer(hosts(ten), false));
        assertInstanceOf(Reconciler.Same.class, reconciler.offer(hosts(ten), false));
        Reconciler.HeldBack held = (Reconciler.HeldBack) reconciler.offer(hosts(Arrays.copyOf(ten, 6)), false);
        assertEquals(4, held.change().removed().size());
        assertEquals(10, reconciler.held().hosts().size());
        assertInstanceOf(Reconciler.Taken.class, reconciler.offer(hosts(Arrays.copyOf(ten, 7)), false));
        assertInstanceOf(Reconciler.Taken.class, reconciler.offer(hosts(Arrays.copyOf(ten, 2)), true));
    }

    /** A file of few hosts that is cut takes few away: once sealed, only sealed ones count. */
    @Test
    void onceSealedAlwaysSealed() {
        Reconciler reconciler = new Reconciler(0.3);
        Entry[] four = new Entry[4];
        Arrays.setAll(four, i -> host("h" + i, i + 1, Entry.State.READY));
        reconciler.offer(hosts(four), true);
        assertTrue(((Reconciler.HeldBack) reconciler.offer(hosts(Arrays.copyOf(four, 3)), false)).unsealed());
        assertInstanceOf(Reconciler.Taken.class, reconciler.offer(hosts(Arrays.copyOf(four, 3)), true));
        assertEquals(3, reconciler.held().hosts().size());
    }

    @Test
    void aMoveIsTheOldOneGoneAndANewOne() {
        Reconciler reconciler = new Reconciler(1);
        reconciler.offer(hosts(host("a", 1, Entry.State.READY), host("b", 2, Entry.State.READY)), false);
        var moved = (Reconciler.Taken)
                reconciler.offer(hosts(host("a", 9, Entry.State.READY), host("b", 2, Entry.State.DRAINING)), false);
        assertEquals(List.of("a"), moved.change().moved());
        assertEquals(List.of("b"), moved.change().drained());
        assertEquals(List.of("a~1", "b"), List.copyOf(moved.hosts().keySet()));
        var back = (Reconciler.Taken)
                reconciler.offer(hosts(host("a", 1, Entry.State.READY), host("b", 2, Entry.State.DRAINING)), false);
        assertTrue(back.hosts().containsKey("a~2"), "its history is another host's");
    }

    /** Whatever edits come: the lists lead from one revision to the next, and no key is ever two places. */
    @Test
    void aKeyNeverStandsForTwoPlaces() {
        SplittableRandom random = new SplittableRandom(5);
        Reconciler reconciler = new Reconciler(1);
        Map<String, String> places = new LinkedHashMap<>();
        for (int edit = 0; edit < 2_000; edit++) {
            Map<String, Entry> next = new LinkedHashMap<>();
            for (int h = 0; h < 8; h++) {
                if (random.nextInt(3) > 0) {
                    next.put(
                            "h" + h,
                            new Entry(
                                    "h" + h,
                                    "192.0.2." + (random.nextInt(3) * 10 + h),
                                    80,
                                    "http",
                                    1 + random.nextInt(2),
                                    "a",
                                    "m1",
                                    1 + random.nextInt(2),
                                    Entry.State.READY));
                }
            }
            if (reconciler.offer(new Revision(next), false) instanceof Reconciler.Taken taken) {
                assertEquals(next.size(), taken.hosts().size());
                taken.hosts()
                        .forEach((key, entry) -> assertEquals(
                                places.computeIfAbsent(key, k -> entry.place()), entry.place(), key + " moved"));
            }
        }
    }

    private static Map<String, Entry> counted(Reconciler.Verdict verdict) {
        return ((Reconciler.Taken) verdict).hosts();
    }

    /**
     * Of a host in two sources the first tells where it is, any may take new work from it, and one is enough to keep
     * it.
     */
    @Test
    void sourcesInTheirOrder() {
        Reconciler reconciler = new Reconciler(1, List.of("first", "second"));
        counted(reconciler.offer(
                "second", hosts(host("a", 1, Entry.State.READY), host("b", 2, Entry.State.READY)), true));
        var both = counted(reconciler.offer("first", hosts(host("a", 9, Entry.State.READY)), true));
        assertEquals(List.of("a~1", "b"), List.copyOf(both.keySet()), "it is where the first source has it");
        var drained = counted(reconciler.offer(
                "second", hosts(host("a", 1, Entry.State.DRAINING), host("b", 2, Entry.State.READY)), true));
        assertEquals(Entry.State.DRAINING, drained.get("a~1").state());
        assertEquals(host("a", 9, Entry.State.READY).place(), drained.get("a~1").place());
        assertTrue(
                ((Reconciler.Taken) reconciler.offer(
                                "second",
                                hosts(host("a", 3, Entry.State.DRAINING), host("b", 2, Entry.State.READY)),
                                true))
                        .change()
                        .isEmpty(),
                "where the second has it counts for nothing");
        var fallen = counted(reconciler.offer("first", hosts(host("c", 4, Entry.State.READY)), true));
        assertEquals(
                List.of("c", "a~2", "b"),
                List.copyOf(fallen.keySet()),
                "no longer in the first, it is where the second has it");
        assertEquals(Entry.State.DRAINING, fallen.get("a~2").state());
        var gone = (Reconciler.Taken) reconciler.offer("second", hosts(host("b", 2, Entry.State.READY)), true);
        assertEquals(List.of("a~2"), gone.gone());
    }

    /** One endpoint under two names would get the work of two. */
    @Test
    void anAddressCountsOnceOverAllSources() {
        Reconciler reconciler = new Reconciler(1, List.of("first", "second"));
        counted(reconciler.offer(
                "second", hosts(host("a", 1, Entry.State.READY), host("b", 2, Entry.State.READY)), true));
        var hosts = counted(reconciler.offer("first", hosts(host("other", 1, Entry.State.READY)), true));
        assertEquals(Set.of("other", "b"), hosts.keySet());
    }

    /** A source is guarded by what itself told before, and what another holds back stays its own. */
    @Test
    void eachSourceHasGuardsOfItsOwn() {
        Reconciler reconciler = new Reconciler(0.3, List.of("first", "second"));
        Entry[] ten = new Entry[10];
        Arrays.setAll(ten, i -> host("h" + i, i + 1, Entry.State.READY));
        reconciler.offer("first", hosts(Arrays.copyOf(ten, 5)), true);
        reconciler.offer("second", hosts(Arrays.copyOfRange(ten, 5, 10)), false);
        assertInstanceOf(
                Reconciler.HeldBack.class, reconciler.offer("second", hosts(ten[5]), false), "four of its five");
        assertInstanceOf(
                Reconciler.HeldBack.class,
                reconciler.offer("first", hosts(Arrays.copyOf(ten, 4)), false),
                "sealed before");
        assertInstanceOf(
                Reconciler.Taken.class, reconciler.offer("second", hosts(Arrays.copyOfRange(ten, 6, 10)), false));
        assertEquals(9, reconciler.held().hosts().size());
    }

    /** The schema for editors knows the fields that the parser knows, and the same words for them. */
    @Test
    void theSchemaKnowsTheFields() throws Exception {
        var schema = brambletray.relay.wire.Wire.decode(Files.readString(Path.of("deploy", "inventory.schema.json")));
        var host = schema.object("$defs").object("host");
        assertEquals(
                new TreeSet<>(Rows.FIELDS),
                new TreeSet<>(host.object("properties").values().keySet()));
        for (Object protocol : host.object("properties").object("protocol").list("enum")) {
            csv("name,address,port,destination,protocol\na,192.0.2.1,80,7," + protocol + "\n");
        }
        List<String> lines = faults(
                "a.csv",
                "name,address,port,destination,protocol\na,192.0.2.1,80,7,x\n".getBytes(StandardCharsets.UTF_8));
        for (Object protocol : host.object("properties").object("protocol").list("enum")) {
            assertTrue(lines.get(0).contains((String) protocol), lines.toString());
        }
    }

    @Test
    void aNameIsAlwaysTheSameDestination() {
        assertEquals(Destinations.number("north-grid"), Destinations.number("north-grid"));
        assertNotEquals(Destinations.number("north-grid"), Destinations.number("south-grid"));
        assertEquals(12, Destinations.number("12"));
        assertEquals(-1, Destinations.number("99999999999"));
        assertEquals(-1, Destinations.number("no spaces"));
    }
}
