package brambletray.platform.edge;

import static org.junit.jupiter.api.Assertions.assertTrue;

import brambletray.platform.edge.QuotaHistory.FleetEvent;
import brambletray.platform.edge.QuotaHistory.InjectedFault;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * In no window arrives more of a tenant than is allowed, in random histories of givers and edges.
 * {@code -Dquotas.seeds=N} plays more, from {@code -Dquotas.first=S} on; {@code -Dquotas.cut-ms=T} cuts edges off for
 * another time.
 */
class QuotaHistoriesTest {
    private static final int SEEDS = 4;
    private static final int SEEDS_WITH_A_FAULT = 10;

    @Test
    void noWindowExceedsTheLimit() {
        long first = Long.getLong("quotas.first", 1);
        int seeds = Integer.getInteger("quotas.seeds", SEEDS);
        int cutMs = Integer.getInteger("quotas.cut-ms", QuotaHistory.CUT_MS);
        double largest = Double.NEGATIVE_INFINITY;
        long requests = 0;
        long within = 0;
        long exceeded = 0;
        long unavailable = 0;
        for (long seed = first; seed < first + seeds; seed++) {
            QuotaHistory history = new QuotaHistory(seed, InjectedFault.NONE, cutMs);
            history.play();
            double overshoot = history.overshoot();
            assertTrue(overshoot <= 0, "seed " + seed + ": " + overshoot + " beyond the bound; " + history.faults());
            largest = Math.max(largest, overshoot);
            requests += history.requests();
            within += history.requestsWithinLimit();
            exceeded += history.falselyExceeded();
            unavailable += history.falselyUnavailable();
        }
        System.out.printf(
                Locale.ROOT,
                "quotas: seeds %d to %d, cuts of %d ms: nearest to the bound %.1f requests, %d requests, %d within the "
                        + "limit, of these refused by 429 %.3f %%, by 503 %.3f %%%n",
                first,
                first + seeds - 1,
                cutMs,
                largest,
                requests,
                within,
                100.0 * exceeded / within,
                100.0 * unavailable / within);
        assertTrue(within > requests / 4, "hardly a request was within its limit");
    }

    /** For each fault that is built in, what happens to the fleet at which ms. */
    private static Map<Integer, FleetEvent> timeline(InjectedFault planted) {
        return switch (planted) {
            case SECOND_ISSUER -> Map.of(20_000, FleetEvent.ALL_TENANTS_FLOOD, 21_000, FleetEvent.COORDINATOR_IS_CUT_OFF);
            case EXPIRED_RIGHTS_SPENT -> Map.of(20_000, FleetEvent.ALL_TENANTS_FLOOD, 22_000, FleetEvent.INSTANCES_STALL);
            case NEW_ISSUER_WITH_FULL_BUCKET -> Map.of(20_000, FleetEvent.ALL_TENANTS_FLOOD, 20_800, FleetEvent.COORDINATOR_DIES);
            case FORMER_RIGHTS_AFTER_RESTART -> crashLoopOfCutOffEdges();
            case NONE, RETRIES_NOT_COUNTED -> Map.of(20_000, FleetEvent.ALL_TENANTS_FLOOD);
        };
    }

    private static Map<Integer, FleetEvent> crashLoopOfCutOffEdges() {
        Map<Integer, FleetEvent> timeline = new TreeMap<>();
        timeline.put(20_000, FleetEvent.ALL_TENANTS_FLOOD);
        timeline.put(20_500, FleetEvent.EDGES_ARE_CUT_OFF);
        for (int timeMs = 21_000; timeMs < 25_000; timeMs += 400) {
            timeline.put(timeMs, FleetEvent.CUT_OFF_EDGES_RESTART);
        }
        return timeline;
    }

    private static double overshoot(long seed, InjectedFault planted, Map<Integer, FleetEvent> timeline) {
        QuotaHistory history = new QuotaHistory(seed, planted, QuotaHistory.CUT_MS, QuotaHistory.Fleet.SMALL);
        history.play(timeline);
        return history.overshoot();
    }

    @ParameterizedTest
    @EnumSource(mode = EnumSource.Mode.EXCLUDE, names = "NONE")
    void injectedFaultIsDetected(InjectedFault planted) {
        Map<Integer, FleetEvent> timeline = timeline(planted);
        double with = Double.NEGATIVE_INFINITY;
        double without = Double.NEGATIVE_INFINITY;
        for (long seed = 1; seed <= SEEDS_WITH_A_FAULT; seed++) {
            with = Math.max(with, overshoot(seed, planted, timeline));
            without = Math.max(without, overshoot(seed, InjectedFault.NONE, timeline));
        }
        System.out.printf(
                Locale.ROOT,
                "quotas, seeds 1 to %d: nearest to the bound %.1f requests, with %s %.1f%n",
                SEEDS_WITH_A_FAULT,
                without,
                planted,
                with);
        assertTrue(without <= 0, "beyond the bound without any fault built in: " + without);
        assertTrue(with > 0, planted + " went unnoticed");
    }

    /** Requests within the limit that are refused because the coordinator changes; the pause is drawn. */
    @Test
    void refusalsDuringACoordinatorChangeAreMeasured() {
        long exceeded = 0;
        long unavailable = 0;
        long within = 0;
        for (long seed = 1; seed <= SEEDS; seed++) {
            QuotaHistory history = new QuotaHistory(seed, InjectedFault.NONE, QuotaHistory.CUT_MS);
            history.play(Map.of(20_000, FleetEvent.COORDINATOR_DIES));
            assertTrue(history.overshoot() <= 0, "seed " + seed);
            exceeded += history.falselyExceeded();
            unavailable += history.falselyUnavailable();
            within += history.requestsWithinLimit();
        }
        System.out.printf(
                Locale.ROOT,
                "quotas, a coordinator that dies once in 30 s, seeds 1 to %d: of %d requests within the limit refused "
                        + "by 429 %.3f %%, by 503 %.3f %%%n",
                SEEDS,
                within,
                100.0 * exceeded / within,
                100.0 * unavailable / within);
    }
}
