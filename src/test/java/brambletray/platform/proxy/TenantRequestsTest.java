package brambletray.platform.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Whose request it is: what the instance hears of the tenant is ours, and what the client says of it is not. */
class TenantRequestsTest {
    private final SimulatedProxy street = new SimulatedProxy();
    private ScriptedClient client;
    private ScriptedHost host;

    @BeforeEach
    void open() {
        configure("k1", "idempotent");
        client = (ScriptedClient) street.actor("client");
        host = (ScriptedHost) street.actor("a");
    }

    /** A route for tenants, a public one, and one tenant with this key. */
    private void configure(String key, String type) {
        street.configuration(("{'revision':1,'routes':[" + route("r", type, false) + ',' + route("p", type, true) + "],"
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

    private void says(String route, String id, String headers) {
        client.say("GET /" + route + "/x HTTP/1.1\r\nHost: h.example\r\nBrambletray-Attempt-Id: " + id + "\r\n"
                + headers + "\r\n");
        street.settle();
    }

    private void grants() {
        street.places.act(new String[] {"grants", "a"});
        street.settle();
    }

    private String heard(String header) {
        return ScriptedHost.header(host.request, header);
    }

    @Test
    void theInstanceHearsTheTenantAndNotItsKey() {
        grants();
        says("r", "r1", "Brambletray-Credential: k1\r\n");
        assertEquals("acme", heard("brambletray-tenant-name"));
        assertEquals("", heard("brambletray-credential"));
    }

    @Test
    void aForgedTenantNameIsReplaced() {
        grants();
        says("r", "r1", "Brambletray-Tenant-Name: forged\r\nBrambletray-Credential: k1\r\n");
        assertEquals("acme", heard("brambletray-tenant-name"));
        assertEquals(-1, host.request.indexOf("forged"));
    }

    @Test
    void aForgedTenantNameOnAPublicRouteIsRemoved() {
        grants();
        says("p", "r1", "Brambletray-Tenant-Name: acme\r\n");
        assertEquals(List.of("reads r1"), host.look());
        assertEquals("", heard("brambletray-tenant-name"));
    }

    @Test
    void withoutAKeyOrWithTwoNothingRuns() {
        says("r", "r1", "");
        assertEquals(List.of("401"), client.look());
        says("r", "r2", "Brambletray-Credential: k1\r\nBrambletray-Credential: k1\r\n");
        assertEquals(List.of("401"), client.look());
        says("r", "r3", "Brambletray-Tenant-Name: acme\r\n");
        assertEquals(List.of("401"), client.look());
        assertEquals(List.of(), host.look());
        street.atRest();
    }

    /** It was the tenant's when it was read; what comes later with this key is nobody's. */
    @Test
    void aKeyIsWithdrawnWhileItsRequestQueues() {
        says("r", "r1", "Brambletray-Credential: k1\r\n");
        configure("k2", "idempotent");
        grants();
        assertEquals(List.of("reads r1"), host.look());
        assertEquals("acme", heard("brambletray-tenant-name"));
        host.act("answers r1".split(" "));
        street.settle();
        assertEquals(List.of("200 a:r1"), client.look());
        says("r", "r2", "Brambletray-Credential: k1\r\n");
        assertEquals(List.of("401"), client.look());
        street.places.look();
        street.atRest();
    }

    @Test
    void aKeyIsWithdrawnWhileItsRequestWaitsForItsClaim() {
        configure("k1", "keyed");
        says("r", "r1", "Brambletray-Credential: k1\r\nBrambletray-Operation-Key: k1\r\n");
        configure("k2", "keyed");
        street.operations.act(new String[] {"grants"});
        grants();
        host.act("answers r1".split(" "));
        street.settle();
        assertEquals(List.of("200 a:r1"), client.look());
        street.places.look();
        street.operations.look();
        street.atRest();
    }
}
