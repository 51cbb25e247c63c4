package brambletray.platform.proxy;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brambletray.platform.configuration.Configuration;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** What instances see of keys and tenants. */
class TenantAuthenticationTest {
    @Test
    void keysAndTenantNamesAreRemovedEvenWithoutConfiguredTenants() {
        String body = "{'revision':1,'routes':[{'name':'r','host':'h','path-prefix':'/','route-type':'idempotent',"
                + "'service':'s'}],'services':[{'name':'s'}]}";
        Configuration configuration = Configuration.read(body.replace('\'', '"').getBytes(StandardCharsets.UTF_8));
        HttpHeaders headers = new DefaultHttpHeaders();
        headers.set("Brambletray-Credential", "secret").set("Brambletray-Tenant-Name", "chosen by the client");

        TenantAuthentication authentication =
                TenantAuthentication.of(headers, configuration, configuration.match("h", "/"));

        assertTrue(authentication.accepted());
        assertNull(authentication.tenant());
        assertFalse(headers.contains("Brambletray-Credential"));
        assertFalse(headers.contains("Brambletray-Tenant-Name"));
    }
}
