package brambletray.platform.replication;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/**
 * Runs hundreds of random fault scenarios, each with its own seed. {@code -Dreplication.seeds=N} sets their number,
 * {@code -Dreplication.seed=S} runs a single one and logs its events.
 */
class RandomFaultsTest {
    private static final int SEEDS = 500;

    @Test
    void noAcknowledgedChangeIsLostUnderRandomFaults() {
        Long onlySeed = Long.getLong("replication.seed");
        int seeds = Integer.getInteger("replication.seeds", SEEDS);
        long first = Long.getLong("replication.first", 1);
        int scenarios = 0;
        long acknowledged = 0;
        long views = 0;
        for (long seed = onlySeed != null ? onlySeed : first; seed < first + seeds; seed++) {
            RandomFaults faults = new RandomFaults(seed, onlySeed != null);
            try {
                acknowledged += faults.run();
            } catch (AssertionError | RuntimeException e) {
                faults.world().events.forEach(System.out::println);
                throw new AssertionError("seed " + seed + ": " + e.getMessage(), e);
            }
            views += faults.world().ruleChecker.viewCount();
            scenarios++;
            if (onlySeed != null) {
                break;
            }
        }
        System.out.println("random faults: " + scenarios + " scenarios, " + acknowledged + " changes acknowledged, "
                + views + " views");
        assertTrue(
                acknowledged > scenarios, "acknowledged changes: " + acknowledged + " in " + scenarios + " scenarios");
    }
}
