package brambletray.relay.rehearsal;

import static org.junit.jupiter.api.Assertions.*;

import brambletray.common.yaml.Faults;
import brambletray.relay.rehearsal.Rehearsal.Play;
import java.io.ByteArrayInputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import javax.xml.parsers.DocumentBuilderFactory;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

class RehearsalTest {
    private static final String SMALL = """
        name: small
        length_s: 6
        fleet: {relays: 2}
        traffic: {per_s: 20}
        classes: [{name: bill, effect: keyed, window_ms: 15000}, {name: pay, effect: unsafe}, {name: read, effect: safe}]
        partners: [{name: p, endpoints: 2}]
        """;

    @TempDir
    Path folder;

    static List<String> nights() {
        return Night.BUILT_IN;
    }

    /** The nights that go with the program: a build that is not fit for service fails here. */
    @ParameterizedTest
    @MethodSource("nights")
    void everyNightIsWithinItsBounds(String name) throws Exception {
        Verdict verdict =
                Kit.play(List.of(Night.read(name)), 1, 1, folder, v -> {}).get(0);
        assertEquals(List.of(), verdict.faults());
    }

    /** Same build, nights and seeds: the same bytes, however many are played at once. */
    @Test
    void theVerdictIsTheSameEveryTime() throws Exception {
        List<Night> nights = List.of(
                Night.parse("a.yaml", SMALL + "relay_events: [{at_s: 2, relay: all, back_after_s: 1}]\n"),
                Night.parse("b.yaml", SMALL));
        String first = Reports.json(Kit.play(nights, 3, 1, Files.createDirectory(folder.resolve("a")), v -> {}));
        List<Verdict> again = Kit.play(nights, 3, 4, Files.createDirectory(folder.resolve("b")), v -> {});
        assertEquals(first, Reports.json(again));
        assertEquals(64, Reports.hash(again).length());
        assertFalse(again.get(0).plays().get(0).trace()
                == again.get(1).plays().get(0).trace());
    }

    /** The bound is on the middle seed: exactly at it is enough, above it is not, and one bad seed is no verdict. */
    @Test
    void theMiddleOfTheSeedsDecides() throws Exception {
        Night night = Night.parse("a.yaml", SMALL);
        List<Play> plays =
                Kit.play(List.of(night), 3, 2, folder, v -> {}).get(0).plays();
        double middle = Verdict.middle(plays);
        assertTrue(verdict(night, plays, middle).passed());
        Verdict above = verdict(night, plays, Math.nextUp(middle));
        assertFalse(above.passed());
        assertTrue(
                above.faults().get(0).contains("the middle score of 3 seeds"),
                above.faults().toString());
        assertTrue(plays.stream().mapToDouble(p -> p.result().score()).min().orElse(0) <= middle);
    }

    private static Verdict verdict(Night night, List<Play> plays, double least) {
        return Verdict.of(new Night(night.script(), night.relayEvents(), night.noticed(), least, night.most()), plays);
    }

    /** A relay that loses its folder loses what it took on: the judges see it, though nothing at the relay does. */
    @Test
    void aLostFolderIsSeen() throws Exception {
        Night night = Night.parse(
                "a.yaml",
                SMALL.replace("endpoints: 2", "endpoints: 2, service: {mean_ms: 900}")
                        + "relay_events: [{at_s: 3, relay: all, do: kill_and_lose_folder, back_after_s: 1}]\n");
        Verdict verdict = Kit.play(List.of(night), 1, 1, folder, v -> {}).get(0);
        assertFalse(verdict.passed());
        assertTrue(
                verdict.faults().get(0).contains("had no end in time"),
                verdict.faults().toString());
    }

    /** The page on a message says what became of it, where and when, and is the same each time. */
    @Test
    void aBrokenRuleComesWithTheStoryOfItsMessage() throws Exception {
        Night night = Night.parse(
                "a.yaml",
                SMALL.replace("endpoints: 2", "endpoints: 2, service: {mean_ms: 900}")
                        + "relay_events: [{at_s: 3, relay: all, do: kill_and_lose_folder, back_after_s: 1}]\n");
        Verdict verdict = Kit.play(List.of(night), 1, 1, folder, v -> {}).get(0);
        List<Story> stories = Kit.stories(verdict, 2, folder);
        assertEquals(2, stories.size());
        List<String> told = stories.get(0).told();
        assertTrue(told.stream().anyMatch(l -> l.endsWith("handed in")), told.toString());
        assertTrue(told.stream().anyMatch(l -> l.endsWith("answered 202")), told.toString());
        assertTrue(told.stream().anyMatch(l -> l.contains("relay 0: kill and lose folder")), told.toString());
        assertTrue(told.stream().noneMatch(l -> l.contains("answered as delivered")), "it was lost: " + told);
        assertEquals(
                told,
                Kit.stories(verdict, 1, Files.createDirectory(folder.resolve("again")))
                        .get(0)
                        .told());
    }

    /**
     * A relay killed right after each of its first writes and sends: between journal and 202, between 202 and the first
     * send, between a send's note and its bytes. Nothing is lost, and nothing takes effect twice.
     */
    @ParameterizedTest
    @CsvSource({"kill_after_write, 15", "kill_after_sent, 25"})
    void aRelayKilledAtEveryPoint(String how, int runs) throws Exception {
        long[] restarted = {0, 0};
        for (int number = 1; number <= 30; number++) {
            Night night = Night.parse(
                    "a.yaml",
                    SMALL.replace("length_s: 6", "length_s: 3").replace("per_s: 20", "per_s: 200")
                            + "front_notices_s: 0.1\nrelay_events: [{at_s: 1, relay: 0, do: " + how + ", number: "
                            + number
                            + ", back_after_s: 0.8}]\n");
            Verdict verdict = Kit.play(
                            List.of(night), 1, 1, Files.createDirectory(folder.resolve("n" + number)), v -> {})
                    .get(0);
            assertEquals(List.of(), verdict.faults(), () -> {
                try {
                    return how + " "
                            + Kit.stories(verdict, 1, folder).stream()
                                    .map(Story::told)
                                    .toList();
                } catch (Exception e) {
                    return e.toString();
                }
            });
            restarted[0] += verdict.plays().get(0).trace() == restarted[1] ? 0 : 1;
            restarted[1] = verdict.plays().get(0).trace();
        }
        // A commit is two writes, and what is seen from outside is the same after the first and the second.
        assertTrue(restarted[0] >= runs, how + ", points that are runs of their own: " + restarted[0]);
    }

