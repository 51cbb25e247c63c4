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
    private static final int WINDOW_BYTES = 10_000;

    private final SimulatedProxy proxy = new SimulatedProxy();
    private ScriptedClient client;
    private ScriptedHost host;

    @BeforeEach
    void open() {
        proxy.route("non_idempotent", 1);
        proxy.simulation.network().window(WINDOW_BYTES);
        client = (ScriptedClient) proxy.actor("client");
        host = (ScriptedHost) proxy.actor("a");
    }

    /** A request whose answer of 100,000 bytes is here while its client reads nothing. */
    private void respondWhileClientDoesNotRead() {
        proxy.actor("edge");
        proxy.broker.act(new String[] {"grants", "a"});
        client.act("asks r1".split(" "));
        proxy.settle();
        client.act("sleeps".split(" "));
        host.act("answers-at-length r1".split(" "));
        proxy.until(100);
        assertEquals(0, proxy.router.activeRequests(), "the host's work is done");
        assertEquals(List.of(), client.look());
    }

    private List<String> seenAfterReadingResumesAt(long ms) {
        proxy.until(ms);
        client.act("wakes".split(" "));
        proxy.until(ms + 1_500);
        return client.look();
    }

    @Test
    void aDrainingEdgeWritesItsLastResponseCompletely() {
        proxy.frontEndServer.drain();
        respondWhileClientDoesNotRead();
        assertEquals(List.of("200 100000 close", "closed"), seenAfterReadingResumesAt(3_000));
    }

    @Test
    void stoppingToAcceptDoesNotTruncateAResponse() {
        respondWhileClientDoesNotRead();
        proxy.until(500);
        proxy.frontEndServer.stopAccepting();
        assertEquals(List.of("200 100000", "closed"), seenAfterReadingResumesAt(3_000));
    }

    @Test
    void theIdleTimeoutStartsOnceTheResponseIsWritten() {
        respondWhileClientDoesNotRead();
        assertEquals(List.of("200 100000"), seenAfterReadingResumesAt(14_000));
        proxy.until(28_000);
        assertEquals(List.of(), client.look(), "14 s of rest are allowed");
        proxy.until(31_000);
        assertEquals(List.of("closed"), client.look());
    }

    @Test
    void aClientThatNeverReadsIsDisconnected() {
        respondWhileClientDoesNotRead();
        proxy.until(16_000);
        assertEquals(0, proxy.frontEndServer.connectionCount());
        assertEquals(0, proxy.router.heldBytes());
    }
}
