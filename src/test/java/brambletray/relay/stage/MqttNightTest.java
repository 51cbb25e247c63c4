package brambletray.relay.stage;

import static org.junit.jupiter.api.Assertions.*;

import brambletray.relay.emulator.Ledger;
import brambletray.relay.script.Script;
import brambletray.relay.script.ScriptReader;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Partners by MQTT and HTTP, all three classes, connections cut at random before, amid and after acting, drains,
 * cold returns, and the relay killed and started again: no message without its end, no forbidden repeat, nothing
 * in a told wait, nothing past a drain's grace.
 */
class MqttNightTest {
    private static final long S = 1_000_000_000L;
    private static final int SEEDS = Integer.getInteger("seeds", 12);

    @TempDir
    Path folder;

    /** Each seed has partners of two of the four dialects; every other one by QoS 2. */
    private static Script script(int seed) throws Exception {
        String m = seed % 2 == 0 ? "mqtt" : "mqtt-qos2";
        String n = new String[] {"mqtt-3.1.1-qos2", "mqtt", "mqtt-3.1.1", "mqtt-qos2"}[seed / 2 % 4];
        return ScriptReader.parse(
                "mqtt.yaml", """
            name: mqtt-night
            length_s: 24
            fleet: {relays: 2, slots: 24, open: 120}
            traffic: {per_s: 30, until_s: 20, mqtt_share: 0.5}
            classes:
              - {name: read, effect: safe, limit_ms: 8000}
              - {name: bill, effect: keyed, limit_ms: 8000, window_ms: 15000}
              - {name: pay, effect: unsafe, limit_ms: 8000}
            partners:
              - {name: m, protocol: M, endpoints: 2, traffic: 3, servers: 3, service: {law: exponential, mean_ms: 120},
                 limit: {per_s: 12, burst: 4}, told_waits: {share: 0.8, least_ms: 200, most_ms: 600}}
              - {name: n, protocol: N, traffic: 1, servers: 3, service: {law: exponential, mean_ms: 120}}
              - {name: h, traffic: 1, servers: 3, service: {law: exponential, mean_ms: 120}}
            events:
              - {at_s: 2, for_s: 15, on: [m, n], do: spoil, reset_before: 0.05, reset_after: 0.05, failed: 0.03}
              - {at_s: 5, for_s: 4, on: n, do: down}
              - {at_s: 7, for_s: 6, on: m.1, do: drain}
              - {at_s: 14, on: m.2, do: replace}
            """.replace("protocol: M", "protocol: " + m).replace("protocol: N", "protocol: " + n));
    }

    @Test
    void theRulesHoldOverMqtt() throws Exception {
        long delivered = 0;
        long taken = 0;
        for (int seed = 1; seed <= SEEDS; seed++) {
            try (SimStage stage = new SimStage(script(seed), seed, folder.resolve("s" + seed % 4))) {
                int cut = seed;
                // Every seventh connection or so is cut after some bytes, by the seed.
                stage.simulation().network().whenConnected((client, server) -> {
                    if ((client.hashCode() * 31 + cut) % 7 == 0) {
                        client.cutAfter(400 + (client.hashCode() * 977L + cut * 131L) % 3_000);
                    }
                });
                stage.runUntil((9 + seed % 5) * S);
                stage.kill(seed % 2);
                stage.runUntil((10 + seed % 5) * S);
                stage.restart(seed % 2);
                Score.Result r = stage.play();
                // Clients that are away when the last message ends come back for its answer.
                stage.runUntil(40 * S);
                // A safe message may run twice; nothing else may.
                assertEquals(
                        List.of(),
                        r.breaches().stream()
                                .filter(b -> b.rule() != Ledger.Rule.EFFECT_TWICE || !stage.isSafe(b.message()))
                                .toList(),
                        "seed " + seed);
                assertEquals(0, r.lostCount(), "seed " + seed + ": " + r.lost());
                assertTrue(stage.scene().world().endpoint("m.2").tally().delivered() > 20, "little came by MQTT");
                delivered += r.delivered();
                MqttClients clients = stage.scene().mqttClients();
                assertEquals(0, clients.contradictions(), "seed " + seed);
                assertEquals(0, clients.unmarked(), "seed " + seed + ": answers again without DUP");
                taken += clients.taken();
                assertEquals(Set.of(), clients.unanswered(), "seed " + seed);
            }
        }
        assertTrue(delivered > SEEDS * 300L, delivered + " delivered");
        assertTrue(taken > SEEDS * 150L, taken + " taken over MQTT");
    }
}
