package brambletray.platform.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Whose request it is: what the instance hears of the tenant is ours, and what the client says of it is not. */
class TenantRequestsTest {
    private final SimulatedProxy proxy = new SimulatedProxy();
    private ScriptedClient client;
    private ScriptedHost host;

    @BeforeEach
    void open() {
        configure("k1", "idempotent");
        client = (ScriptedClient) proxy.actor("client");
        host = (ScriptedHost) proxy.actor("a");
    }

    /** A route for tenants, a public one, and one tenant with this key. */
    private void configure(String key, String type) {
        proxy.configuration(("{'revision':1,'routes':[" + route("r", type, false) + ',' + route("p", type, true) + "],"
                        + "'tenants':[{'name':'acme','api-keys':['" + key + "'],'priority':1}],"
                        + "'services':[{'name':'s','health-path':null,'max-connections':8,'protocol':'h1',"
                        + "'tls-mode':false,'memory-mb':128,'boot-ms':500,'max-concurrency':4}],"
                        + "'limits':{'max-header-bytes':2048,'max-body-bytes':10000,'header-timeout-ms':3000,"
                        + "'idle-timeout-ms':15000}}")
                .replace('\'', '"'));
    }

    private static String route(String name, String type, boolean isPublic) {
        return "{'name':'" + name + "','host':'h.example','path-prefix':'/" + name + "/','route-type':'" + type
                + "','public':" + isPublic
                + ",'timeout-ms':4000,'target-ms':400,'priority':1,'service':'s','retry-count':1}";
    }

    private void sendRequest(String route, String id, String headers) {
        client.send("GET /" + route + "/x HTTP/1.1\r\nHost: h.example\r\nBrambletray-Attempt-Id: " + id + "\r\n"
                + headers + "\r\n");
        proxy.settle();
    }

    private void grantSlot() {
        proxy.broker.act(new String[] {"grants", "a"});
        proxy.settle();
    }

    private String forwardedHeader(String header) {
        return ScriptedHost.header(host.lastRequest, header);
    }

    @Test
    void theInstanceGetsTheTenantNameButNotTheKey() {
        grantSlot();
        sendRequest("r", "r1", "Brambletray-Credential: k1\r\n");
        assertEquals("acme", forwardedHeader("brambletray-tenant-name"));
        assertEquals("", forwardedHeader("brambletray-credential"));
    }

    @Test
    void aForgedTenantNameIsReplaced() {
        grantSlot();
        sendRequest("r", "r1", "Brambletray-Tenant-Name: forged\r\nBrambletray-Credential: k1\r\n");
        assertEquals("acme", forwardedHeader("brambletray-tenant-name"));
        assertEquals(-1, host.lastRequest.indexOf("forged"));
    }

    @Test
    void aForgedTenantNameOnAPublicRouteIsRemoved() {
        grantSlot();
        sendRequest("p", "r1", "Brambletray-Tenant-Name: acme\r\n");
        assertEquals(List.of("reads r1"), host.look());
        assertEquals("", forwardedHeader("brambletray-tenant-name"));
    }

    @Test
    void withoutAKeyOrWithTwoNothingRuns() {
        sendRequest("r", "r1", "");
        assertEquals(List.of("401"), client.look());
        sendRequest("r", "r2", "Brambletray-Credential: k1\r\nBrambletray-Credential: k1\r\n");
        assertEquals(List.of("401"), client.look());
        sendRequest("r", "r3", "Brambletray-Tenant-Name: acme\r\n");
        assertEquals(List.of("401"), client.look());
        assertEquals(List.of(), host.look());
        proxy.assertNothingLeft();
    }

    /** It was the tenant's when it was read; what comes later with this key is nobody's. */
    @Test
    void aKeyIsWithdrawnWhileItsRequestQueues() {
        sendRequest("r", "r1", "Brambletray-Credential: k1\r\n");
        configure("k2", "idempotent");
        grantSlot();
        assertEquals(List.of("reads r1"), host.look());
        assertEquals("acme", forwardedHeader("brambletray-tenant-name"));
        host.act("answers r1".split(" "));
        proxy.settle();
        assertEquals(List.of("200 a:r1"), client.look());
        sendRequest("r", "r2", "Brambletray-Credential: k1\r\n");
        assertEquals(List.of("401"), client.look());
        proxy.broker.look();
        proxy.assertNothingLeft();
    }

    @Test
    void aKeyIsWithdrawnWhileItsRequestWaitsForItsClaim() {
        configure("k1", "keyed");
        sendRequest("r", "r1", "Brambletray-Credential: k1\r\nBrambletray-Operation-Key: k1\r\n");
        configure("k2", "keyed");
        proxy.operations.act(new String[] {"grants"});
        grantSlot();
        host.act("answers r1".split(" "));
        proxy.settle();
        assertEquals(List.of("200 a:r1"), client.look());
        proxy.broker.look();
        proxy.operations.look();
        proxy.assertNothingLeft();
    }
}
