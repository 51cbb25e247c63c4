package brambletray.platform.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tenant headers: the instance gets the tenant name set by the edge, never the one sent by the client. */
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

    /** Configures a route for tenants, a public route, and one tenant with this key. */
    private void configure(String key, String type) {
        configure("{'name':'acme','api-keys':['" + key + "'],'priority':1}", type, 1);
    }

    private void configure(String tenants, String type, long revision) {
        proxy.configuration(("{'revision':" + revision + ",'routes':[" + route("r", type, false) + ','
                        + route("p", type, true) + "],"
                        + "'tenants':[" + tenants + "],"
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

    /** The key is checked when the request is read: only later requests with the withdrawn key are rejected. */
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

    private static String wire(String text) {
        return new String(text.getBytes(StandardCharsets.UTF_8), StandardCharsets.ISO_8859_1);
    }

    /** Sends a request with this key, which must run, and returns the tenant name that the host was told. */
    private String toldName(int number, String key) {
        grantSlot();
        sendRequest("r", "r" + number, "Brambletray-Credential: " + key + "\r\n");
        assertEquals(List.of("reads r" + number), host.look());
        host.act(("answers r" + number).split(" "));
        proxy.settle();
        assertEquals(List.of("200 a:r" + number), client.look());
        return forwardedHeader("brambletray-tenant-name");
    }

    /** Guards against UNASKED: names beyond ISO-8859-1 reached hosts with '?' for characters (review/6). */
    @Test
    void namesBeyondAsciiAreToldAsUtf8() {
        List<String> names = List.of("Cần Thơ", "Cẩn Thơ", "Sóc Trăng", "é", "\ud83d\ude00", "50%");
        List<String> tenants = new ArrayList<>();
        for (int i = 0; i < names.size(); i++) {
            tenants.add("{'name':'" + names.get(i) + "','api-keys':['k" + i + "']}");
        }
        configure(String.join(",", tenants), "idempotent", 2);
        for (int i = 0; i < names.size(); i++) {
            assertEquals(wire(names.get(i)), toldName(i, "k" + i));
        }
    }

    /** Guards against UNASKED and closed connections: names that no header can carry. */
    @Test
    void namesWithControlCharactersOrOuterBlanksAreEncoded() {
        configure(
                "{'name':'a\\r\\nX-Forged: 1','api-keys':['k1']},{'name':' acme','api-keys':['k2']},"
                        + "{'name':'acme\\t','api-keys':['k3']},{'name':'acme','api-keys':['k4']}",
                "idempotent",
                2);
        assertEquals("a%0D%0AX-Forged:%201", toldName(1, "k1"));
        assertEquals("", forwardedHeader("x-forged"));
        assertEquals("%20acme", toldName(2, "k2"));
        assertEquals("acme%09", toldName(3, "k3"));
        assertEquals("acme", toldName(4, "k4"));
    }

    /** Guards against DENIED: keys beyond ASCII got 401, as they were compared as ISO-8859-1. */
    @Test
    void keysBeyondAsciiAreAccepted() {
        configure(
                "{'name':'t1','api-keys':['Cần']},{'name':'t2','api-keys':['é']},{'name':'t3','api-keys':['k%20']}",
                "idempotent", 2);
        assertEquals("t1", toldName(1, wire("Cần")));
        assertEquals("t2", toldName(2, wire("é")));
        assertEquals("t2", toldName(3, "é"), "as ISO-8859-1");
        assertEquals("t3", toldName(4, " \t k%20 \t "));
        sendRequest("r", "r5", "Brambletray-Credential: " + wire("Cẩn") + "\r\n");
        assertEquals(List.of("401"), client.look());
    }

    /** Bytes beyond ASCII of a client's own headers and path are passed on unchanged. */
    @Test
    void bytesOfOtherHeadersAreUnchanged() {
        grantSlot();
        StringBuilder bytes = new StringBuilder("x");
        for (char c = 0x80; c <= 0xff; c++) {
            bytes.append(c);
        }
        sendRequest("r", "r1", "Brambletray-Credential: k1\r\nX-Bytes: " + bytes + "\r\n");
        assertEquals(bytes.toString(), forwardedHeader("x-bytes"));
        host.act("answers r1".split(" "));
        proxy.settle();
        assertEquals(List.of("200 a:r1"), client.look());
        grantSlot();
        client.send("GET /r/" + wire("Cần") + "?q=" + wire("é") + " HTTP/1.1\r\nHost: h.example\r\n"
                + "Brambletray-Credential: k1\r\nBrambletray-Attempt-Id: r2\r\n\r\n");
        proxy.settle();
        assertEquals(
                "GET /r/" + wire("Cần") + "?q=" + wire("é") + " HTTP/1.1",
                host.lastRequest.split("\r\n")[0]);
    }
}
