package brambletray.platform.controlplane;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/**
 * Random scenarios of operators and members, each with its own seed. {@code -Dorders.seeds=N} plays more,
 * {@code -Dorders.first=S} begins at that seed, {@code -Dorders.seed=S} plays that one.
 */
class OperatorCallsModelTest {
    private static final int SEEDS = 150;
    /** Simulated ms of fault in a scenario. */
    private static final long COURSE_MS = 30_000;

    @Test
    void operatorsSeeOneLineOfChangesInAnyCourse() {
        Long only = Long.getLong("orders.seed");
        long first = only != null ? only : Long.getLong("orders.first", 1);
        int seeds = only != null ? 1 : Integer.getInteger("orders.seeds", SEEDS);
        long acknowledged = 0;
        for (long seed = first; seed < first + seeds; seed++) {
            try {
                acknowledged += new OperatorCallsModel(seed).play(COURSE_MS);
            } catch (AssertionError | RuntimeException e) {
                throw new AssertionError("seed " + seed + ": " + e.getMessage(), e);
            }
        }
        System.out.println("orders: " + seeds + " courses, " + acknowledged + " changes acknowledged");
        assertTrue(acknowledged > 10L * seeds, "hardly anything was acknowledged");
    }
}
