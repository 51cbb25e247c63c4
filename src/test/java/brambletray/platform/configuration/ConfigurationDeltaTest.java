package brambletray.platform.configuration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.TreeMap;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/**
 * Deltas between configurations: applying a delta has to give exactly the sender's current configuration, and any other
 * result has to be detected by its digest.
 */
class ConfigurationDeltaTest {
    private final ChangeHistory history = new ChangeHistory();

    /** {@code count} services, each with a route. */
    private static Configuration withServices(long revision, int count) {
        return SampleConfigurations.configuration(SampleConfigurations.document(
                revision,
                IntStream.range(0, count)
                        .mapToObj(i ->
                                SampleConfigurations.route("r" + i, "h" + i % 7 + ".example", "/p" + i + "/", "s" + i))
                        .collect(Collectors.joining(",")),
                IntStream.range(0, count)
                        .mapToObj(i -> SampleConfigurations.service("s" + i))
                        .collect(Collectors.joining(","))));
    }

    /** {@code count} short routes to one service; 36,000 are close to the maximum body size. */
    private static Configuration withShortRoutes(long revision, int count) {
        return SampleConfigurations.configuration(SampleConfigurations.document(
                revision,
                IntStream.range(0, count)
                        .mapToObj(i -> "{'name':'r" + i + "','host':'h','path-prefix':'/" + i
                                + "/','route-type':'idempotent','timeout-ms':2500,'service':'s0'}")
                        .collect(Collectors.joining(",")),
                SampleConfigurations.service("s0")));
    }

    private static Configuration modified(Configuration base, String upsert, String withdraw) {
        return base.modify(SampleConfigurations.bytes(
                "{'revision':" + (base.revision() + 1) + ",'upsert':{" + upsert + "},'withdraw':{" + withdraw + "}}"));
    }

    private static Configuration withRoute(Configuration base, String name, String prefix, String service) {
        return modified(
                base, "'routes':[" + SampleConfigurations.route(name, "new.example", prefix, service) + "]", "");
    }

    private static Configuration applySerialized(Configuration at, ConfigurationDelta delta) {
        return at.apply(ConfigurationDelta.fromCompressedBytes(delta.toCompressedBytes()));
    }

    private static TreeMap<String, String> content(Configuration configuration) {
        TreeMap<String, String> all = new TreeMap<>();
        configuration.entries().forEach((key, body) -> all.put(key.toString(), SampleConfigurations.text(body)));
        return all;
    }

    private static void assertSame(Configuration expected, Configuration found) {
        assertEquals(expected.revision(), found.revision());
        assertEquals(content(expected), content(found));
        assertEquals(expected.routes(), found.routes());
        assertEquals(expected.services(), found.services());
        assertEquals(expected.limits(), found.limits());
        assertEquals(expected.digest(), found.digest());
    }

    private static String code(ConfigurationException exception) {
        return exception.code();
    }

    @Test
    void changeOfOneRouteIsSentAsOneEntry() {
        for (Configuration before : List.of(withServices(1, 721), withShortRoutes(1, 36_000))) {
            ChangeHistory changeHistory = new ChangeHistory();
            changeHistory.advanceTo(before);
            Configuration after = withRoute(before, "r5", "/moved/", "s0");
            changeHistory.advanceTo(after);
            ConfigurationDelta delta = changeHistory.deltaSince(1);
            assertEquals(
                    List.of("routes/r5"),
                    delta.entries().stream()
                            .map(e -> e.table() + "/" + e.name())
                            .toList());
            assertTrue(delta.toCompressedBytes().length < 300, "bytes: " + delta.toCompressedBytes().length);
            assertSame(after, applySerialized(before, delta));
        }
    }

    @Test
    void fullDeltaIsCompressedAndReplacesAnyConfiguration() {
        Configuration configuration = withServices(7, 721);
        history.advanceTo(configuration);
        byte[] compressed = history.fullDelta().toCompressedBytes();
        assertTrue(
                compressed.length * 8 < configuration.json().length,
                compressed.length + " of " + configuration.json().length);
        assertSame(configuration, Configuration.NONE.apply(ConfigurationDelta.fromCompressedBytes(compressed)));
        assertSame(configuration, withServices(3, 9).apply(ConfigurationDelta.fromCompressedBytes(compressed)));
    }

    @Test
    void twoThousandVersionsAreMergedIntoOneDelta() {
        Configuration first = withServices(1, 50);
        Configuration last = first;
        history.advanceTo(first);
        for (int i = 0; i < 2_000; i++) {
            last = withRoute(last, "r" + i % 20, "/v" + i + "/", "s3");
            history.advanceTo(last);
        }
        ConfigurationDelta delta = history.deltaSince(1);
        assertEquals(20, delta.entries().size());
        assertSame(last, applySerialized(first, delta));
    }