    /** The bounds of what a relay may use count like a rule. */
    @Test
    void connectionsAndDiskAreJudged() throws Exception {
        Night night = Night.parse("a.yaml", SMALL + "bounds: {connections: 3, disk_bytes: 1000}\n");
        List<String> faults =
                Kit.play(List.of(night), 1, 1, folder, v -> {}).get(0).faults();
        assertEquals(2, faults.size(), faults.toString());
        assertTrue(faults.get(0).contains("connections open at once: expected 3 at most"), faults.toString());
        assertTrue(faults.get(1).contains("bytes: expected 1000 at most"), faults.toString());
    }

    /** The reference of a hunt differs from the build by tries and copies alone. */
    @Test
    void theReferenceTriesOnce() {
        assertEquals(
                "{\"most-tries\":1,\"second-copies\":false,\"x\":2}",
                Hunt.oneTry("{\"most-tries\":12,\"second-copies\": true,\"x\":2}"));
    }

    /**
     * A build with a fault that shows only when a partner vanishes: here, folders that are lost, by the base itself.
     */
    @Test
    void aHuntFindsAndShrinks() throws Exception {
        String base = SMALL.replace("endpoints: 2", "endpoints: 2, service: {mean_ms: 900}")
                + "relay_events: [{at_s: 3, relay: all, do: kill_and_lose_folder, back_after_s: 1}]\n";
        Hunt hunt = new Hunt(base, folder);
        Hunt.Find find = null;
        for (long draw = 1; draw <= 20 && find == null; draw++) {
            try {
                find = hunt.draw(draw).orElse(null);
            } catch (Faults e) {
                // The draw has relay events of its own, which the base has already.
                assertTrue(e.getMessage().contains("stands here twice"), e.getMessage());
            }
        }
        assertNotNull(find);
        assertEquals(0, find.left(), "nothing that was drawn is needed");
        assertEquals(find.yaml(), hunt.draw(find.draw()).orElseThrow().yaml());
        assertFalse(Night.base("all-in-one").contains("events"));
    }

    @Test
    void onlyDifferencesBeyondNoiseCount() throws Exception {
        double[] same = new double[9];
        assertEquals(1, Comparison.chance(same));
        double[] all = {0.01, 0.02, 0.01, 0.03, 0.01, 0.02, 0.01, 0.01, 0.02};
        assertEquals(2 / 512.0, Comparison.chance(all), 1e-9);
        double[] mixed = {0.01, -0.02, 0.01, -0.03, 0.01, 0.02, -0.01, 0.01, -0.02};
        assertTrue(Comparison.chance(mixed) > 0.5);
        Night night = Night.parse("a.yaml", SMALL);
        Night slower = Night.parse("a.yaml", SMALL.replace("endpoints: 2", "endpoints: 2, service: {mean_ms: 2200}"));
        String fast = Reports.json(Kit.play(List.of(night), 7, 2, Files.createDirectory(folder.resolve("a")), v -> {}));
        String slow =
                Reports.json(Kit.play(List.of(slower), 7, 2, Files.createDirectory(folder.resolve("b")), v -> {}));
        assertFalse(Comparison.of(fast, fast).get(0).beyondNoise());
        Comparison.Row row = Comparison.of(fast, slow).get(0);
        assertTrue(row.beyondNoise() && row.mean() < 0, row.toString());
    }

    @Test
    void reportsCanBeRead() throws Exception {
        Night night = Night.parse("a.yaml", SMALL + "about: 'less < more & \"quotes\"'\nbounds: {score: 1}\n");
        List<Verdict> verdicts = Kit.play(List.of(night), 1, 1, folder, v -> {});
        var builder = DocumentBuilderFactory.newInstance().newDocumentBuilder();
        var suite = builder.parse(
                        new ByteArrayInputStream(Reports.junit(verdicts).getBytes(StandardCharsets.UTF_8)))
                .getDocumentElement();
        assertEquals("1", suite.getAttribute("tests"));
        assertEquals(verdicts.get(0).passed() ? "0" : "1", suite.getAttribute("failures"));
        String page = Reports.html(verdicts);
        assertTrue(page.contains("less &lt; more &amp; &quot;quotes&quot;") && page.contains("<path d=\"M"));
        assertFalse(page.contains("http"), "the page needs a network");
        assertTrue(Reports.json(verdicts).contains("\"night\" : \"small\""));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "relay_events: [{at_s: 1, relay: 2}]|relay",
                "bounds: {score: 2}|score",
                "relay_events: [{at_s: 1, relay: 0, do: sleep}]|expected one of kill, kill_and_lose_folder",
                "bound: 1|not known"
            })
    void aFaultyNightIsTold(String more, String expected) {
        Faults faults = assertThrows(Faults.class, () -> Night.parse("a.yaml", SMALL + more + "\n"));
        assertTrue(
                faults.getMessage().startsWith("a.yaml:7:")
                        && faults.getMessage().contains(expected),
                faults.getMessage());
    }
}
