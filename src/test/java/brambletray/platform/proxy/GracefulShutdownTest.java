package brambletray.platform.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * From SIGTERM on: each request that was read whole gets a whole answer, and the process ends by itself with 0 within
 * its grace time.
 */
class GracefulShutdownTest {
    private static final long GRACE_MS = 6_000;
    private static final String POST = "POST /r/x HTTP/1.1\r\nHost: h.example\r\nContent-Length: 5\r\n";

    private final SimulatedProxy proxy = new SimulatedProxy();
    private final List<String> exits = new ArrayList<>();
    private GracefulShutdown shutdown;
    private ScriptedClient client;
    private ScriptedHost host;

    @BeforeEach
    void open() {
        proxy.route("non_idempotent", 1);
        client = (ScriptedClient) proxy.actor("client");
        host = (ScriptedHost) proxy.actor("a");
        shutdown = proxy.shutdown(code -> exits.add(code + " at " + proxy.simulation.now() / 1_000_000));
        shutdown.start(GRACE_MS);
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

    @Test
    void aRequestThatStillWaitsForAHostIsRefusedBeforeTheProcessEnds() {
        actAt(client, 2_400, "posts r1");
        assertEquals(List.of("503 in 0.200 close", "closed"), observedUntil(5_690));
        assertEquals(List.of("0 at 5450"), exits);
    }

    @Test
    void aRequestAtASilentHostIsAnsweredBeforeTheProcessEndsAndNoSooner() {
        actAt(proxy.broker, 2_300, "grants a");
        actAt(client, 2_400, "posts r1");
        assertEquals(List.of(), observedUntil(5_390));
        assertEquals(List.of("502 close", "closed"), observedUntil(5_690));
        assertEquals(List.of("reads r1"), host.look(), "the host works on until the process ends");
        proxy.until(8_000);
        assertEquals(List.of("0 at 5700"), exits);
    }

    @Test
    void aLateResponseIsPassedOnAndTheProcessExitsSoonAfter() {
        actAt(proxy.broker, 2_300, "grants a");
        actAt(client, 2_400, "posts r1");
        actAt(host, 5_300, "answers r1");
        assertEquals(List.of("200 a:r1 close", "closed"), observedUntil(5_360));
        assertEquals(1, exits.size());
    }

    @Test
    void aStreamedResponseIsCompleted() {
        actAt(proxy.broker, 2_300, "grants a");
        actAt(client, 2_400, "asks r1");
        actAt(host, 2_500, "pours r1");
        actAt(host, 5_350, "ends r1");
        assertEquals(List.of("200 1400000 close", "closed"), observedUntil(5_600));
    }

    @Test
    void aStreamInProgressShortlyBeforeTheEndIsNotCut() {
        actAt(proxy.broker, 2_300, "grants a");
        actAt(client, 2_400, "asks r1");
        actAt(host, 2_500, "pours r1");
        actAt(host, 5_600, "ends r1");
        assertEquals(List.of("200 1400000 close", "closed"), observedUntil(5_690));
    }

    @Test
    void aRequestThatIsBeingReadIsServed() {
        actAt(proxy.broker, 2_300, "grants a");
        proxy.until(2_400);
        client.send(POST + "Brambletray-Attempt-Id: r1\r\n\r\nhe");
        proxy.until(4_000);
        assertEquals(List.of(), exits);
        client.send("llo");
        actAt(host, 4_100, "answers r1");
        assertEquals(List.of("200 a:r1 close", "closed"), observedUntil(4_200));
    }

    @Test
    void aRequestCompletedAtTheLastMomentIsRefusedImmediately() {
        proxy.until(2_400);
        client.send(POST + "Brambletray-Attempt-Id: r1\r\n\r\nhe");
        proxy.until(5_500);
        client.send("llo");
        assertEquals(List.of("503 in 0.200 close", "closed"), observedUntil(5_690));
        assertEquals(List.of(), host.look());
    }

    @Test
    void aSecondSignalChangesNothing() {
        actAt(proxy.broker, 2_300, "grants a");
        actAt(client, 2_400, "posts r1");
        proxy.until(3_000);
        shutdown.start(GRACE_MS);
        proxy.until(4_000);
        shutdown.start(GRACE_MS);
        actAt(host, 5_200, "answers r1");
        assertEquals(List.of("200 a:r1 close", "closed"), observedUntil(5_690));
        proxy.until(20_000);
        assertEquals(1, exits.size(), exits.toString());
        assertEquals("0", exits.get(0).substring(0, 1));
    }

    @Test
    void anIdleEdgeExitsOnceAcceptingHasEnded() {
        proxy.until(20_000);
        assertEquals(List.of("0 at 2600"), exits);
    }
}
