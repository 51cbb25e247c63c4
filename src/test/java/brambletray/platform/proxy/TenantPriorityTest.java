package brambletray.platform.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import brambletray.platform.admission.SlotOwner;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** The priority with which a request of a tenant asks for its slot. */
class TenantPriorityTest {
    private static final String CONFIGURATION = "{\"revision\":1,\"routes\":[{\"name\":\"r\",\"host\":\"h.example\","
            + "\"path-prefix\":\"/r/\",\"route-type\":\"idempotent\",\"timeout-ms\":4000,\"target-ms\":400,"
            + "\"priority\":2,\"service\":\"s\",\"retry-count\":2,\"public\":true}],"
            + "\"services\":[{\"name\":\"s\",\"health-path\":null,\"max-connections\":8,\"memory-mb\":128,"
            + "\"boot-ms\":500,\"max-concurrency\":4}],"
            + "\"tenants\":[{\"name\":\"plain\",\"api-keys\":[\"k1\"]},"
            + "{\"name\":\"ranked\",\"api-keys\":[\"k2\"],\"priority\":1},"
            + "{\"name\":\"first\",\"api-keys\":[\"k3\"],\"priority\":0}]}";

    private final SimulatedProxy proxy = new SimulatedProxy();
    private ScriptedClient client;

    @BeforeEach
    void open() {
        proxy.configuration(CONFIGURATION);
        client = (ScriptedClient) proxy.actor("client");
        proxy.actor("a");
    }

    private SlotOwner ownerOf(String key) {
        client.send("GET /r/x HTTP/1.1\r\nHost: h.example\r\nBrambletray-Attempt-Id: r1\r\n"
                + (key.isEmpty() ? "" : "Brambletray-Credential: " + key + "\r\n") + "\r\n");
        proxy.settle();
        return proxy.broker.oldest().owner();
    }

    @Test
    void aTenantWithoutAPriorityGetsThatOfTheRoute() {
        assertEquals(2, ownerOf("k1").priority());
    }

    @Test
    void aTenantsPriorityOverridesThatOfTheRoute() {
        assertEquals(1, ownerOf("k2").priority());
    }

    @Test
    void priorityZeroIsNotTakenForAMissingOne() {
        assertEquals(0, ownerOf("k3").priority());
    }

    @Test
    void theSlotRequestHasTheTenantAndTheRoutePriority() {
        SlotOwner owner = ownerOf("k2");
        assertEquals("ranked", owner.tenant());
        assertEquals(2, owner.routePriority());
    }

    @Test
    void anAnonymousRequestHasTheRoutePriority() {
        SlotOwner owner = ownerOf("");
        assertEquals("", owner.tenant());
        assertEquals(2, owner.priority());
        assertEquals(0, owner.routePriority());
    }
}
