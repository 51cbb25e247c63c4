package brambletray.platform.drill;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import brambletray.platform.drill.KeyedTrafficCluster.Answer;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Rule TWICE while an API key is passed on from one tenant to another. In most tests one edge stands still while the
 * change is acknowledged, so that it goes on with the former configuration.
 *
 * <pre>
 *   ms      operator              edge-1                 edge-2
 *      0                                                 stops
 *     20    key to "village"      applies it
 *    100                          first attempt: runs
 *    300                                                 second attempt waits
 *   1300                                                 goes on: former configuration, second attempt
 * </pre>
 */
class OperationTenantChangeTest {
    private static final int STANDS_STILL_MS = 1_000;
    private static final int CONNECTIONS = 4;
    private static final String PASSED_KEY = "key-that-is-passed-on";
    private static final String VILLAGE_KEY = "key-of-village";

    private final KeyedTrafficCluster traffic = new KeyedTrafficCluster(5);
    private EdgeNode running;
    private EdgeNode frozen;

    @BeforeEach
    void open() {
        traffic.start(tenant("household", PASSED_KEY) + "," + tenant("village", VILLAGE_KEY), PASSED_KEY);
        running = traffic.cluster.edges.get(0);
        frozen = traffic.cluster.edges.get(1);
        for (int i = 0; i < CONNECTIONS; i++) {
            // A new connection is accepted only when the edge goes on, and the new configuration may come first.
            traffic.connect(frozen);
        }
        traffic.pass(100);
    }

    @AfterEach
    void close() {
        traffic.close();
    }

    private static String tenant(String name, String... keys) {
        return KeyedTrafficCluster.tenant(name, List.of(keys));
    }

    private void passKeyOn() {
        change(tenant("household", "another-key") + "," + tenant("village", VILLAGE_KEY, PASSED_KEY));
    }

    private void change(String tenants) {
        traffic.changeTenants(tenants);
        traffic.until(() -> traffic.isUpToDate(running), "the running edge applies the change");
    }

    private void goesOnWithTheFormerConfiguration() {
        traffic.pass(STANDS_STILL_MS);
        assertFalse(traffic.isUpToDate(frozen));
        frozen.freeze(false);
    }

    private Answer attempt(EdgeNode edge, String credential) {
        return traffic.attempt(edge, "topup", credential, "op");
    }

    private void assertRanOnce(String operation, String tenant) {
        List<RecordingHosts.Run> runs = traffic.hosts.runs(operation);
        assertEquals(1, runs.size(), runs::toString);
        assertEquals(tenant, runs.get(0).tenant());
    }

    private static void assertServedBy(Answer first, Answer answer) {
        assertEquals("200 done by " + first.attempt, answer.toString());
    }

    /** Guards against a second run at an edge that still takes the key for its former tenant's. */
    @Test
    void aRepeatAtAnEdgeWithTheFormerConfigurationDoesNotRunAgain() {
        frozen.freeze(true);
        passKeyOn();
        Answer first = attempt(running, PASSED_KEY);
        traffic.pass(200);
        assertServedBy(first, first);
        Answer repeat = attempt(frozen, PASSED_KEY);
        goesOnWithTheFormerConfiguration();
        traffic.pass(2_000);
        assertRanOnce("op", "village");
        assertServedBy(first, repeat);
    }

    /**
     * Guards against a run under the former tenant that an up-to-date edge would not find.
     *
     * <pre>
     *   ms      operator              edge-1                 edge-2
     *      0    key to "village"      applies it             stands still
     *     20                                                 first attempt waits
     *   1020                                                 goes on: claims for "household", 503
     *   1120                          second attempt: runs
     *   3120                                                 third attempt: the second one's answer
     * </pre>
     */
    @Test
    void aFirstAttemptAtAnEdgeWithTheFormerConfigurationAndItsRepeatRunOnce() {
        frozen.freeze(true);
        passKeyOn();
        attempt(frozen, PASSED_KEY);
        goesOnWithTheFormerConfiguration();
        traffic.pass(100);
        Answer second = attempt(running, PASSED_KEY);
        traffic.pass(2_000);
        Answer repeat = attempt(frozen, PASSED_KEY);
        traffic.pass(2_000);
        assertRanOnce("op", "village");
        assertServedBy(second, repeat);
    }

