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

    private final SimulatedProxy street = new SimulatedProxy();
    private final List<String> exits = new ArrayList<>();
    private GracefulShutdown shutdown;
    private ScriptedClient client;
    private ScriptedHost host;

    @BeforeEach
    void open() {
        street.route("non_idempotent", 1);
        client = (ScriptedClient) street.actor("client");
        host = (ScriptedHost) street.actor("a");
        shutdown = street.shutdown(code -> exits.add(code + " at " + street.simulation.now() / 1_000_000));
        shutdown.start(GRACE_MS);
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

    @Test
    void aRequestThatStillWaitsForAHostIsRefusedBeforeTheProcessEnds() {
        does(client, 2_400, "posts r1");
        assertEquals(List.of("503 in 0.200 close", "closed"), seenUntil(5_690));
        assertEquals(List.of("0 at 5450"), exits);
    }

    @Test
    void aRequestAtASilentHostIsAnsweredBeforeTheProcessEndsAndNoSooner() {
        does(street.broker, 2_300, "grants a");
        does(client, 2_400, "posts r1");
        assertEquals(List.of(), seenUntil(5_390));
        assertEquals(List.of("502 close", "closed"), seenUntil(5_690));
        assertEquals(List.of("reads r1"), host.look(), "the host works on until the process ends");
        street.until(8_000);
        assertEquals(List.of("0 at 5700"), exits);
    }

    @Test
    void aLateAnswerIsPassedOnAndTheProcessEndsSoonAfterIt() {
        does(street.broker, 2_300, "grants a");
        does(client, 2_400, "posts r1");
        does(host, 5_300, "answers r1");
        assertEquals(List.of("200 a:r1 close", "closed"), seenUntil(5_360));
        assertEquals(1, exits.size());
    }

    @Test
    void aStreamedAnswerGoesOnToItsEnd() {
        does(street.broker, 2_300, "grants a");
        does(client, 2_400, "asks r1");
        does(host, 2_500, "pours r1");
        does(host, 5_350, "ends r1");
        assertEquals(List.of("200 1400000 close", "closed"), seenUntil(5_600));
    }

    @Test
    void aStreamThatIsStillComingShortlyBeforeTheEndIsNotCutForThat() {
        does(street.broker, 2_300, "grants a");
        does(client, 2_400, "asks r1");
        does(host, 2_500, "pours r1");
        does(host, 5_600, "ends r1");
        assertEquals(List.of("200 1400000 close", "closed"), seenUntil(5_690));
    }

    @Test
    void aRequestThatIsBeingReadIsServed() {
        does(street.broker, 2_300, "grants a");
        street.until(2_400);
        client.send(POST + "Brambletray-Attempt-Id: r1\r\n\r\nhe");
        street.until(4_000);
        assertEquals(List.of(), exits);
        client.send("llo");
        does(host, 4_100, "answers r1");
        assertEquals(List.of("200 a:r1 close", "closed"), seenUntil(4_200));
    }

    @Test
    void aRequestThatIsReadWholeAtTheLastMomentIsRefusedAtOnce() {
        street.until(2_400);
        client.send(POST + "Brambletray-Attempt-Id: r1\r\n\r\nhe");
        street.until(5_500);
        client.send("llo");
        assertEquals(List.of("503 in 0.200 close", "closed"), seenUntil(5_690));
        assertEquals(List.of(), host.look());
    }

    @Test
    void aSecondSignalChangesNothing() {
        does(street.broker, 2_300, "grants a");
        does(client, 2_400, "posts r1");
        street.until(3_000);
        shutdown.start(GRACE_MS);
        street.until(4_000);
        shutdown.start(GRACE_MS);
        does(host, 5_200, "answers r1");
        assertEquals(List.of("200 a:r1 close", "closed"), seenUntil(5_690));
        street.until(20_000);
        assertEquals(1, exits.size(), exits.toString());
        assertEquals("0", exits.get(0).substring(0, 1));
    }

    @Test
    void withNothingUnderWayItEndsOnceClientsHaveBeenSentElsewhere() {
        street.until(20_000);
        assertEquals(List.of("0 at 2600"), exits);
    }
}
