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
 * Configurations by difference: who has one version gets what leads to the current one, and knows that it came out
 * right.
 */
class ConfigurationDeltaTest {
    private final ChangeHistory history = new ChangeHistory();

    /** {@code count} services, each with a route. */
    private static Configuration large(long revision, int count) {
        return Sample.configuration(Sample.whole(
                revision,
                IntStream.range(0, count)
                        .mapToObj(i -> Sample.route("r" + i, "h" + i % 7 + ".example", "/p" + i + "/", "s" + i))
                        .collect(Collectors.joining(",")),
                IntStream.range(0, count).mapToObj(i -> Sample.service("s" + i)).collect(Collectors.joining(","))));
    }

    /** Near the longest body: many short routes to one service. */
    private static Configuration routes(long revision, int count) {
        return Sample.configuration(Sample.whole(
                revision,
                IntStream.range(0, count)
                        .mapToObj(i -> "{'name':'r" + i + "','host':'h','path-prefix':'/" + i
                                + "/','route-type':'idempotent','timeout-ms':2500,'service':'s0'}")
                        .collect(Collectors.joining(",")),
                Sample.service("s0")));
    }

    private static Configuration modified(Configuration base, String upsert, String withdraw) {
        return base.modify(Sample.bytes(
                "{'revision':" + (base.revision() + 1) + ",'upsert':{" + upsert + "},'withdraw':{" + withdraw + "}}"));
    }

    private static Configuration route(Configuration base, String name, String prefix, String service) {
        return modified(base, "'routes':[" + Sample.route(name, "new.example", prefix, service) + "]", "");
    }

    private static Configuration travelled(Configuration at, ConfigurationDelta delta) {
        return at.apply(ConfigurationDelta.fromCompressedBytes(delta.toCompressedBytes()));
    }