    @Test
    void oldestVersionsAreEvictedAtTheVersionLimit() {
        Configuration last = withServices(1, 30);
        history.advanceTo(last);
        for (int i = 0; i < ChangeHistory.MAX_VERSIONS; i++) {
            last = withRoute(last, "r1", "/v" + i + "/", "s3");
            history.advanceTo(last);
        }
        assertNotNull(history.deltaSince(1));
        history.advanceTo(withRoute(last, "r1", "/last/", "s3"));
        assertNull(history.deltaSince(1));
        assertNotNull(history.deltaSince(2));
    }

    @Test
    void oldestVersionsAreEvictedAtTheNameLimit() {
        int count = 4_000;
        history.advanceTo(withServices(1, count));
        int step = 1;
        for (int names = 0; names <= ChangeHistory.MAX_NAMES; names += 2 * count) {
            assertTrue(step == 1 || history.isRemembered(1), "after " + names + " names");
            step++;
            history.advanceTo(
                    step % 2 == 1
                            ? withServices(step, count)
                            : SampleConfigurations.configuration(SampleConfigurations.document(
                                    step,
                                    SampleConfigurations.route("only", "h.example", "/", "t"),
                                    SampleConfigurations.service("t"))));
        }
        assertTrue(!history.isRemembered(1));
        assertTrue(history.isRemembered(step - 1));
    }

    @Test
    void deltaRemovesWithdrawnItems() {
        Configuration before = SampleConfigurations.configuration(SampleConfigurations.twoRoutes(1));
        history.advanceTo(before);
        Configuration after = modified(before, "", "'routes':['r2'],'services':['b']");
        history.advanceTo(after);
        Configuration found = applySerialized(before, history.deltaSince(1));
        assertSame(after, found);
        assertNull(found.match("h.example", "/two/x"));
        assertNull(found.services().get("b"));
    }

    @Test
    void fullReplacementHasNoDelta() {
        Configuration before = withServices(1, 40);
        history.advanceTo(before);
        Configuration after = SampleConfigurations.configuration(SampleConfigurations.twoRoutes(9));
        history.advanceTo(after);
        assertNull(history.deltaSince(1));
        assertSame(after, applySerialized(before, history.fullDelta()));
    }

    @Test
    void replacementWithOneChangedEntryHasAOneEntryDelta() {
        history.advanceTo(withServices(1, 40));
        Configuration after = SampleConfigurations.configuration(
                new String(withServices(2, 40).json(), java.nio.charset.StandardCharsets.UTF_8)
                        .replace("/p7/", "/other/"));
        history.advanceTo(after);
        assertEquals(1, history.deltaSince(1).entries().size());
        assertSame(after, applySerialized(withServices(1, 40), history.deltaSince(1)));
    }

    @Test
    void deltaOnAnotherBaseRevisionIsRejected() {
        Configuration one = SampleConfigurations.configuration(SampleConfigurations.twoRoutes(1));
        Configuration two = withRoute(one, "r3", "/three/", "a");
        Configuration three = withRoute(two, "r4", "/four/", "a");
        history.advanceTo(one);
        history.advanceTo(two);
        history.advanceTo(three);
        assertEquals(
                "configuration.stale",
                code(assertThrows(ConfigurationException.class, () -> one.apply(history.deltaSince(2)))));
        assertNull(history.deltaSince(17));
        assertEquals(
                "configuration.not-newer",
                code(assertThrows(ConfigurationException.class, () -> three.apply(history.fullDelta()))));
    }

    @Test
    void resultWithAnotherDigestIsRejected() {
        Configuration one = SampleConfigurations.configuration(SampleConfigurations.twoRoutes(1));
        history.advanceTo(one);
        history.advanceTo(modified(
                one,
                "'routes':[" + SampleConfigurations.route("r3", "h.example", "/three/", "a") + "]",
                "'routes':['r1']"));
        ConfigurationDelta validDelta = history.deltaSince(1);
        List<ConfigurationDelta> invalidDeltas = new ArrayList<>();
        for (int i = 0; i < validDelta.entries().size(); i++) {
            List<ConfigurationDelta.Entry> fewer = new ArrayList<>(validDelta.entries());
            fewer.remove(i);
            invalidDeltas.add(new ConfigurationDelta(1, validDelta.revision(), validDelta.digest(), fewer));
        }
        invalidDeltas.add(
                new ConfigurationDelta(1, validDelta.revision() + 1, validDelta.digest(), validDelta.entries()));
        invalidDeltas.add(
                new ConfigurationDelta(1, validDelta.revision(), validDelta.digest() ^ 1, validDelta.entries()));
        for (ConfigurationDelta each : invalidDeltas) {
            assertEquals(
                    "configuration.digest", code(assertThrows(ConfigurationException.class, () -> one.apply(each))));
        }
        Configuration other = SampleConfigurations.configuration(
                SampleConfigurations.twoRoutes(1).replace("/two/", "/too/"));
        assertEquals(
                "configuration.digest",
                code(assertThrows(ConfigurationException.class, () -> other.apply(validDelta))));
        assertEquals(validDelta.digest(), applySerialized(one, validDelta).digest());
    }

