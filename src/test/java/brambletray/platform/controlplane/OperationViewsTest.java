package brambletray.platform.controlplane;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brambletray.platform.configuration.KeyDigest;
import brambletray.platform.operations.ClaimId;
import brambletray.platform.operations.ClaimRequest;
import brambletray.platform.operations.OperationBatch;
import brambletray.platform.operations.OperationIdentity;
import brambletray.platform.operations.OperationKey;
import brambletray.platform.operations.OperationRegistry;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** What operators are shown of operations, byte by byte. The log's time is a ms behind: it never runs ahead. */
class OperationViewsTest {
    private static final String PATH = "/brambletray/system/operations";
    private static final OperationKey KEY = OperationKey.of("t", "k");

    private final CallRouter<ControlPlaneServer.CallHandler> table = new CallRouter<>();
    private final OperationRegistry registry = new OperationRegistry(1, 0);
    private final OperationClaims claims = new OperationClaims(registry, new Access(), 60_000, 100);
    private long nowMs;
    private byte[] proposed;
    private int status;
    private String body;

    private final class Access implements OperationClaims.Access {
        @Override
        public void propose(long token, byte[] change) {
            proposed = change;
        }

        @Override
        public void send(String edge, Object frame) {}

        @Override
        public String tenantOf(KeyDigest credential) {
            return "";
        }

        @Override
        public long nowMs() {
            return nowMs;
        }
    }

    OperationViewsTest() {
        new OperationViews("core-1", registry, claims, () -> nowMs).register(table);
    }

    private void get(String path) {
        CallRouter.Match<ControlPlaneServer.CallHandler> found = table.find("GET", path);
        found.handler()
                .handle(
                        new ControlCall("GET", path, null, new byte[0], (given, json, more) -> {
                            status = given;
                            body = new String(json, StandardCharsets.UTF_8);
                        }),
                        found.wildcard());
    }

    private void claim() {
        claims.onClaim("edge-1", new ClaimRequest(new ClaimId(0xe1, 7), OperationIdentity.withoutCredential(KEY)));
    }

    private void commit() {
        claims.onOperationsApplied(registry.apply(OperationBatch.decode(proposed), nowMs));
    }

    @Test
    void aMemberCountsItsClaims() {
        get(PATH);
        assertEquals(
                "{\"node\":\"core-1\",\"claims\":0,\"remembered\":0,\"waiting\":0,"
                        + "\"batches\":0,\"oldest-remaining-ms\":0}",
                body);
        claim();
        get(PATH);
        assertTrue(body.contains("\"claims\":0,\"remembered\":0,\"waiting\":1,\"batches\":1"), body);
        commit();
        nowMs = 1_500;
        get(PATH);
        assertEquals(200, status);
        assertEquals(
                "{\"node\":\"core-1\",\"claims\":1,\"remembered\":1,\"waiting\":0,"
                        + "\"batches\":1,\"oldest-remaining-ms\":58501}",
                body);
    }

    @Test
    void aKeyIsLookedUp() {
        claim();
        commit();
        nowMs = 20_000;
        get(PATH + '/' + KEY.hex());
        assertEquals(
                "{\"node\":\"core-1\",\"claimed\":true,\"edge\":\"edge-1\",\"life\":\"e1\","
                        + "\"sequence\":7,\"remaining-ms\":40001}",
                body);
        get(PATH + '/' + OperationKey.of("other", "k").hex());
        assertEquals("{\"node\":\"core-1\",\"claimed\":false}", body);
        get(PATH + "/k");
        assertEquals(400, status);
    }

    @Test
    void aKeyIsReadAsItIsWritten() {
        for (OperationKey key :
                new OperationKey[] {KEY, new OperationKey(-1, 0), new OperationKey(0, Long.MIN_VALUE)}) {
            assertEquals(32, key.hex().length());
            assertEquals(key, OperationKey.parse(key.hex()));
        }
        for (String bad : new String[] {"", "k", "+" + KEY.hex().substring(1), KEY.hex() + "0"}) {
            assertEquals(null, OperationKey.parse(bad), bad);
        }
    }
}
