package brambletray.platform.configuration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Random;
import java.util.TreeMap;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Rule LOST: what was acknowledged can be read back, by the operator, from a snapshot, by a member that replays the log
 * and by an edge that is sent deltas.
 */
class AcknowledgedConfigurationTest {
    private final ConfigurationStateMachine stateMachine = new ConfigurationStateMachine();
    private final ChangeHistory history = new ChangeHistory();
    private Configuration edge = Configuration.NONE;

    private ChangeDecision deliver(ChangeKind kind, String text) {
        byte[] body = SampleConfigurations.bytes(text);
        ChangeDecision decision =
                stateMachine.evaluate(kind, stateMachine.configuration().revision(), body);
        if (decision instanceof ChangeDecision.Proposable proposable) {
            decision = assertInstanceOf(
                    ChangeDecision.Applied.class, stateMachine.apply(proposable.encodedChange()), () -> text);
            history.advanceTo(stateMachine.configuration());
        }
        return decision;
    }

    private void acknowledge(ChangeKind kind, String text) {
        assertInstanceOf(ChangeDecision.Applied.class, deliver(kind, text), () -> text);
        assertReadBackEverywhere(text);
    }

    private void acknowledgeModify(long revision, String upsert) {
        acknowledge(ChangeKind.MODIFY, "{'revision':" + revision + ",'upsert':{" + upsert + "}}");
    }

    private static TreeMap<String, String> entries(Configuration configuration) {
        TreeMap<String, String> all = new TreeMap<>();
        configuration.entries().forEach((key, body) -> all.put(key.toString(), SampleConfigurations.text(body)));
        return all;
    }

    private static void assertSame(Configuration expected, Configuration found, String change) {
        assertEquals(expected.revision(), found.revision(), change);
        assertEquals(entries(expected), entries(found), change);
        assertEquals(expected.routes(), found.routes(), change);
        assertEquals(expected.services(), found.services(), change);
        assertEquals(expected.tenants(), found.tenants(), change);
        assertEquals(expected.limits(), found.limits(), change);
        assertEquals(expected.digest(), found.digest(), change);
    }

    private void assertReadBackEverywhere(String change) {
        Configuration acknowledged = stateMachine.configuration();
        assertSame(acknowledged, Configuration.read(acknowledged.json()), change);

        ConfigurationStateMachine restarted = new ConfigurationStateMachine();
        restarted.restore(stateMachine.snapshot());
        assertSame(acknowledged, restarted.configuration(), change);

        assertSame(acknowledged, apply(Configuration.NONE, history.fullDelta()), change);
        ConfigurationDelta delta = history.deltaSince(edge.revision());
        edge = apply(edge, delta == null ? history.fullDelta() : delta);
        assertSame(acknowledged, edge, change);
    }

    private static Configuration apply(Configuration base, ConfigurationDelta delta) {
        return base.apply(ConfigurationDelta.fromCompressedBytes(delta.toCompressedBytes()));
    }

    /** Guards against LOST: an upsert that held a revision made every later snapshot unreadable (review/4). */
    @ParameterizedTest
    @ValueSource(strings = {"2", "1", "99", "'two'", "null", "{'a':1}", "[{'name':'x'}]", "[]"})
    void revisionWithinUpsertIsIgnored(String nested) {
        acknowledge(ChangeKind.REPLACE, SampleConfigurations.twoRoutes(1));
        acknowledgeModify(
                2,
                "'revision':" + nested + ",'routes':[" + SampleConfigurations.route("r3", "h.example", "/three/", "a")
                        + "]");
        assertEquals(2, stateMachine.configuration().revision());
        assertTrue(stateMachine.configuration().routes().containsKey("r3"));
        acknowledgeModify(3, "'note':1");
    }

    /** Guards against LOST: disks that hold a snapshot of an earlier build with a second revision open (review/4). */
    @ParameterizedTest
    @ValueSource(strings = {"1", "9", "{'a':1}", "null"})
    void snapshotWithSecondRevisionIsReadable(String second) {
        String stored = SampleConfigurations.twoRoutes(7);
        byte[] json = SampleConfigurations.bytes(
                stored.substring(0, stored.length() - 1) + ",'note':5,'revision':" + second + ",'later':6}");
        byte[] snapshot = ByteBuffer.allocate(5 + json.length)
                .put((byte) 1)
                .putInt(0)
                .put(json)
                .array();
        stateMachine.restore(snapshot);
        assertEquals(7, stateMachine.configuration().revision());
        assertEquals(
                SampleConfigurations.text(
                        SampleConfigurations.bytes(stored.substring(0, stored.length() - 1) + ",'note':5,'later':6}")),
                SampleConfigurations.text(stateMachine.configuration().json()));
        history.advanceTo(stateMachine.configuration());
        acknowledgeModify(8, "'revision':8,'note':7");
    }

