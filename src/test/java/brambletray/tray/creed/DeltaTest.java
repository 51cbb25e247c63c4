package brambletray.tray.creed;

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
class DeltaTest {
    private final History history = new History();

    /** {@code count} services, each with a route. */
    private static Creed large(long revision, int count) {
        return Sample.creed(Sample.whole(
                revision,
                IntStream.range(0, count)
                        .mapToObj(i -> Sample.route("r" + i, "h" + i % 7 + ".example", "/p" + i + "/", "s" + i))
                        .collect(Collectors.joining(",")),
                IntStream.range(0, count).mapToObj(i -> Sample.service("s" + i)).collect(Collectors.joining(","))));
    }

    /** Near the longest body: many short routes to one service. */
    private static Creed routes(long revision, int count) {
        return Sample.creed(Sample.whole(
                revision,
                IntStream.range(0, count)
                        .mapToObj(i -> "{'name':'r" + i + "','host':'h','path-prefix':'/" + i
                                + "/','route-type':'idempotent','timeout-ms':2500,'service':'s0'}")
                        .collect(Collectors.joining(",")),
                Sample.service("s0")));
    }

    private static Creed modified(Creed base, String upsert, String withdraw) {
        return base.modify(Sample.bytes(
                "{'revision':" + (base.revision() + 1) + ",'upsert':{" + upsert + "},'withdraw':{" + withdraw + "}}"));
    }

    private static Creed route(Creed base, String name, String prefix, String service) {
        return modified(base, "'routes':[" + Sample.route(name, "new.example", prefix, service) + "]", "");
    }

    private static Creed travelled(Creed at, Delta delta) {
        return at.apply(Delta.unpack(delta.packed()));
    }

    private static TreeMap<String, String> content(Creed creed) {
        TreeMap<String, String> all = new TreeMap<>();
        creed.entries().forEach((key, body) -> all.put(key.toString(), Sample.text(body)));
        return all;
    }

    private static void assertSame(Creed expected, Creed found) {
        assertEquals(expected.revision(), found.revision());
        assertEquals(content(expected), content(found));
        assertEquals(expected.routes(), found.routes());
        assertEquals(expected.services(), found.services());
        assertEquals(expected.limits(), found.limits());
        assertEquals(expected.digest(), found.digest());
    }

    private static String code(CreedFault fault) {
        return fault.code();
    }

    @Test
    void oneRouteOfManyTravelsAlone() {
        for (Creed before : List.of(large(1, 721), routes(1, 36_000))) {
            History many = new History();
            many.become(before);
            Creed after = route(before, "r5", "/moved/", "s0");
            many.become(after);
            Delta delta = many.since(1);
            assertEquals(
                    List.of("routes/r5"),
                    delta.entries().stream()
                            .map(e -> e.table() + "/" + e.name())
                            .toList());
            assertTrue(delta.packed().length < 300, "bytes: " + delta.packed().length);
            assertSame(after, travelled(before, delta));
        }
    }

    @Test
    void theWholeTravelsPackedToWhoHasNothing() {
        Creed creed = large(7, 721);
        history.become(creed);
        byte[] packed = history.whole().packed();
        assertTrue(packed.length * 8 < creed.json().length, packed.length + " of " + creed.json().length);
        assertSame(creed, Creed.NONE.apply(Delta.unpack(packed)));
        assertSame(creed, large(3, 9).apply(Delta.unpack(packed)));
    }

    @Test
    void whoIsTwoThousandVersionsBehindGetsOneDifference() {
        Creed first = large(1, 50);
        Creed last = first;
        history.become(first);
        for (int i = 0; i < 2_000; i++) {
            last = route(last, "r" + i % 20, "/v" + i + "/", "s3");
            history.become(last);
        }
        Delta delta = history.since(1);
        assertEquals(20, delta.entries().size());
        assertSame(last, travelled(first, delta));
    }

    @Test
    void onlySoManyVersionsAreRemembered() {
        Creed last = large(1, 30);
        history.become(last);
        for (int i = 0; i < History.VERSIONS; i++) {
            last = route(last, "r1", "/v" + i + "/", "s3");
            history.become(last);
        }
        assertNotNull(history.since(1));
        history.become(route(last, "r1", "/last/", "s3"));
        assertNull(history.since(1));
        assertNotNull(history.since(2));
    }

    @Test
    void namesAreBoundedAsVersionsAre() {
        int count = 4_000;
        history.become(large(1, count));
        int step = 1;
        for (int names = 0; names <= History.NAMES; names += 2 * count) {
            assertTrue(step == 1 || history.remembers(1), "after " + names + " names");
            step++;
            history.become(
                    step % 2 == 1
                            ? large(step, count)
                            : Sample.creed(Sample.whole(
                                    step, Sample.route("only", "h.example", "/", "t"), Sample.service("t"))));
        }
        assertTrue(!history.remembers(1));
        assertTrue(history.remembers(step - 1));
    }

    @Test
    void whatIsWithdrawnIsGone() {
        Creed before = Sample.creed(Sample.two(1));
        history.become(before);
        Creed after = modified(before, "", "'routes':['r2'],'services':['b']");
        history.become(after);
        Creed found = travelled(before, history.since(1));
        assertSame(after, found);
        assertNull(found.match("h.example", "/two/x"));
        assertNull(found.services().get("b"));
    }

    @Test
    void aReplacementOfAllIsToldAsWhole() {
        Creed before = large(1, 40);
        history.become(before);
        Creed after = Sample.creed(Sample.two(9));
        history.become(after);
        assertNull(history.since(1));
        assertSame(after, travelled(before, history.whole()));
    }

