package brambletray.platform.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import brambletray.platform.configuration.ClientLimits;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** A request that an edge has begun to read gets a whole answer, whatever configuration comes meanwhile. */
class ConfigurationChangeTest {
    private static final ClientLimits DEFAULT_LIMITS = new ClientLimits(2_048, 10_000, 3_000, 15_000);
    private static final ClientLimits LOWER_LIMITS = new ClientLimits(1_024, 4, 1_000, 2_000);

    private final SimulatedProxy proxy = new SimulatedProxy();
    private ScriptedClient client;
    private ScriptedHost host;

    @BeforeEach
    void open() {
        proxy.route("r", "non_idempotent", 1, DEFAULT_LIMITS);
        client = (ScriptedClient) proxy.actor("client");
        host = (ScriptedHost) proxy.actor("a");
    }

    private void actAt(Actor actor, long ms, String what) {
        proxy.until(ms);
        actor.act(what.split(" "));
        proxy.settle();
    }

    private List<String> observedUntil(long ms) {
        proxy.until(ms);
        return client.look();
    }

    private void removeRoute() {
        proxy.route("other", "non_idempotent", 1, DEFAULT_LIMITS);
    }

    private void sendPartialPost() {
        client.send(
                "POST /r/x HTTP/1.1\r\nHost: h.example\r\nBrambletray-Attempt-Id: r1\r\nContent-Length: 5\r\n\r\nhe");
        proxy.settle();
    }

    @Test
    void limitsAreLoweredWhileABodyIsRead() {
        actAt(proxy.broker, 0, "grants a");
        sendPartialPost();
        proxy.route("r", "non_idempotent", 1, LOWER_LIMITS);
        proxy.until(2_500);
        client.send("llo");
        actAt(host, 2_600, "answers r1");
        assertEquals(List.of("200 a:r1"), observedUntil(2_700));
        proxy.assertNothingLeft();
    }

    @Test
    void aConnectionIdleUnderTheOldLimitsIsStillUsable() {
        actAt(proxy.broker, 0, "grants a");
        actAt(proxy.broker, 0, "grants a");
        actAt(client, 0, "asks r1");
        actAt(host, 10, "answers r1");
        proxy.until(100);
        proxy.route("r", "non_idempotent", 1, LOWER_LIMITS);
        actAt(client, 11_900, "asks r2");
        actAt(host, 12_000, "answers r2");
        assertEquals(List.of("200 a:r1", "200 a:r2"), observedUntil(12_100));
    }

    @Test
    void raisedLimitsApplyToOpenConnections() {
        proxy.route("r", "non_idempotent", 1, LOWER_LIMITS);
        actAt(proxy.broker, 0, "grants a");
        actAt(proxy.broker, 0, "grants a");
        actAt(client, 0, "asks r1");
        actAt(host, 10, "answers r1");
        proxy.until(100);
        proxy.route("r", "non_idempotent", 1, DEFAULT_LIMITS);
        actAt(client, 5_000, "posts r2");
        actAt(host, 5_010, "answers r2");
        assertEquals(List.of("200 a:r1", "200 a:r2"), observedUntil(5_100));
    }

    @Test
    void routeRemovedWhileARequestIsRead() {
        sendPartialPost();
        removeRoute();
        client.send("llo");
        assertEquals(List.of("404"), observedUntil(100));
        proxy.assertNothingLeft();
    }

    @Test
    void routeRemovedWhileARequestWaits() {
        actAt(client, 0, "posts r1");
        removeRoute();
        actAt(proxy.broker, 100, "grants a");
        actAt(host, 200, "answers r1");
        assertEquals(List.of("200 a:r1"), observedUntil(300));
        proxy.assertNothingLeft();
    }

    @Test
    void routeRemovedWhileAHostIsWorking() {
        actAt(proxy.broker, 0, "grants a");
        actAt(client, 0, "posts r1");
        removeRoute();
        actAt(host, 3_900, "answers r1");
        assertEquals(List.of("200 a:r1"), observedUntil(3_950));
        proxy.assertNothingLeft();
    }

    @Test
    void routeRemovedWhileAResponseIsStreamed() {
        actAt(proxy.broker, 0, "grants a");
        actAt(client, 0, "asks r1");
        actAt(host, 100, "pours r1");
        removeRoute();
        actAt(host, 3_000, "ends r1");
        assertEquals(List.of("200 1400000"), observedUntil(3_500));
        proxy.assertNothingLeft();
    }
}
