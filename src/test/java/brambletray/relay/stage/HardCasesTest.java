package brambletray.relay.stage;

import static org.junit.jupiter.api.Assertions.*;

import brambletray.relay.emulator.Endpoint;
import brambletray.relay.emulator.Ledger;
import brambletray.relay.script.Script;
import brambletray.relay.script.ScriptReader;
import java.nio.file.Path;
import java.util.Set;
import java.util.function.UnaryOperator;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** The relay at a partner's worst moments, in simulated time; and relays with a fault, which must be caught. */
class HardCasesTest {
    private static final long S = 1_000_000_000L;

    @TempDir
    Path folder;

    private static Script script(String head, String partner, String... events) throws Exception {
        return ScriptReader.parse("case.yaml", """
            name: case
            length_s: 30
            %s
            partners:
              - {name: p, service: {law: constant, mean_ms: 100}, servers: 2, %s}
            events:
            %s
            """.formatted(
                head,
                partner,
                String.join(
                        "\n",
                        java.util.Arrays.stream(events).map(e -> "  - " + e).toList())));
    }

    private SimStage stage(Script script) throws Exception {
        return new SimStage(script, 3, folder);
    }

    private Score.Result play(Script script, UnaryOperator<String> relayTold) throws Exception {
        try (SimStage stage = new SimStage(script, 3, folder, relayTold)) {
            return stage.play();
        }
    }

    /** Guards rule 2: the call ran late, after the relay gave it up; unsafe ones must not go out again. */
    @ParameterizedTest
    @ValueSource(strings = {"unsafe", "keyed", "safe"})
    void aPauseLongerThanTheDeadlineAnswersLateAndNothingTakesEffectTwice(String effect) throws Exception {
        Score.Result r = play(
                script(
                        "traffic: {per_s: 6}\nclasses: [{name: bill, aim_ms: 1000, limit_ms: 2000, effect: " + effect
                                + "}]",
                        "queue: 30",
                        "{at_s: 5, for_s: 4, on: p, do: pause}"),
                t -> t);
        Set<Ledger.Rule> broken = r.breaches().stream().map(Ledger.Breach::rule).collect(Collectors.toSet());
        // A safe message may run twice; nothing else may.
        broken.removeIf(rule -> effect.equals("safe") && rule == Ledger.Rule.EFFECT_TWICE);
        assertEquals(Set.of(), broken);
        assertEquals(0, r.lostCount());
        assertTrue(r.givenUp() + r.handedBack() + r.turnedAway() > 0, "nothing met the pause: " + r);
    }

    /** Guards rule 4: the relay had seen the outage, and every client wants the partner the moment it is back. */
    @ParameterizedTest
    @ValueSource(strings = {"shut", "down", "hang", "vanish"})
    void aPartnerThatReturnsColdIsNotPushedOver(String outage) throws Exception {
        try (SimStage stage = stage(script(
                "traffic: {per_s: 12}\nfleet: {relays: 2}",
                "queue: 8",
                "{at_s: 4, for_s: 6, on: p, do: " + outage + "}"))) {
            Score.Result r = stage.play();
            assertTrue(r.clean(), r.breaches() + " " + r.lost());
            Endpoint p = stage.scene().world().endpoint("p");
            assertFalse(p.fallen());
            assertTrue(p.tally().heaviest > 0, "nothing came while it was cold");
            assertTrue(r.delivered() > r.asked() / 2, r.toString());
        }
    }

    /** Guards rule 3: calls are out, more wait, and the relay hears of the drain a second later. */
    @Test
    void aDrainWhileCallsAreOut() throws Exception {
        try (SimStage stage = stage(script(
                "traffic: {per_s: 15}",
                "queue: 20, endpoints: 2",
                "{at_s: 5, on: p.1, do: drain}",
                "{at_s: 20, on: p.2, do: leave, for_s: 5}"))) {
            stage.runUntil(5 * S + 1_400_000_000L);
            long before = stage.scene().world().endpoint("p.1").tally().arrived;
            Score.Result r = stage.play();
            assertTrue(r.clean(), r.breaches().toString());
            assertEquals(before, stage.scene().world().endpoint("p.1").tally().arrived);
        }
    }

    /** Guards against a call that goes to the address of a host that has left, and counts for its successor. */
    @Test
    void aHostReplacedAtTheSameAddress() throws Exception {
        try (SimStage stage = stage(script(
                "traffic: {per_s: 8}",
                "queue: 20",
                "{at_s: 8, on: p, do: replace}",
                "{at_s: 18, on: p, do: replace}"))) {
            Score.Result r = stage.play();
            assertTrue(r.clean(), r.breaches().toString());
            assertEquals(
                    "p-r2", stage.scene().world().host(stage.scene().world().endpoint("p")));
            assertTrue(r.delivered() > r.asked() * 8 / 10, r.toString());
        }
    }

