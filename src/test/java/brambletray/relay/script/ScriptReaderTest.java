package brambletray.relay.script;

import static org.junit.jupiter.api.Assertions.*;

import brambletray.common.yaml.Faults;
import brambletray.relay.emulator.Law;
import brambletray.relay.emulator.Limit;
import brambletray.relay.emulator.Step;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Scripts: what they mean, and that every fault of a file is told with its place. */
class ScriptReaderTest {
    private static final String GOOD = """
        name: x
        length_s: 10
        kinds:
          - {name: k, servers: 3, service: {law: constant, mean_ms: 20}, limit: {per_s: 8}}
        partners:
          - {name: one, kind: k, endpoints: 2}
          - {name: many, count: 3, limit: {count: 4, span_ms: 500}}
        events:
          - {at_s: 1, for_s: 2, on: [one, many-2], do: slow, factor: 3}
          - {at_s: 4, on: one.2, do: replace}
        """;

    private static List<String> faults(String text) {
        return assertThrows(Faults.class, () -> ScriptReader.parse("s.yaml", text))
                .lines();
    }

    @Test
    void kindsGiveWhatPartnersLeaveOut() throws Faults {
        Script script = ScriptReader.parse("s.yaml", GOOD);
        assertEquals(
                List.of("one", "many-1", "many-2", "many-3"),
                script.partners().stream().map(p -> p.name()).toList());
        assertEquals(3, script.partners().get(0).servers());
        assertEquals(new Law.Constant(20e6), script.partners().get(0).service());
        assertEquals(new Limit.Rate(8, 2, false), script.partners().get(0).limit());
        assertEquals(
                new Limit.Span(4, 500_000_000, false), script.partners().get(1).limit());
        assertEquals(
                List.of(1L, 2L, 3L, 4L),
                script.partners().stream().map(p -> p.destination()).toList());
        assertEquals(
                new Step(1_000_000_000L, 3_000_000_000L, List.of("one.1", "one.2", "many-2"), new Step.Slow(3), 9),
                script.steps().get(0));
        assertEquals(5, script.endpoints());
    }

    @ParameterizedTest
    @ValueSource(strings = {"demo", "quiet-night", "first-night", "second-night", "third-night", "check"})
    void theScriptsThatComeWithItAreGood(String name) throws Exception {
        assertEquals(name, ScriptReader.builtIn(name).name());
    }

    @Test
    void allFaultsOfAFileAreToldAtOnceInItsOrder() {
        assertEquals(
                List.of(
                        "s.yaml:2:11: length_s: expected a number from 0.1 to 86400, not 'long'",
                        "s.yaml:4:36: partners[0].servers: expected a whole number",
                        "s.yaml:4:41: 'partners[0].queu' is not known here: expected one of name, count, endpoints, kind,"
                                + " destination, protocol, traffic, service, servers, queue, limit, told_waits, reports, connections, keys, cold,"
                                + " routes_apart, abandoned, listed_per_s, bundle",
                        "s.yaml:5:12: partners[1].name: 'a' stands here twice",
                        "s.yaml:7:5: events[0].factor is missing: expected a number from 0.01 to 1000",
                        "s.yaml:7:12: events[0].at_s: expected no more than length_s",
                        "s.yaml:7:19: events[0].on: no partner or endpoint is called 'b'"),
                faults("""
                name: x
                length_s: long
                partners:
                  - {name: a, servers: 1, servers: 2.5, queu: 3}
                  - {name: a}
                events:
                  - {at_s: 1, on: b, do: slow, for_s: 1}
                """.replace("servers: 1, servers", "traffic: 1, servers")));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "name: x: y | s.yaml:1:8: not YAML: mapping values are not allowed here",
                "- a | s.yaml:1:1: expected a mapping of names to values",
                "{name: x, length_s: 1, partners: [{name: p}], name: y} | s.yaml:1:47: 'name' stands here twice",
                "{a: &b [1], c: *b} | s.yaml:1:5: expected no alias (*) of an anchor (&)"
            })
    void whatIsNoScriptAtAllIsOneFault(String text, String fault) {
        assertEquals(fault, faults(text).get(0));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "{at_s: 11, on: one, do: drain} | events[0].at_s: expected no more than length_s",
                "{at_s: 1, on: one, do: shut} | events[0].for_s: expected a time above 0 for shut",
                "{at_s: 1, on: one, do: return, for_s: 1} | events[0].for_s: return has no end",
                "{at_s: 1, on: one, do: spoil, for_s: 1, failed: 0.7, spoilt: 0.7} | events[0].do: expected failed",
                "{at_s: 1, on: one, do: dance} | events[0].do: expected one of shut, down"
            })
    void eventsThatMakeNoSenseAreTold(String event, String fault) {
        String text = GOOD.substring(0, GOOD.indexOf("  - {at_s: 1")) + "  - " + event + "\n";
        assertTrue(faults(text).get(0).contains(fault), faults(text).toString());
    }
}
