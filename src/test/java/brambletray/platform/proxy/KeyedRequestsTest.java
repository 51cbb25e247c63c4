package brambletray.platform.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** A keyed request under its claim, where an edge stands still or its link to the core is slow. */
class KeyedRequestsTest {
    private final SimulatedProxy proxy = new SimulatedProxy();
    private ScriptedClient client;
    private ScriptedHost host;

    @BeforeEach
    void open() {
        proxy.route("keyed", 2);
        client = (ScriptedClient) proxy.actor("client");
        host = (ScriptedHost) proxy.actor("a");
    }

    private void actAt(Actor actor, long ms, String what) {
        proxy.until(ms);
        actor.act(what.split(" "));
        proxy.settle();
    }

    @Test
    void aClaimIsNotUsedAfterItExpires() {
        actAt(client, 0, "keys r1");
        actAt(proxy.operations, 10, "grants");
        actAt(proxy.operations, 20, "outdated");
        actAt(proxy.broker, 30, "grants a");
        assertEquals(List.of(), host.look());
        assertEquals(List.of("503 in 0.200"), client.look());
        assertEquals(List.of("claim k1 for 80", "released"), proxy.operations.look());
        proxy.broker.look();
        proxy.assertNothingLeft();
    }

    @Test
    void anEdgePausedWithAClaimSendsNothingLate() {
        actAt(client, 0, "keys r1 500");
        actAt(proxy.operations, 10, "grants");
        proxy.until(20);
        proxy.freeze(1_000);
        actAt(proxy.broker, 1_100, "grants a");
        assertEquals(List.of(), host.look());
        assertEquals(List.of("claim k1 for 80", "released"), proxy.operations.look());
        assertEquals(List.of("503 in 0.200"), client.look());
    }

    @Test
    void theClaimOfASentRequestIsNeverReleased() {
        actAt(client, 0, "keys r1");
        actAt(proxy.operations, 10, "grants");
        actAt(proxy.broker, 20, "grants a");
        assertEquals(List.of("reads r1"), host.look());
        actAt(host, 30, "resets r1");
        assertEquals(List.of("502"), client.look());
        assertEquals(List.of("claim k1 for 80", "abandoned"), proxy.operations.look());
        proxy.broker.look();
        proxy.assertNothingLeft();
    }

    @Test
    void anOperationWithALostAnswerIsNotRetried() {
        actAt(client, 0, "keys r1");
        actAt(proxy.operations, 10, "lost");
        assertEquals(List.of("502"), client.look());
        assertEquals(List.of("claim k1 for 80"), proxy.operations.look());
        assertEquals(List.of(), proxy.broker.look());
        proxy.assertNothingLeft();
    }
}