    private static TreeMap<String, String> content(Configuration configuration) {
        TreeMap<String, String> all = new TreeMap<>();
        configuration.entries().forEach((key, body) -> all.put(key.toString(), Sample.text(body)));
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

    private static String code(ConfigurationException fault) {
        return fault.code();
    }

    @Test
    void oneRouteOfManyTravelsAlone() {
        for (Configuration before : List.of(large(1, 721), routes(1, 36_000))) {
            ChangeHistory many = new ChangeHistory();
            many.advanceTo(before);
            Configuration after = route(before, "r5", "/moved/", "s0");
            many.advanceTo(after);
            ConfigurationDelta delta = many.deltaSince(1);
            assertEquals(
                    List.of("routes/r5"),
                    delta.entries().stream()
                            .map(e -> e.table() + "/" + e.name())
                            .toList());
            assertTrue(delta.toCompressedBytes().length < 300, "bytes: " + delta.toCompressedBytes().length);
            assertSame(after, travelled(before, delta));
        }
    }

    @Test
    void theWholeTravelsPackedToWhoHasNothing() {
        Configuration configuration = large(7, 721);
        history.advanceTo(configuration);
        byte[] packed = history.fullDelta().toCompressedBytes();
        assertTrue(
                packed.length * 8 < configuration.json().length, packed.length + " of " + configuration.json().length);
        assertSame(configuration, Configuration.NONE.apply(ConfigurationDelta.fromCompressedBytes(packed)));
        assertSame(configuration, large(3, 9).apply(ConfigurationDelta.fromCompressedBytes(packed)));
    }

    @Test
    void whoIsTwoThousandVersionsBehindGetsOneDifference() {
        Configuration first = large(1, 50);
        Configuration last = first;
        history.advanceTo(first);
        for (int i = 0; i < 2_000; i++) {
            last = route(last, "r" + i % 20, "/v" + i + "/", "s3");
            history.advanceTo(last);
        }
        ConfigurationDelta delta = history.deltaSince(1);
        assertEquals(20, delta.entries().size());
        assertSame(last, travelled(first, delta));
    }

    @Test
    void onlySoManyVersionsAreRemembered() {
        Configuration last = large(1, 30);
        history.advanceTo(last);
        for (int i = 0; i < ChangeHistory.MAX_VERSIONS; i++) {
            last = route(last, "r1", "/v" + i + "/", "s3");
            history.advanceTo(last);
        }
        assertNotNull(history.deltaSince(1));
        history.advanceTo(route(last, "r1", "/last/", "s3"));
        assertNull(history.deltaSince(1));
        assertNotNull(history.deltaSince(2));
    }

    @Test
    void namesAreBoundedAsVersionsAre() {
        int count = 4_000;
        history.advanceTo(large(1, count));
        int step = 1;
        for (int names = 0; names <= ChangeHistory.MAX_NAMES; names += 2 * count) {
            assertTrue(step == 1 || history.isRemembered(1), "after " + names + " names");
            step++;
            history.advanceTo(
                    step % 2 == 1
                            ? large(step, count)
                            : Sample.configuration(Sample.whole(
                                    step, Sample.route("only", "h.example", "/", "t"), Sample.service("t"))));
        }
        assertTrue(!history.isRemembered(1));
        assertTrue(history.isRemembered(step - 1));
    }

    @Test
    void whatIsWithdrawnIsGone() {
        Configuration before = Sample.configuration(Sample.two(1));
        history.advanceTo(before);
        Configuration after = modified(before, "", "'routes':['r2'],'services':['b']");
        history.advanceTo(after);
        Configuration found = travelled(before, history.deltaSince(1));
        assertSame(after, found);
        assertNull(found.match("h.example", "/two/x"));
        assertNull(found.services().get("b"));
    }

    @Test
    void aReplacementOfAllIsToldAsWhole() {
        Configuration before = large(1, 40);
        history.advanceTo(before);
        Configuration after = Sample.configuration(Sample.two(9));
        history.advanceTo(after);
        assertNull(history.deltaSince(1));
        assertSame(after, travelled(before, history.fullDelta()));
    }

    @Test
    void aReplacementThatChangesLittleIsToldAsLittle() {
        history.advanceTo(large(1, 40));
        Configuration after = Sample.configuration(
                new String(large(2, 40).json(), java.nio.charset.StandardCharsets.UTF_8).replace("/p7/", "/other/"));
        history.advanceTo(after);
        assertEquals(1, history.deltaSince(1).entries().size());
        assertSame(after, travelled(large(1, 40), history.deltaSince(1)));
    }

    @Test
    void aDifferenceFromAnotherRevisionIsNotPutOn() {
        Configuration one = Sample.configuration(Sample.two(1));
        Configuration two = route(one, "r3", "/three/", "a");
        Configuration three = route(two, "r4", "/four/", "a");
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
    void aResultThatIsNotTheSendersIsNotTaken() {
        Configuration one = Sample.configuration(Sample.two(1));
        history.advanceTo(one);
        history.advanceTo(
                modified(one, "'routes':[" + Sample.route("r3", "h.example", "/three/", "a") + "]", "'routes':['r1']"));
        ConfigurationDelta good = history.deltaSince(1);
        List<ConfigurationDelta> wrong = new ArrayList<>();
        for (int i = 0; i < good.entries().size(); i++) {
            List<ConfigurationDelta.Entry> fewer = new ArrayList<>(good.entries());
            fewer.remove(i);
            wrong.add(new ConfigurationDelta(1, good.revision(), good.digest(), fewer));
        }
        wrong.add(new ConfigurationDelta(1, good.revision() + 1, good.digest(), good.entries()));
        wrong.add(new ConfigurationDelta(1, good.revision(), good.digest() ^ 1, good.entries()));
        for (ConfigurationDelta each : wrong) {
            assertEquals(
                    "configuration.digest", code(assertThrows(ConfigurationException.class, () -> one.apply(each))));
        }
        Configuration other = Sample.configuration(Sample.two(1).replace("/two/", "/too/"));
        assertEquals("configuration.digest", code(assertThrows(ConfigurationException.class, () -> other.apply(good))));
        assertEquals(good.digest(), travelled(one, good).digest());
    }

    @Test
    void brokenBytesAreAFaultOfOursAndNothingElse() {
        history.advanceTo(large(1, 30));
        byte[] packed = history.fullDelta().toCompressedBytes();
        Random random = new Random(5);
        for (int i = 0; i < 400; i++) {
            byte[] broken = Arrays.copyOf(packed, i % 2 == 0 ? packed.length : random.nextInt(packed.length));
            if (broken.length > 0) {
                broken[random.nextInt(broken.length)] ^= (byte) (1 + random.nextInt(255));
            }
            assertThrows(
                    ConfigurationException.class,
                    () -> Configuration.NONE.apply(ConfigurationDelta.fromCompressedBytes(broken)),
                    "broken " + i);
        }
    }

    @Test
    void theDigestIsOfTheContentAlone() {
        Configuration one = Sample.configuration(Sample.two(1));
        assertEquals(
                one.digest(),
                Sample.configuration(new String(one.json(), java.nio.charset.StandardCharsets.UTF_8))
                        .digest());
        assertNotEquals(one.digest(), Sample.configuration(Sample.two(2)).digest());
        Configuration there = route(one, "r9", "/nine/", "a");
        Configuration back = modified(there, "", "'routes':['r9']");
        assertEquals(Sample.configuration(Sample.two(3)).digest(), back.digest());
        String otherOrder =
                Sample.route("r2", "h.example", "/two/", "b") + ',' + Sample.route("r1", "h.example", "/one/", "a");
        assertEquals(
                Sample.configuration(Sample.whole(1, otherOrder, Sample.service("b") + ',' + Sample.service("a")))
                        .digest(),
                one.digest());
    }

    /** Changes at random, fields and tables that aren't understood among them; edges at random versions follow. */
    @Test
    void randomCoursesEndAlike() {
        for (int seed = 0; seed < 60; seed++) {
            Random random = new Random(seed);
            ChangeHistory scenario = new ChangeHistory();
            Configuration configuration = Sample.configuration(Sample.two(1));
            scenario.advanceTo(configuration);
            List<Configuration> edges = new ArrayList<>(List.of(configuration, configuration, Configuration.NONE));
            for (int step = 0; step < 40; step++) {
                configuration = change(configuration, random);
                scenario.advanceTo(random.nextInt(5) == 0 ? Configuration.read(configuration.json()) : configuration);
                int which = random.nextInt(edges.size());
                Configuration edge = edges.get(which);
                ConfigurationDelta delta = scenario.deltaSince(edge.revision());
                Configuration next = travelled(edge, delta == null ? scenario.fullDelta() : delta);
                assertSame(configuration, next);
                assertEquals(content(configuration), content(Configuration.read(next.json())), "seed " + seed);
                edges.set(which, next);
            }
        }
    }

    private static Configuration change(Configuration configuration, Random random) {
        int i = random.nextInt(6);
        return switch (random.nextInt(9)) {
            case 0, 1 ->
                route(
                        configuration,
                        "x" + i,
                        "/x" + i + "/" + random.nextInt(3) + "/",
                        random.nextBoolean() ? "a" : "b");
            case 2 -> modified(configuration, "", "'routes':['x" + i + "']");
            case 3 -> modified(configuration, "'services':[" + Sample.service("s" + i) + "]", "");
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