    @Test
    void corruptBytesThrowOnlyConfigurationException() {
        history.advanceTo(withServices(1, 30));
        byte[] compressed = history.fullDelta().toCompressedBytes();
        Random random = new Random(5);
        for (int i = 0; i < 400; i++) {
            byte[] corrupt =
                    Arrays.copyOf(compressed, i % 2 == 0 ? compressed.length : random.nextInt(compressed.length));
            if (corrupt.length > 0) {
                corrupt[random.nextInt(corrupt.length)] ^= (byte) (1 + random.nextInt(255));
            }
            assertThrows(
                    ConfigurationException.class,
                    () -> Configuration.NONE.apply(ConfigurationDelta.fromCompressedBytes(corrupt)),
                    "corrupt bytes, iteration " + i);
        }
    }

    @Test
    void digestDependsOnRevisionAndContentOnly() {
        Configuration one = SampleConfigurations.configuration(SampleConfigurations.twoRoutes(1));
        assertEquals(
                one.digest(),
                SampleConfigurations.configuration(new String(one.json(), java.nio.charset.StandardCharsets.UTF_8))
                        .digest());
        assertNotEquals(
                one.digest(),
                SampleConfigurations.configuration(SampleConfigurations.twoRoutes(2))
                        .digest());
        Configuration there = withRoute(one, "r9", "/nine/", "a");
        Configuration back = modified(there, "", "'routes':['r9']");
        assertEquals(
                SampleConfigurations.configuration(SampleConfigurations.twoRoutes(3))
                        .digest(),
                back.digest());
        String otherOrder = SampleConfigurations.route("r2", "h.example", "/two/", "b")
                + ','
                + SampleConfigurations.route("r1", "h.example", "/one/", "a");
        assertEquals(
                SampleConfigurations.configuration(SampleConfigurations.document(
                                1,
                                otherOrder,
                                SampleConfigurations.service("b") + ',' + SampleConfigurations.service("a")))
                        .digest(),
                one.digest());
    }

    /** Random changes, including unknown fields and tables, are applied by edges at random versions. */
    @Test
    void randomChangesConvergeAtAllEdges() {
        for (int seed = 0; seed < 60; seed++) {
            Random random = new Random(seed);
            ChangeHistory changeHistory = new ChangeHistory();
            Configuration configuration = SampleConfigurations.configuration(SampleConfigurations.twoRoutes(1));
            changeHistory.advanceTo(configuration);
            List<Configuration> edges = new ArrayList<>(List.of(configuration, configuration, Configuration.NONE));
            for (int step = 0; step < 40; step++) {
                configuration = randomChange(configuration, random);
                changeHistory.advanceTo(
                        random.nextInt(5) == 0 ? Configuration.read(configuration.json()) : configuration);
                int which = random.nextInt(edges.size());
                Configuration edge = edges.get(which);
                ConfigurationDelta delta = changeHistory.deltaSince(edge.revision());
                Configuration next = applySerialized(edge, delta == null ? changeHistory.fullDelta() : delta);
                assertSame(configuration, next);
                assertEquals(content(configuration), content(Configuration.read(next.json())), "seed " + seed);
                edges.set(which, next);
            }
        }
    }

    private static Configuration randomChange(Configuration configuration, Random random) {
        int i = random.nextInt(6);
        return switch (random.nextInt(9)) {
            case 0, 1 ->
                withRoute(
                        configuration,
                        "x" + i,
                        "/x" + i + "/" + random.nextInt(3) + "/",
                        random.nextBoolean() ? "a" : "b");
            case 2 -> modified(configuration, "", "'routes':['x" + i + "']");
            case 3 -> modified(configuration, "'services':[" + SampleConfigurations.service("s" + i) + "]", "");
            case 4 -> modified(configuration, "", "'services':['s" + i + "']");
            case 5 -> modified(configuration, "'limits':{'max-body-bytes':" + (1_000 + i) + "}", "");
            case 6 ->
                modified(configuration, "'groups':[{'name':'g" + i % 2 + "','of':" + random.nextInt(3) + "}]", "");
            case 7 -> modified(configuration, "", "'groups':['g0','g1']");
            default ->
                modified(configuration, "'note':" + (i == 0 ? "[]" : i == 1 ? "[1]" : "{'k" + i + "':" + i + "}"), "");
        };
    }
}
