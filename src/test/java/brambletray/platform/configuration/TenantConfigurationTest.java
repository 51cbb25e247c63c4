package brambletray.platform.configuration;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tenants, API keys and keyed routes in configurations. */
class TenantConfigurationTest {
    private static final String ROUTES = "\"routes\":[{\"name\":\"pay\",\"host\":\"h\",\"path-prefix\":\"/pay/\","
            + "\"route-type\":\"keyed\","
            + "\"service\":\"ledger\",\"public\":false},{\"name\":\"open\",\"host\":\"h\",\"path-prefix\":\"/open/\","
            + "\"route-type\":\"idempotent\",\"service\":\"ledger\",\"public\":true}]";
    private static final String SERVICES = "\"services\":[{\"name\":\"ledger\",\"self-dedupe\":true}]";

    private static byte[] body(int revision, String tenants) {
        return ("{\"revision\":" + revision + ',' + ROUTES + ',' + SERVICES + ",\"tenants\":["
                        + tenants.replace('\'', '"') + "]}")
                .getBytes(StandardCharsets.UTF_8);
    }

    private static Configuration read(String tenants) {
        return Configuration.read(body(1, tenants));
    }

    private static Configuration modify(Configuration configuration, String change) {
        return configuration.modify(change.replace('\'', '"').getBytes(StandardCharsets.UTF_8));
    }

    @Test
    void firstConfigurationMayHaveKeyedRoutesAndTenants() {
        Configuration configuration =
                read("{'name':'acme','api-keys':['k1','k2'],'priority':1,'rate-per-s':110,'burst-size':55.5}");
        assertEquals(RouteKind.KEYED, configuration.routes().get("pay").kind());
        assertFalse(configuration.routes().get("pay").idempotent());
        assertFalse(configuration.routes().get("pay").isPublic());
        assertTrue(configuration.routes().get("open").isPublic());
        assertTrue(configuration.services().get("ledger").selfDedupe());
        Tenant tenant = configuration.tenantForKey("k2");
        assertEquals("acme", tenant.name());
        assertEquals(1, tenant.priority());
        assertEquals(110, tenant.ratePerS());
        assertEquals(55.5, tenant.burstSize());
        assertNull(configuration.tenantForKey("k3"));
        assertArrayEquals(
                configuration.json(), Configuration.read(configuration.json()).json());
    }

    @Test
    void missingOrZeroRateMeansNoLimit() {
        Configuration configuration =
                read("{'name':'a','api-keys':['k1']},{'name':'b','api-keys':['k2'],'rate-per-s':0}");
        assertFalse(configuration.tenantForKey("k1").isLimited());
        assertFalse(configuration.tenantForKey("k2").isLimited());
    }

    @Test
    void keysAreAddedRemovedAndMovedToAnotherTenant() {
        Configuration before = read("{'name':'a','api-keys':['k1','k2']},{'name':'b','api-keys':['k3']}");
        Configuration moved = modify(
                before,
                "{'revision':2,'upsert':{'tenants':[{'name':'a','api-keys':['k1']},"
                        + "{'name':'b','api-keys':['k2','k3']}]}}");
        assertEquals("b", moved.tenantForKey("k2").name());
        assertEquals("a", moved.tenantForKey("k1").name());
        Configuration withdrawn = modify(moved, "{'revision':3,'withdraw':{'tenants':['b']}}");
        assertNull(withdrawn.tenantForKey("k2"));
        assertNull(withdrawn.tenantForKey("k3"));
        assertEquals("a", withdrawn.tenantForKey("k1").name());
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', textBlock = """
        {'name':'a','api-keys':['secret']},{'name':'b','api-keys':['secret']} | shared-key
        {'name':'a','api-keys':['secret','secret']}                           | repeated-key
        {'name':'a','api-keys':['']}                                          | bad-key
        {'name':'a','api-keys':[7]}                                           | bad-key
        {'name':'a','api-keys':'secret'}                                      | wrong-type
        {'name':'a','api-keys':['secret']},{'name':'a','api-keys':['other']}  | duplicate-name
        {'api-keys':['secret']}                                               | missing
        {'name':'a','api-keys':['secret'],'rate-per-s':-1}                    | out-of-range
        {'name':'a','api-keys':['secret'],'burst-size':-1}                    | out-of-range
        {'name':'a','api-keys':['secret'],'priority':-1}                      | out-of-range
        """)
    void invalidTenantsAreRejectedWithoutRevealingTheirKeys(String tenants, String code) {
        ConfigurationException error = assertThrows(ConfigurationException.class, () -> read(tenants));
        assertTrue(error.code().endsWith(code), error.code());
        assertFalse(error.getMessage().contains("secret"), error.getMessage());
    }

    @Test
    void deltaContainsTenants() {
        Configuration before = read("{'name':'a','api-keys':['k1']},{'name':'c','api-keys':['k9']}");
        Configuration after = modify(
                before,
                "{'revision':2,'upsert':{'tenants':[{'name':'a','api-keys':['k4'],'rate-per-s':3}]},"
                        + "'withdraw':{'tenants':['c']}}");
        ChangeHistory history = new ChangeHistory();
        history.advanceTo(before);
        history.advanceTo(after);
        Configuration received = before.apply(history.deltaSince(1));
        assertEquals(after.digest(), received.digest());
        assertNull(received.tenantForKey("k1"));
        assertNull(received.tenantForKey("k9"));
        assertEquals(3, received.tenantForKey("k4").ratePerS());
    }

    /** Guards against UNASKED: a name that is the encoded form of another one would be told for both. */
    @Test
    void namesThatInstancesCouldNotTellApartAreRejected() {
        ConfigurationStateMachine stateMachine = new ConfigurationStateMachine();
        byte[] alike = body(1, "{'name':'a\\r','api-keys':['k1']},{'name':'a%0D','api-keys':['k2']}");
        ChangeDecision.Invalid invalid =
                assertInstanceOf(ChangeDecision.Invalid.class, stateMachine.evaluate(ChangeKind.REPLACE, 0, alike));
        assertEquals("configuration.same-header", invalid.error().code());
        byte[] apart = body(1, "{'name':'a\\r','api-keys':['k1']},{'name':'a%250D','api-keys':['k2']}");
        assertInstanceOf(ChangeDecision.Proposable.class, stateMachine.evaluate(ChangeKind.REPLACE, 0, apart));
        assertInstanceOf(
                ChangeDecision.Applied.class,
                stateMachine.apply(new ConfigurationChange(ChangeKind.REPLACE, 0, alike).encode()),
                "committed by an earlier version");
    }
}