    /** Guards against LOST: a field without a name was taken for the table of all fields. */
    @Test
    void namedItemsInAFieldWithoutNameStayApart() {
        acknowledge(ChangeKind.REPLACE, SampleConfigurations.twoRoutes(1));
        acknowledgeModify(2, "'':[{'name':'limits','max-header-bytes':1},{'name':'revision'}]");
        acknowledgeModify(3, "'limits':{'max-header-bytes':9000}");
        assertEquals(9_000, edge.limits().maxHeaderBytes());
        acknowledgeModify(4, "'':[{'name':'other'}]");
    }

    /** Guards against LOST: edges could not decompress a delta that repeated a long table name for each item. */
    @ParameterizedTest
    @CsvSource({"1, 9000", "1000, 9000", "1, 220000", "4, 220000"})
    void manyShortItemsReachEdges(int tableNameLength, int count) {
        acknowledge(ChangeKind.REPLACE, SampleConfigurations.twoRoutes(1));
        StringBuilder items = new StringBuilder();
        for (int i = 0; i < count; i++) {
            items.append(i == 0 ? "" : ",").append("{'name':'");
            items.append(Integer.toString(i, Character.MAX_RADIX)).append("'}");
        }
        acknowledgeModify(2, "'" + "t".repeat(tableNameLength) + "':[" + items + "]");
        assertEquals(2, edge.revision());
    }

    /** A delta whose entry names a table that it doesn't list is malformed. */
    @ParameterizedTest
    @ValueSource(ints = {-1, 1, Integer.MAX_VALUE})
    void unknownTableIndexIsRejected(int index) {
        ByteBuffer delta = ByteBuffer.allocate(64)
                .put((byte) 2)
                .putLong(0)
                .putLong(1)
                .putLong(0)
                .putInt(1)
                .putInt(1)
                .put((byte) 't')
                .putInt(1)
                .putInt(index);
        byte[] compressed = DeltaCompression.compress(delta.array());
        ConfigurationException error =
                assertThrows(ConfigurationException.class, () -> ConfigurationDelta.fromCompressedBytes(compressed));
        assertEquals("configuration.bad-delta", error.code());
    }

    /** Guards against LOST: two names that differ in an unpaired surrogate became one name on edges. */
    @Test
    void unpairedSurrogatesAreRejected() {
        acknowledge(ChangeKind.REPLACE, SampleConfigurations.twoRoutes(1));
        for (String text : List.of("\\ud800", "a\\udc00", "\\ud800\\ud801", "\\udc00\\ud800", "\\uD83Dx")) {
            for (String upsert : List.of(
                    "'" + text + "':1",
                    "'note':'" + text + "'",
                    "'note':[{'" + text + "':1}]",
                    "'tenants':[{'name':'" + text + "','api-keys':['k']}]")) {
                ChangeDecision.Invalid invalid = assertInstanceOf(
                        ChangeDecision.Invalid.class,
                        deliver(ChangeKind.MODIFY, "{'revision':2,'upsert':{" + upsert + "}}"),
                        upsert);
                assertEquals("configuration.unreadable", invalid.error().code());
            }
        }
        acknowledgeModify(2, "'tenants':[{'name':'\\ud83d\\ude00','api-keys':['\ud83d\ude00 \\\\ud800']}]");
    }

    /** Guards against a closed connection in place of a 400: limits as a list of named items. */
    @ParameterizedTest
    @ValueSource(strings = {"[{'name':'a'}]", "[]", "[1]", "1", "'x'", "true"})
    void limitsThatAreNoObjectAreRejected(String limits) {
        acknowledge(ChangeKind.REPLACE, SampleConfigurations.twoRoutes(1));
        ChangeDecision.Invalid invalid = assertInstanceOf(
                ChangeDecision.Invalid.class,
                deliver(ChangeKind.MODIFY, "{'revision':2,'upsert':{'limits':" + limits + "}}"));
        assertEquals("configuration.wrong-type", invalid.error().code());
        acknowledgeModify(2, "'limits':{'max-header-bytes':9000}");
        assertNull(stateMachine.configuration().routes().get("r3"));
    }

    /** More seeds by hand: {@code -Dconfiguration.seeds=300}. */
    static LongStream seeds() {
        return LongStream.rangeClosed(1, Integer.getInteger("configuration.seeds", 6));
    }