    @Test
    void aReplacementThatChangesLittleIsToldAsLittle() {
        history.become(large(1, 40));
        Creed after = Sample.creed(
                new String(large(2, 40).json(), java.nio.charset.StandardCharsets.UTF_8).replace("/p7/", "/other/"));
        history.become(after);
        assertEquals(1, history.since(1).entries().size());
        assertSame(after, travelled(large(1, 40), history.since(1)));
    }

    @Test
    void aDifferenceFromAnotherRevisionIsNotPutOn() {
        Creed one = Sample.creed(Sample.two(1));
        Creed two = route(one, "r3", "/three/", "a");
        Creed three = route(two, "r4", "/four/", "a");
        history.become(one);
        history.become(two);
        history.become(three);
        assertEquals("creed.stale", code(assertThrows(CreedFault.class, () -> one.apply(history.since(2)))));
        assertNull(history.since(17));
        assertEquals("creed.not-newer", code(assertThrows(CreedFault.class, () -> three.apply(history.whole()))));
    }

    @Test
    void aResultThatIsNotTheSendersIsNotTaken() {
        Creed one = Sample.creed(Sample.two(1));
        history.become(one);
        history.become(
                modified(one, "'routes':[" + Sample.route("r3", "h.example", "/three/", "a") + "]", "'routes':['r1']"));
        Delta good = history.since(1);
        List<Delta> wrong = new ArrayList<>();
        for (int i = 0; i < good.entries().size(); i++) {
            List<Delta.Entry> fewer = new ArrayList<>(good.entries());
            fewer.remove(i);
            wrong.add(new Delta(1, good.revision(), good.digest(), fewer));
        }
        wrong.add(new Delta(1, good.revision() + 1, good.digest(), good.entries()));
        wrong.add(new Delta(1, good.revision(), good.digest() ^ 1, good.entries()));
        for (Delta each : wrong) {
            assertEquals("creed.digest", code(assertThrows(CreedFault.class, () -> one.apply(each))));
        }
        Creed other = Sample.creed(Sample.two(1).replace("/two/", "/too/"));
        assertEquals("creed.digest", code(assertThrows(CreedFault.class, () -> other.apply(good))));
        assertEquals(good.digest(), travelled(one, good).digest());
    }

    @Test
    void brokenBytesAreAFaultOfOursAndNothingElse() {
        history.become(large(1, 30));
        byte[] packed = history.whole().packed();
        Random random = new Random(5);
        for (int i = 0; i < 400; i++) {
            byte[] broken = Arrays.copyOf(packed, i % 2 == 0 ? packed.length : random.nextInt(packed.length));
            if (broken.length > 0) {
                broken[random.nextInt(broken.length)] ^= (byte) (1 + random.nextInt(255));
            }
            assertThrows(CreedFault.class, () -> Creed.NONE.apply(Delta.unpack(broken)), "broken " + i);
        }
    }

    @Test
    void theDigestIsOfTheContentAlone() {
        Creed one = Sample.creed(Sample.two(1));
        assertEquals(
                one.digest(),
                Sample.creed(new String(one.json(), java.nio.charset.StandardCharsets.UTF_8))
                        .digest());
        assertNotEquals(one.digest(), Sample.creed(Sample.two(2)).digest());
        Creed there = route(one, "r9", "/nine/", "a");
        Creed back = modified(there, "", "'routes':['r9']");
        assertEquals(Sample.creed(Sample.two(3)).digest(), back.digest());
        String otherOrder =
                Sample.route("r2", "h.example", "/two/", "b") + ',' + Sample.route("r1", "h.example", "/one/", "a");
        assertEquals(
                Sample.creed(Sample.whole(1, otherOrder, Sample.service("b") + ',' + Sample.service("a")))
                        .digest(),
                one.digest());
    }

    /** Changes at random, fields and tables that aren't understood among them; edges at random versions follow. */
    @Test
    void randomCoursesEndAlike() {
        for (int seed = 0; seed < 60; seed++) {
            Random random = new Random(seed);
            History course = new History();
            Creed creed = Sample.creed(Sample.two(1));
            course.become(creed);
            List<Creed> edges = new ArrayList<>(List.of(creed, creed, Creed.NONE));
            for (int step = 0; step < 40; step++) {
                creed = change(creed, random);
                course.become(random.nextInt(5) == 0 ? Creed.read(creed.json()) : creed);
                int which = random.nextInt(edges.size());
                Creed edge = edges.get(which);
                Delta delta = course.since(edge.revision());
                Creed next = travelled(edge, delta == null ? course.whole() : delta);
                assertSame(creed, next);
                assertEquals(content(creed), content(Creed.read(next.json())), "seed " + seed);
                edges.set(which, next);
            }
        }
    }

    private static Creed change(Creed creed, Random random) {
        int i = random.nextInt(6);
        return switch (random.nextInt(9)) {
            case 0, 1 ->
                route(creed, "x" + i, "/x" + i + "/" + random.nextInt(3) + "/", random.nextBoolean() ? "a" : "b");
            case 2 -> modified(creed, "", "'routes':['x" + i + "']");
            case 3 -> modified(creed, "'services':[" + Sample.service("s" + i) + "]", "");
            case 4 -> modified(creed, "", "'services':['s" + i + "']");
            case 5 -> modified(creed, "'limits':{'max-body-bytes':" + (1_000 + i) + "}", "");
            case 6 -> modified(creed, "'groups':[{'name':'g" + i % 2 + "','of':" + random.nextInt(3) + "}]", "");
            case 7 -> modified(creed, "", "'groups':['g0','g1']");
            default -> modified(creed, "'note':" + (i == 0 ? "[]" : i == 1 ? "[1]" : "{'k" + i + "':" + i + "}"), "");
        };
    }
}
