package brambletray.platform.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Rule CONFIG: what an edge answers that does not know whether its configuration is the newest. */
class OutdatedConfigurationTest {
    private static final String CONFIGURATION = "{\"revision\":1,\"routes\":[{\"name\":\"r\",\"host\":\"h.example\","
            + "\"path-prefix\":\"/r/\",\"route-type\":\"idempotent\",\"timeout-ms\":4000,\"target-ms\":400,"
            + "\"priority\":1,\"service\":\"s\",\"retry-count\":2}],\"services\":[{\"name\":\"s\","
            + "\"health-path\":null,\"max-connections\":8,\"memory-mb\":128,\"boot-ms\":500,\"max-concurrency\":4}],"
            + "\"tenants\":[{\"name\":\"t\",\"api-keys\":[\"known\"]}]}";

    private final SimulatedProxy proxy = new SimulatedProxy();
    private ScriptedClient client;

    @BeforeEach
    void open() {
        proxy.configuration(CONFIGURATION);
        client = (ScriptedClient) proxy.actor("client");
        proxy.actor("a");
    }

    private List<String> responseTo(String path, String key) {
        client.send("GET " + path + " HTTP/1.1\r\nHost: h.example\r\nBrambletray-Attempt-Id: r1\r\n"
                + "Brambletray-Credential: " + key + "\r\n\r\n");
        proxy.settle();
        return client.look();
    }

    @Test
    void anUnknownKeyIsDeniedOnlyByTheNewestConfiguration() {
        assertEquals(List.of("401"), responseTo("/r/x", "unknown"));
        proxy.mayBeOutdated = true;
        assertEquals(List.of("503 in 0.400"), responseTo("/r/x", "unknown"));
        proxy.mayBeOutdated = false;
        assertEquals(List.of("401"), responseTo("/r/x", "unknown"));
        assertEquals(2, proxy.counters.unauthenticated);
        assertEquals(1, proxy.counters.unavailable);
        proxy.assertNothingLeft();
    }

    @Test
    void anUnknownRouteIsDeniedOnlyByTheNewestConfiguration() {
        assertEquals(List.of("404"), responseTo("/none", "known"));
        proxy.mayBeOutdated = true;
        assertEquals(List.of("503 in 0.400"), responseTo("/none", "known"));
        assertEquals(1, proxy.counters.unrouted);
        assertEquals(1, proxy.counters.unavailable);
        proxy.assertNothingLeft();
    }

    @Test
    void requestsAllowedByTheKnownConfigurationAreServed() {
        proxy.mayBeOutdated = true;
        responseTo("/r/x", "known");
        assertEquals(List.of("wants"), proxy.broker.look());
    }
}
