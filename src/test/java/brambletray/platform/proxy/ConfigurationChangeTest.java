package brambletray.platform.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import brambletray.platform.configuration.ClientLimits;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** A request that an edge has begun to read gets a whole answer, whatever configuration comes meanwhile. */
class ConfigurationChangeTest {
    private static final ClientLimits USUAL = new ClientLimits(2_048, 10_000, 3_000, 15_000);
    private static final ClientLimits LOWER = new ClientLimits(1_024, 4, 1_000, 2_000);

    private final SimulatedProxy street = new SimulatedProxy();
    private ScriptedClient client;
    private ScriptedHost host;

    @BeforeEach
    void open() {
        street.route("r", "non_idempotent", 1, USUAL);
        client = (ScriptedClient) street.actor("client");
        host = (ScriptedHost) street.actor("a");
    }

    private void does(Actor actor, long ms, String what) {
        street.until(ms);
        actor.act(what.split(" "));
        street.settle();
    }

    private List<String> seenUntil(long ms) {
        street.until(ms);
        return client.look();
    }

    private void withdrawTheRoute() {
        street.route("other", "non_idempotent", 1, USUAL);
    }

    private void beginsToPost() {
        client.send(
                "POST /r/x HTTP/1.1\r\nHost: h.example\r\nBrambletray-Attempt-Id: r1\r\nContent-Length: 5\r\n\r\nhe");
        street.settle();
    }

    @Test
    void limitsAreLoweredWhileABodyIsRead() {
        does(street.broker, 0, "grants a");
        beginsToPost();
        street.route("r", "non_idempotent", 1, LOWER);
        street.until(2_500);
        client.send("llo");
        does(host, 2_600, "answers r1");
        assertEquals(List.of("200 a:r1"), seenUntil(2_700));
        street.assertNothingLeft();
    }

    @Test
    void aConnectionThatRestedUnderTheOldLimitsIsStillTaken() {
        does(street.broker, 0, "grants a");
        does(street.broker, 0, "grants a");
        does(client, 0, "asks r1");
        does(host, 10, "answers r1");
        street.until(100);
        street.route("r", "non_idempotent", 1, LOWER);
        does(client, 11_900, "asks r2");
        does(host, 12_000, "answers r2");
        assertEquals(List.of("200 a:r1", "200 a:r2"), seenUntil(12_100));
    }

    @Test
    void raisedLimitsHoldOnConnectionsThatAreOpenAlready() {
        street.route("r", "non_idempotent", 1, LOWER);
        does(street.broker, 0, "grants a");
        does(street.broker, 0, "grants a");
        does(client, 0, "asks r1");
        does(host, 10, "answers r1");
        street.until(100);
        street.route("r", "non_idempotent", 1, USUAL);
        does(client, 5_000, "posts r2");
        does(host, 5_010, "answers r2");
        assertEquals(List.of("200 a:r1", "200 a:r2"), seenUntil(5_100));
    }

    @Test
    void theRouteIsWithdrawnWhileARequestIsRead() {
        beginsToPost();
        withdrawTheRoute();
        client.send("llo");
        assertEquals(List.of("404"), seenUntil(100));
        street.assertNothingLeft();
    }

    @Test
    void theRouteIsWithdrawnWhileARequestWaits() {
        does(client, 0, "posts r1");
        withdrawTheRoute();
        does(street.broker, 100, "grants a");
        does(host, 200, "answers r1");
        assertEquals(List.of("200 a:r1"), seenUntil(300));
        street.assertNothingLeft();
    }

    @Test
    void theRouteIsWithdrawnWhileAHostIsAtWork() {
        does(street.broker, 0, "grants a");
        does(client, 0, "posts r1");
        withdrawTheRoute();
        does(host, 3_900, "answers r1");
        assertEquals(List.of("200 a:r1"), seenUntil(3_950));
        street.assertNothingLeft();
    }

    @Test
    void theRouteIsWithdrawnWhileAnAnswerIsStreamed() {
        does(street.broker, 0, "grants a");
        does(client, 0, "asks r1");
        does(host, 100, "pours r1");
        withdrawTheRoute();
        does(host, 3_000, "ends r1");
        assertEquals(List.of("200 1400000"), seenUntil(3_500));
        street.assertNothingLeft();
    }
}
