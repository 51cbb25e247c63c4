package brambletray.platform.replication;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/**
 * Hundreds of random scenarios of faults, each with its own seed. {@code -Dview.seeds=N} plays more,
 * {@code -Dview.seed=S} plays one and tells.
 */
class RandomFaultsTest {
    private static final int SEEDS = 500;

    @Test
    void noAcknowledgedChangeIsLostUnderRandomFaults() {
        Long only = Long.getLong("replication.seed");
        int seeds = Integer.getInteger("replication.seeds", SEEDS);
        long first = Long.getLong("replication.first", 1);
        int played = 0;
        long acknowledged = 0;
        long views = 0;
        for (long seed = only != null ? only : first; seed < first + seeds; seed++) {
            RandomFaults weather = new RandomFaults(seed, only != null);
            try {
                acknowledged += weather.run();
            } catch (AssertionError | RuntimeException e) {
                weather.world().events.forEach(System.out::println);
                throw new AssertionError("seed " + seed + ": " + e.getMessage(), e);
            }
            views += weather.world().ruleChecker.viewCount();
            played++;
            if (only != null) {
                break;
            }
        }
        System.out.println(
                "weather: " + played + " courses, " + acknowledged + " changes acknowledged, " + views + " views");
        assertTrue(acknowledged > played, "hardly anything was acknowledged");
    }
}
