package brambletray.platform.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Whatever holds a request up, its client is answered at its route's timeout: 4 s here, where the client itself would
 * wait for 9 s.
 */
class RouteTimeoutTest {
    private static final long TIMEOUT_MS = 4_000;
    /** ms past the timeout at which an answer that is still coming is ended: less than a quarter of a second. */
    private static final long STREAM_MARGIN_MS = 200;

    private final SimulatedProxy street = new SimulatedProxy();
    private ScriptedClient client;
    private ScriptedHost host;

    @BeforeEach
    void open() {
        street.route("non_idempotent", 1);
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

    private void postedToHost() {
        does(street.places, 0, "grants a");
        does(client, 0, "posts r1 9000");
    }

    @Test
    void noPlaceIsEverGranted() {
        does(client, 0, "posts r1 9000");
        assertEquals(List.of(), seenUntil(TIMEOUT_MS - 30));
        assertEquals(List.of("503 in 0.200"), seenUntil(TIMEOUT_MS));
        street.atRest();
    }

    @Test
    void theHostNeverListens() {
        does(host, 0, "X");
        does(street.places, 0, "grants a booting");
        does(client, 0, "posts r1 9000");
        assertEquals(List.of(), seenUntil(TIMEOUT_MS - 30));
        assertEquals(List.of("503 in 0.200"), seenUntil(TIMEOUT_MS));
        street.atRest();
    }

    @Test
    void theHostIsSilent() {
        postedToHost();
        assertEquals(List.of(), seenUntil(TIMEOUT_MS - 30));
        assertEquals(List.of("504"), seenUntil(TIMEOUT_MS));
        street.atRest();
    }

    @Test
    void theHostsAnswerIsNotWholeYet() {
        postedToHost();
        does(host, 3_000, "begins r1");
        assertEquals(List.of(), seenUntil(TIMEOUT_MS - 30));
        assertEquals(List.of("504"), seenUntil(TIMEOUT_MS));
        street.atRest();
    }

    @Test
    void aStreamedAnswerStops() {
        postedToHost();
        does(host, 3_000, "pours r1");
        assertEquals(List.of(), seenUntil(TIMEOUT_MS));
        assertEquals(List.of("cut"), seenUntil(TIMEOUT_MS + STREAM_MARGIN_MS));
        street.atRest();
    }

    @Test
    void theClientDoesNotReadAStreamedAnswer() {
        street.simulation.network().window(10_000);
        postedToHost();
        does(client, 0, "sleeps");
        does(host, 3_000, "pours r1");
        street.until(TIMEOUT_MS + STREAM_MARGIN_MS);
        assertEquals(0, street.front.connectionCount());
        street.atRest();
    }

    @Test
    void theClientsBodyStops() {
        client.say("POST /r/x HTTP/1.1\r\nHost: h.example\r\nBrambletray-Attempt-Id: r1\r\n"
                + "Brambletray-Deadline-Remaining: 9000\r\nContent-Length: 5\r\n\r\nhe");
        assertEquals(List.of(), seenUntil(TIMEOUT_MS - 30));
        assertEquals(List.of("408 close", "closed"), seenUntil(TIMEOUT_MS + 1));
        street.atRest();
    }

    @Test
    void theClientsBodyStopsBehindAnotherRequest() {
        does(street.places, 0, "grants a");
        client.say("GET /r/x HTTP/1.1\r\nHost: h.example\r\nBrambletray-Attempt-Id: r1\r\n\r\n"
                + "POST /r/x HTTP/1.1\r\nHost: h.example\r\nBrambletray-Attempt-Id: r2\r\nContent-Length: 5\r\n\r\nhe");
        does(host, 3_000, "answers r1");
        assertEquals(List.of("200 a:r1"), seenUntil(TIMEOUT_MS - 30));
        assertEquals(List.of("408 close", "closed"), seenUntil(TIMEOUT_MS + 1));
        street.atRest();
    }

    @Test
    void aBodyThatIsWholeInTimeIsNotAnsweredForItsSlowness() {
        does(street.places, 0, "grants a");
        client.say("POST /r/x HTTP/1.1\r\nHost: h.example\r\nBrambletray-Attempt-Id: r1\r\n"
                + "Brambletray-Deadline-Remaining: 9000\r\nContent-Length: 5\r\n\r\nhe");
        street.until(3_900);
        client.say("llo");
        does(host, 3_950, "answers r1");
        assertEquals(List.of("200 a:r1"), seenUntil(TIMEOUT_MS + 1_000));
        street.atRest();
    }

    @Test
    void theEdgeItselfStoodStill() {
        does(client, 0, "posts r1 9000");
        street.until(TIMEOUT_MS - 100);
        street.freeze(700);
        assertEquals(List.of("503 in 0.200"), seenUntil(TIMEOUT_MS + 601));
        street.atRest();
    }
}