    /** Idle connections of all relays fill the cap of a partner; messages still come through. */
    @Test
    void aConnectionCapThatIdleConnectionsReach() throws Exception {
        try (SimStage stage = stage(script(
                "traffic: {per_s: 12}\nfleet: {relays: 4}",
                "queue: 8, connections: {cap: 6, handshake_ms: 20}",
                "{at_s: 25, on: p, do: list_moved}".replace("on: p, ", "")))) {
            Score.Result r = stage.play();
            assertTrue(r.clean(), r.breaches().toString());
            Endpoint p = stage.scene().world().endpoint("p");
            assertEquals(6, p.tally().mostConnections);
            assertTrue(p.tally().connectionsRefused > 0, "the cap was never met");
            assertTrue(r.delivered() > r.asked() * 8 / 10, r.toString());
        }
    }

    /** Guards what is owed: a relay is killed and comes back on its folder while the partner is full. */
    @Test
    void aRelayKilledWhileThePartnersQueueIsFull() throws Exception {
        try (SimStage stage = stage(script(
                "traffic: {per_s: 25, until_s: 12}\n"
                        + "classes: [{name: pay, aim_ms: 2000, limit_ms: 16000, effect: unsafe}]",
                "queue: 6",
                "{at_s: 2, for_s: 8, on: p, do: slow, factor: 3}"))) {
            stage.runUntil(6 * S);
            assertTrue(stage.scene().world().endpoint("p").inHand() > 0);
            stage.kill(0);
            stage.runUntil(7 * S);
            stage.restart(0);
            Score.Result r = stage.play();
            assertTrue(r.clean(), r.breaches() + " " + r.lost());
            assertTrue(r.delivered() > 0 && r.givenUp() > 0, r.toString());
        }
    }

    /** The agent stalls and moves while a host is replaced: the relay ends with the true list. */
    @Test
    void aListThatStallsAndMovesIsCaughtUpWith() throws Exception {
        try (SimStage stage = stage(script(
                "traffic: {per_s: 8}",
                "queue: 20, endpoints: 2",
                "{at_s: 5, for_s: 8, do: list_stalled}",
                "{at_s: 7, on: p.1, do: drain}",
                "{at_s: 18, do: list_moved}",
                "{at_s: 20, on: p.2, do: replace}"))) {
            Score.Result r = stage.play();
            assertTrue(r.clean(), r.breaches().toString());
            assertTrue(r.delivered() > r.asked() * 8 / 10, r.toString());
        }
    }

    /**
     * Relays that are told something untrue of the site break a rule, and the partners' ledger says which: an
     * unsafe class called safe, routes that share their waits called apart, a cold partner called warm.
     */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "\"fragile\" | \"retryable\" | EFFECT_TWICE | 16 | queue: 20",
                "\"kind-apart\" : [ false ] | \"kind-apart\" : [ true ] | WAIT_IGNORED | 16"
                        + " | queue: 20, endpoints: 3, routes_apart: false, limit: {per_s: 4, burst: 2}, told_waits: {share: 1}",
                "\"cold-from\" : 0.05 | \"cold-from\" : 1.0 | PUSHED_OVER | 60"
                        + " | queue: 2, cold: {from: 0.05, warm_ms: 20000, multiple: 1.5, slack_calls: 4}"
            })
    void aRelayWithAFaultIsCaughtByTheGroundTruth(
            String truth, String told, Ledger.Rule rule, int perSecond, String partner) throws Exception {
        Script script = script(
                "traffic: {per_s: " + perSecond + "}\nfleet: {relays: 6}\nclasses: [{name: pay, effect: unsafe}]",
                partner,
                "{at_s: 5, for_s: 4, on: p, do: shut, told_waits: false}",
                "{at_s: 15, for_s: 10, on: p, do: spoil, reset_after: 0.3}");
        Score.Result good = play(script, t -> t);
        assertTrue(good.clean(), good.breaches().toString());
        Score.Result bad = play(script, t -> {
            String lie = t.replace(truth, told)
                    .replace("\"fall-multiple\" : 1.5", "\"fall-multiple\" : 100.0")
                    .replace("\"cold\" : 20000.0", "\"cold\" : 1.0");
            lie = rule == Ledger.Rule.PUSHED_OVER ? lie.replace("\"balancers\" : 6", "\"balancers\" : 1") : lie;
            assertNotEquals(t, lie, "the configuration does not hold " + truth);
            return lie;
        });
        assertTrue(bad.breaches().stream().anyMatch(b -> b.rule() == rule), rule + " not seen: " + bad);
    }
}
