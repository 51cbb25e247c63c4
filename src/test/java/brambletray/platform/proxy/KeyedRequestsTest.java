package brambletray.platform.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** A keyed request under its claim, where an edge stands still or its link to the core is slow. */
class KeyedRequestsTest {
    private final SimulatedProxy street = new SimulatedProxy();
    private ScriptedClient client;
    private ScriptedHost host;

    @BeforeEach
    void open() {
        street.route("keyed", 2);
        client = (ScriptedClient) street.actor("client");
        host = (ScriptedHost) street.actor("a");
    }

    private void does(Actor actor, long ms, String what) {
        street.until(ms);
        actor.act(what.split(" "));
        street.settle();
    }

    @Test
    void aClaimIsNotUsedAfterItsWindow() {
        does(client, 0, "keys r1");
        does(street.operations, 10, "grants");
        does(street.operations, 20, "outdated");
        does(street.broker, 30, "grants a");
        assertEquals(List.of(), host.look());
        assertEquals(List.of("503 in 0.200"), client.look());
        assertEquals(List.of("claim k1 for 80", "released"), street.operations.look());
        street.broker.look();
        street.assertNothingLeft();
    }

    @Test
    void anEdgeThatStoodStillWithItsClaimSendsNothingLate() {
        does(client, 0, "keys r1 500");
        does(street.operations, 10, "grants");
        street.until(20);
        street.freeze(1_000);
        does(street.broker, 1_100, "grants a");
        assertEquals(List.of(), host.look());
        assertEquals(List.of("claim k1 for 80", "released"), street.operations.look());
        assertEquals(List.of("503 in 0.200"), client.look());
    }

    @Test
    void whatWasSentIsNeverReleased() {
        does(client, 0, "keys r1");
        does(street.operations, 10, "grants");
        does(street.broker, 20, "grants a");
        assertEquals(List.of("reads r1"), host.look());
        does(host, 30, "resets r1");
        assertEquals(List.of("502"), client.look());
        assertEquals(List.of("claim k1 for 80", "abandoned"), street.operations.look());
        street.broker.look();
        street.assertNothingLeft();
    }

    @Test
    void whatIsLostIsNotAskedForAgain() {
        does(client, 0, "keys r1");
        does(street.operations, 10, "lost");
        assertEquals(List.of("502"), client.look());
        assertEquals(List.of("claim k1 for 80"), street.operations.look());
        assertEquals(List.of(), street.broker.look());
        street.assertNothingLeft();
    }
}