    /** Guards against LOST: random changes with names and values that strain one of the ways back. */
    @ParameterizedTest
    @MethodSource("seeds")
    void randomChangesAreReadBackEverywhere(long seed) {
        Random random = new Random(seed);
        RandomChanges changes = new RandomChanges(random);
        int acknowledged = 0;
        for (int i = 0; i < 300; i++) {
            long revision = stateMachine.configuration().revision() + 1 + random.nextInt(3);
            boolean replace = revision < 4 || random.nextInt(12) == 0;
            String text = replace ? changes.replacement(revision) : changes.modification(revision);
            ChangeDecision decision = deliver(replace ? ChangeKind.REPLACE : ChangeKind.MODIFY, text);
            if (decision instanceof ChangeDecision.Applied) {
                acknowledged++;
                assertReadBackEverywhere("seed " + seed + ", change " + i + ": " + text);
                assertEquals(revision, stateMachine.configuration().revision());
            }
        }
        assertTrue(acknowledged > 100, "only " + acknowledged + " changes were acknowledged with seed " + seed);
    }

    /** Bodies of random changes. */
    private static final class RandomChanges {
        private static final String[] NAMES = {
            "revision",
            "limits",
            "",
            "routes",
            "services",
            "tenants",
            "upsert",
            "name",
            "labels",
            "a/b",
            "Cần Thơ",
            "q\\\"\\\\",
            "\\u0001\\n",
            "\ud83d\ude00",
            "\\ud83d\\ude00",
            "\u007f",
            "x".repeat(300)
        };

        private final Random random;

        RandomChanges(Random random) {
            this.random = random;
        }

        private String pick(String... choices) {
            return choices[random.nextInt(choices.length)];
        }

        private String value(int depth) {
            return switch (random.nextInt(depth > 2 ? 5 : 9)) {
                case 0 -> pick("0", "-1", "1.50", "2e3", "12345678901234567890123", "1E-400");
                case 1 -> "'" + pick(NAMES) + "'";
                case 2 -> pick("true", "false");
                case 3 -> "null";
                case 4 -> pick("[]", "{}", "[ ]", "{ }");
                case 5 -> "{" + member(depth) + "}";
                case 6 -> "[" + value(depth + 1) + " , " + value(depth + 1) + "]";
                default -> items(depth);
            };
        }

        private String member(int depth) {
            return "'" + pick(NAMES) + "' : " + value(depth + 1);
        }

        private String items(int depth) {
            StringBuilder list = new StringBuilder("[");
            for (int i = random.nextInt(4); i >= 0; i--) {
                list.append("{'name':'").append(pick(NAMES)).append("','v':").append(value(depth + 1));
                list.append(i == 0 ? "}" : "},");
            }
            return list.append(']').toString();
        }

        private String routes() {
            int number = random.nextInt(6);
            return "'routes':["
                    + SampleConfigurations.route("r" + number, "h.example", "/p" + number + "/", pick("a", "b")) + "]";
        }

        private String tenants() {
            int number = random.nextInt(4);
            return "'tenants':[{'name':'" + pick(NAMES) + number + "','api-keys':['k" + number + "']}]";
        }

        private String limits() {
            return "'limits':"
                    + pick(
                            "null",
                            "{}",
                            "{'max-header-bytes':" + (1 + random.nextInt(9_000)) + "}",
                            "[]",
                            "{'idle-timeout-ms':7000,'more':[{'name':'x'}]}");
        }

        private String fields() {
            StringBuilder fields = new StringBuilder(pick(routes(), tenants(), limits(), member(0)));
            if (random.nextBoolean()) {
                fields.append(',').append(member(0));
            }
            return fields.toString();
        }

        String replacement(long revision) {
            String document = SampleConfigurations.twoRoutes(revision);
            return random.nextBoolean()
                    ? document
                    : document.substring(0, document.length() - 1) + ',' + pick(tenants(), limits(), member(0)) + '}';
        }

        String modification(long revision) {
            String withdraw = random.nextInt(3) > 0
                    ? ""
                    : ",'withdraw':{'" + pick(NAMES) + "':['" + pick(NAMES) + "','r" + random.nextInt(6) + "']}";
            return "{'revision':" + revision + ",'upsert':{" + fields() + "}" + withdraw + "}";
        }
    }

    /** Guards against LOST: bytes of a body are kept as they are, also behind text beyond ASCII. */
    @Test
    void textBeyondAsciiIsReadBack() {
        acknowledge(ChangeKind.REPLACE, SampleConfigurations.twoRoutes(1));
        acknowledgeModify(2, "'Cần Thơ':'Sóc Trăng','tenants':[{'name':'Cần Thơ','api-keys':['Cẩn']}]");
        String json = new String(stateMachine.configuration().json(), StandardCharsets.UTF_8);
        assertTrue(json.contains("Sóc Trăng"), json);
        assertEquals("Cần Thơ", edge.tenantForKey("Cẩn").name());
    }
}
