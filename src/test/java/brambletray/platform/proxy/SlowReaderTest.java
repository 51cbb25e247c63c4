package brambletray.platform.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * An answer that was given to a client is whole, however slowly the client takes it and whatever the edge does
 * meanwhile.
 */
class SlowReaderTest {
    /** Bytes that a connection holds while nobody reads: a fraction of an answer. */
    private static final int WINDOW = 10_000;

    private final SimulatedProxy street = new SimulatedProxy();
    private ScriptedClient client;
    private ScriptedHost host;

    @BeforeEach
    void open() {
        street.route("non_idempotent", 1);
        street.simulation.network().window(WINDOW);
        client = (ScriptedClient) street.actor("client");
        host = (ScriptedHost) street.actor("a");
    }

    /** A request whose answer of 100,000 bytes is here while its client reads nothing. */
    private void answeredWhileTheClientSleeps() {
        street.actor("edge");
        street.places.act(new String[] {"grants", "a"});
        client.act("asks r1".split(" "));
        street.settle();
        client.act("sleeps".split(" "));
        host.act("answers-at-length r1".split(" "));
        street.until(100);
        assertEquals(0, street.flow.activeRequests(), "the host's work is done");
        assertEquals(List.of(), client.look());
    }

    private List<String> seenAfterWakingAt(long ms) {
        street.until(ms);
        client.act("wakes".split(" "));
        street.until(ms + 1_500);
        return client.look();
    }

    @Test
    void theAnswerThatClosesAConnectionOfADrainingEdgeIsTakenToItsEnd() {
        street.front.drain();
        answeredWhileTheClientSleeps();
        assertEquals(List.of("200 100000 close", "closed"), seenAfterWakingAt(3_000));
    }

    @Test
    void anEdgeThatStopsAcceptingDoesNotCutAnAnswerOnItsWay() {
        answeredWhileTheClientSleeps();
        street.until(500);
        street.front.stopAccepting();
        assertEquals(List.of("200 100000", "closed"), seenAfterWakingAt(3_000));
    }

    @Test
    void theIdleTimeBeginsWhenTheAnswerIsTaken() {
        answeredWhileTheClientSleeps();
        assertEquals(List.of("200 100000"), seenAfterWakingAt(14_000));
        street.until(28_000);
        assertEquals(List.of(), client.look(), "14 s of rest are allowed");
        street.until(31_000);
        assertEquals(List.of("closed"), client.look());
    }

    @Test
    void aClientThatNeverReadsIsGivenUp() {
        answeredWhileTheClientSleeps();
        street.until(16_000);
        assertEquals(0, street.front.connectionCount());
        assertEquals(0, street.flow.heldBytes());
    }
}