    /**
     * Guards against a second run where only the repeat's key is new to the tenant.
     *
     * <pre>
     *   ms      operator              edge-1                 edge-2
     *      0    key to "village"      applies it             stands still
     *     20                          village's own key: runs
     *    220                                                 passed key waits
     *   1220                                                 goes on: claims for "household", 503
     *   3220                                                 passed key: the first one's answer
     * </pre>
     */
    @Test
    void aRepeatWithAnotherKeyOfTheTenantAtAnEdgeWithTheFormerConfigurationDoesNotRunAgain() {
        frozen.freeze(true);
        passKeyOn();
        Answer first = attempt(running, VILLAGE_KEY);
        traffic.pass(200);
        Answer refused = attempt(frozen, PASSED_KEY);
        goesOnWithTheFormerConfiguration();
        traffic.pass(2_000);
        assertRanOnce("op", "village");
        assertEquals(503, refused.status);
        Answer repeat = attempt(frozen, PASSED_KEY);
        traffic.pass(1_000);
        assertRanOnce("op", "village");
        assertServedBy(first, repeat);
    }

    /**
     * Guards against a second run of an operation that ran before its key was passed on.
     *
     * <pre>
     *   ms      operator              edge-1
     *      0                          first attempt: runs for "household"
     *    200    key to "village"      applies it
     *    220                          second attempt: the first one's answer
     * </pre>
     */
    @Test
    void aRepeatThatIsHandledAfterTheChangeDoesNotRunAgain() {
        Answer first = attempt(running, PASSED_KEY);
        traffic.pass(200);
        passKeyOn();
        Answer repeat = attempt(running, PASSED_KEY);
        traffic.pass(1_000);
        assertRanOnce("op", "household");
        assertServedBy(first, repeat);
    }

    /**
     * Guards against a second run on a public route, where a key that an edge does not know is no reason to refuse.
     *
     * <pre>
     *   ms      operator              edge-1                 edge-2
     *      0    adds a key            applies it             stands still
     *     20                          op: new key, runs
     *     20                          other: old key, runs
     *    220                                                 op and other with the new key wait
     *   1220                                                 goes on: claims both for nobody
     * </pre>
     */
    @Test
    void aRepeatOnAPublicRouteAtAnEdgeThatDoesNotKnowTheKeyDoesNotRunAgain() {
        frozen.freeze(true);
        change(tenant("village", VILLAGE_KEY, "new-key"));
        traffic.attempt(running, "open", "new-key", "op");
        traffic.attempt(running, "open", VILLAGE_KEY, "other");
        traffic.pass(200);
        traffic.attempt(frozen, "open", "new-key", "op");
        traffic.attempt(frozen, "open", "new-key", "other");
        goesOnWithTheFormerConfiguration();
        traffic.pass(2_000);
        assertRanOnce("op", "village");
        assertRanOnce("other", "village");
    }

    /**
     * Guards against a second run at an edge that still takes the route for an idempotent one, and so claims nothing.
     *
     * <pre>
     *   ms      operator              edge-1                 edge-2
     *      0    route is keyed        applies it             stands still
     *     20                          first attempt: runs
     *    220                                                 second attempt waits
     *   1220                                                 goes on: the first one's answer
     * </pre>
     */
    @Test
    void aRepeatAtAnEdgeThatTakesTheRouteForIdempotentDoesNotRunAgain() {
        traffic.changeRouteType("idempotent");
        traffic.until(() -> traffic.isUpToDate(running) && traffic.isUpToDate(frozen), "both apply the change");
        frozen.freeze(true);
        traffic.changeRouteType("keyed");
        traffic.until(() -> traffic.isUpToDate(running), "the running edge applies the change");
        Answer first = attempt(running, PASSED_KEY);
        traffic.pass(200);
        Answer repeat = attempt(frozen, PASSED_KEY);
        goesOnWithTheFormerConfiguration();
        traffic.pass(2_000);
        assertRanOnce("op", "household");
        assertServedBy(first, repeat);
    }
}
