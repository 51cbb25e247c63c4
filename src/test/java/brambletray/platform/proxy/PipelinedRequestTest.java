package brambletray.platform.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** A request that a client sends while the one before it is at work. Routes of 4 s. */
class PipelinedRequestTest {
    private final SimulatedProxy street = new SimulatedProxy();
    private ScriptedClient client;
    private ScriptedHost host;

    @BeforeEach
    void open() {
        street.route("non_idempotent", 1);
        client = (ScriptedClient) street.actor("client");
        host = (ScriptedHost) street.actor("a");
        street.broker.act("grants a".split(" "));
        client.act("asks-twice r1 r2".split(" "));
        street.settle();
    }

    @Test
    void itsTimeBeginsWhenItIsRead() {
        street.until(3_000);
        host.act("answers r1".split(" "));
        street.until(3_900);
        assertEquals(List.of("200 a:r1"), client.look());
        street.until(4_000);
        assertEquals(List.of("503 in 0.200"), client.look());
    }

    @Test
    void anEdgeThatLeavesServesItBeforeItClosesTheConnection() {
        street.frontEndServer.drain();
        street.broker.act("grants a".split(" "));
        host.act("answers r1".split(" "));
        street.settle();
        host.act("answers r2".split(" "));
        street.until(100);
        assertEquals(List.of("200 a:r1", "200 a:r2 close", "closed"), client.look());
    }

    @Test
    void anEdgeThatStopsAcceptingServesItBeforeItClosesTheConnection() {
        street.frontEndServer.stopAccepting();
        street.broker.act("grants a".split(" "));
        host.act("answers r1".split(" "));
        street.settle();
        host.act("answers r2".split(" "));
        street.until(100);
        assertEquals(List.of("200 a:r1", "200 a:r2 close", "closed"), client.look());
    }
}
