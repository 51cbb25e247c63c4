package brambletray.platform.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brambletray.platform.configuration.Tenant;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** What the coordinator grants, refuses and allows edges as run-ahead, in virtual time. */
class TenantQuotasTest {
    private static final QuotaParameters PARAMETERS = new QuotaParameters(5_000, 0.1, 20);
    private static final double RATE = 50;
    private static final double BURST = 30;
    private static final EdgeIncarnation EDGE = new EdgeIncarnation("edge-1", 1);
    private static final EdgeIncarnation OTHER_EDGE = new EdgeIncarnation("edge-2", 1);
    /** Time after the start, ms, at which the buckets are full and run-ahead may be given. */
    private static final long WARM_UP_MS = 60_000;

    private final TenantQuotas quotas = new TenantQuotas(PARAMETERS);
    private long nextId;

    private static Tenant tenant(String name, double rate, double burst) {
        return new Tenant(name, List.of(), 0, rate, burst);
    }

    private void setLimit(double rate, double burst, long nowMs) {
        quotas.updateTenants(Map.of("a", tenant("a", rate, burst), "free", tenant("free", 0, 0)), nowMs);
    }

    private QuotaResponse request(EdgeIncarnation edge, long nowMs) {
        return quotas.onRequest(edge, new QuotaRequest(++nextId, "a"), nowMs);
    }

    private int grants(EdgeIncarnation edge, int requests, long nowMs) {
        int granted = 0;
        for (int i = 0; i < requests; i++) {
            granted += request(edge, nowMs) instanceof QuotaGrant ? 1 : 0;
        }
        return granted;
    }

    private int runAhead(EdgeIncarnation edge, long nowMs) {
        return assertInstanceOf(QuotaGrant.class, request(edge, nowMs)).runAhead();
    }

    private static int capacity() {
        return (int) PARAMETERS.capacity(RATE, BURST);
    }

    @Test
    void aNewCoordinatorStartsWithAnEmptyBucket() {
        setLimit(RATE, BURST, 0);
        assertEquals(0, grants(EDGE, 100, 0));
        assertEquals(25, grants(EDGE, 100, 500));
    }

    @Test
    void tokensAccumulateUpToTheCapacity() {
        setLimit(RATE, BURST, 0);
        assertEquals(capacity(), grants(EDGE, 1_000, WARM_UP_MS));
        assertEquals(0, grants(EDGE, 1_000, WARM_UP_MS));
    }

    @Test
    void aRefusalSaysWhenTheNextRightIsAvailable() {
        setLimit(RATE, BURST, 0);
        QuotaRefusal refusal = assertInstanceOf(QuotaRefusal.class, request(EDGE, 0));
        assertEquals(20, refusal.retryAfterMs());
        assertInstanceOf(QuotaGrant.class, request(EDGE, refusal.retryAfterMs()));
    }

    @Test
    void unknownTenantsAreRefusedAndUnlimitedTenantsAreGranted() {
        setLimit(RATE, BURST, 0);
        assertInstanceOf(QuotaRefusal.class, quotas.onRequest(EDGE, new QuotaRequest(1, "nobody"), 0));
        assertInstanceOf(QuotaGrant.class, quotas.onRequest(EDGE, new QuotaRequest(2, "free"), 0));
    }

    @Test
    void aChangedLimitAppliesAtOnceWithoutARefill() {
        setLimit(RATE, BURST, 0);
        assertEquals(capacity(), grants(EDGE, 1_000, WARM_UP_MS));
        setLimit(10 * RATE, BURST, WARM_UP_MS);
        assertEquals(0, grants(EDGE, 1_000, WARM_UP_MS));
        assertEquals(50, grants(EDGE, 1_000, WARM_UP_MS + 100));
        setLimit(10, 0, 2 * WARM_UP_MS);
        assertEquals((int) PARAMETERS.capacity(10, 0), grants(EDGE, 1_000, 2 * WARM_UP_MS));
    }

    @Test
    void aTenantThatIsRemovedAndAddedAgainStartsWithAnEmptyBucket() {
        setLimit(RATE, BURST, 0);
        quotas.updateTenants(Map.of(), WARM_UP_MS);
        assertEquals(0, grants(EDGE, 10, WARM_UP_MS));
        setLimit(RATE, BURST, WARM_UP_MS);
        assertEquals(0, grants(EDGE, 10, WARM_UP_MS));
    }

    @Test
    void requestsWithoutRightsPutTheBucketIntoDebt() {
        setLimit(RATE, BURST, 0);
        quotas.onDebit(new QuotaDebit("a", capacity() + 25), WARM_UP_MS);
        assertEquals(0, grants(EDGE, 1_000, WARM_UP_MS + 500));
        assertEquals(1, grants(EDGE, 1_000, WARM_UP_MS + 520));
    }

