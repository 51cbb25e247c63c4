package brambletray.platform.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** A request that a client sends while the one before it is at work. Routes of 4 s. */
class PipelinedRequestTest {
    private final SimulatedProxy proxy = new SimulatedProxy();
    private ScriptedClient client;
    private ScriptedHost host;

    @BeforeEach
    void open() {
        proxy.route("non_idempotent", 1);
        client = (ScriptedClient) proxy.actor("client");
        host = (ScriptedHost) proxy.actor("a");
        proxy.broker.act("grants a".split(" "));
        client.act("asks-twice r1 r2".split(" "));
        proxy.settle();
    }

    @Test
    void itsDeadlineCountsFromWhenItIsRead() {
        proxy.until(3_000);
        host.act("answers r1".split(" "));
        proxy.until(3_900);
        assertEquals(List.of("200 a:r1"), client.look());
        proxy.until(4_000);
        assertEquals(List.of("503 in 0.200"), client.look());
    }

    @Test
    void aDrainingEdgeServesItBeforeItClosesTheConnection() {
        proxy.frontEndServer.drain();
        proxy.broker.act("grants a".split(" "));
        host.act("answers r1".split(" "));
        proxy.settle();
        host.act("answers r2".split(" "));
        proxy.until(100);
        assertEquals(List.of("200 a:r1", "200 a:r2 close", "closed"), client.look());
    }

    @Test
    void anEdgeThatStopsAcceptingServesItBeforeItClosesTheConnection() {
        proxy.frontEndServer.stopAccepting();
        proxy.broker.act("grants a".split(" "));
        host.act("answers r1".split(" "));
        proxy.settle();
        host.act("answers r2".split(" "));
        proxy.until(100);
        assertEquals(List.of("200 a:r1", "200 a:r2 close", "closed"), client.look());
    }
}
