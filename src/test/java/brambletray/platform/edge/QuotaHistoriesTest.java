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
 * In random histories of coordinators and edges, no window may hold more requests of a tenant than its limit allows.
 * {@code -Dquotas.seeds=N} runs N seeds, from {@code -Dquotas.first=S} on; {@code -Dquotas.cut-ms=T} sets the length of
 * network partitions.
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
            assertTrue(
                    overshoot <= 0,
                    "seed " + seed + ": " + overshoot + " requests beyond the limit; " + history.faults());
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
        assertTrue(within > requests / 4, "too few requests were within their limit");
    }

    /** The fleet events by time in ms under which an injected fault shows. */
    private static Map<Integer, FleetEvent> timeline(InjectedFault injectedFault) {
        return switch (injectedFault) {
            case SECOND_ISSUER ->
                Map.of(20_000, FleetEvent.ALL_TENANTS_FLOOD, 21_000, FleetEvent.COORDINATOR_IS_CUT_OFF);
            case EXPIRED_RIGHTS_SPENT ->
                Map.of(20_000, FleetEvent.ALL_TENANTS_FLOOD, 22_000, FleetEvent.INSTANCES_STALL);
            case NEW_ISSUER_WITH_FULL_BUCKET ->
                Map.of(20_000, FleetEvent.ALL_TENANTS_FLOOD, 20_800, FleetEvent.COORDINATOR_DIES);
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

    private static double overshoot(long seed, InjectedFault injectedFault, Map<Integer, FleetEvent> timeline) {
        QuotaHistory history = new QuotaHistory(seed, injectedFault, QuotaHistory.CUT_MS, QuotaHistory.Fleet.SMALL);
        history.play(timeline);
        return history.overshoot();
    }

    @ParameterizedTest
    @EnumSource(mode = EnumSource.Mode.EXCLUDE, names = "NONE")
    void injectedFaultIsDetected(InjectedFault injectedFault) {
        Map<Integer, FleetEvent> timeline = timeline(injectedFault);
        double with = Double.NEGATIVE_INFINITY;
        double without = Double.NEGATIVE_INFINITY;
        for (long seed = 1; seed <= SEEDS_WITH_A_FAULT; seed++) {
            with = Math.max(with, overshoot(seed, injectedFault, timeline));
            without = Math.max(without, overshoot(seed, InjectedFault.NONE, timeline));
        }
        System.out.printf(
                Locale.ROOT,
                "quotas, seeds 1 to %d: nearest to the bound %.1f requests, with %s %.1f%n",
                SEEDS_WITH_A_FAULT,
                without,
                injectedFault,
                with);
        assertTrue(without <= 0, "beyond the limit without an injected fault: " + without);
        assertTrue(with > 0, injectedFault + " was not detected");
    }

    /** Prints how many requests within the limit are refused during a coordinator change of random length. */
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