    @Test
    void returnedRightsAreCreditedUnlessLateOrNeverGranted() {
        setLimit(RATE, BURST, 0);
        assertEquals(capacity(), grants(EDGE, 1_000, WARM_UP_MS));
        quotas.onReturn(new QuotaReturn("a", 5), WARM_UP_MS);
        assertEquals(5, grants(EDGE, 1_000, WARM_UP_MS));
        long late = WARM_UP_MS + QuotaParameters.RETURN_VALIDITY_MS + 1;
        int accrued = (int) (RATE * (late - WARM_UP_MS) / 1_000);
        quotas.onReturn(new QuotaReturn("a", 1_000), late);
        assertEquals(accrued, grants(EDGE, 1_000, late));
        quotas.onReturn(new QuotaReturn("a", 1_000), late);
        assertEquals(accrued, grants(EDGE, 1_000, late), "no more than were granted recently");
    }

    @Test
    void rightsThatAreReturnedAndGrantedAgainDoNotAccumulate() {
        setLimit(RATE, BURST, 0);
        int granted = 0;
        for (long nowMs = WARM_UP_MS; nowMs < WARM_UP_MS + 3_000; nowMs += 200) {
            quotas.onReturn(new QuotaReturn("a", granted), nowMs);
            granted = grants(EDGE, 1_000, nowMs);
        }
        double late = RATE * (QuotaParameters.RIGHT_VALIDITY_MS + QuotaParameters.RETURN_VALIDITY_MS) / 1_000;
        assertTrue(granted <= capacity() + late, granted + " of " + capacity());
    }

    @Test
    void aNewCoordinatorGivesNoRunAheadWhileSharesOfItsPredecessorMayBeInUse() {
        setLimit(RATE, BURST, 0);
        assertEquals(0, runAhead(EDGE, PARAMETERS.runAheadHoldMs() - 1));
        assertTrue(runAhead(EDGE, PARAMETERS.runAheadHoldMs()) > 0);
    }

    @Test
    void runAheadOfAllEdgesNeverExceedsTheTotal() {
        setLimit(RATE, BURST, 0);
        int total = PARAMETERS.runAhead(RATE, BURST);
        assertEquals(total, runAhead(EDGE, WARM_UP_MS));
        assertEquals(0, runAhead(OTHER_EDGE, WARM_UP_MS), "the first edge may hold the whole run-ahead");
        assertEquals(total / 2, runAhead(EDGE, WARM_UP_MS + 100));
        assertEquals(0, runAhead(OTHER_EDGE, WARM_UP_MS + 200), "the smaller share may not have arrived yet");
        long expiredAtMs = WARM_UP_MS + PARAMETERS.runAheadHoldMs();
        assertEquals(total / 2, runAhead(EDGE, expiredAtMs));
        assertEquals(total / 2, runAhead(OTHER_EDGE, expiredAtMs));
    }

    @Test
    void theShareOfALostEdgeStaysReservedUntilItLeavesTheWindow() {
        setLimit(RATE, BURST, 0);
        int total = PARAMETERS.runAhead(RATE, BURST);
        assertEquals(total, runAhead(EDGE, WARM_UP_MS));
        EdgeIncarnation restartedEdge = new EdgeIncarnation(EDGE.name(), EDGE.incarnation() + 1);
        assertEquals(0, runAhead(restartedEdge, WARM_UP_MS + PARAMETERS.runAheadHoldMs() - 1));
        assertEquals(total, runAhead(restartedEdge, WARM_UP_MS + PARAMETERS.runAheadHoldMs()));
    }

    @Test
    void debtIsDeductedFromTheRunAhead() {
        setLimit(RATE, BURST, 0);
        int total = PARAMETERS.runAhead(RATE, BURST);
        quotas.onDebit(new QuotaDebit("a", capacity() + 5), WARM_UP_MS);
        assertEquals(0, grants(EDGE, 1, WARM_UP_MS));
        assertEquals(total, runAhead(EDGE, WARM_UP_MS + 1_000), "the debt has been worked off");
    }

    @Test
    void usageShowsWhyATenantIsRefused() {
        setLimit(RATE, BURST, 0);
        grants(EDGE, 1_000, WARM_UP_MS);
        quotas.onDebit(new QuotaDebit("a", 3), WARM_UP_MS);
        TenantUsage usage = quotas.usages(WARM_UP_MS).get(0);
        assertEquals("a", usage.tenant());
        assertEquals(RATE, usage.ratePerS());
        assertEquals(capacity(), usage.granted());
        assertEquals(1_000 - capacity(), usage.refused());
        assertEquals(3, usage.debited());
        assertTrue(usage.tokens() < 0, "in debt");
    }
}
