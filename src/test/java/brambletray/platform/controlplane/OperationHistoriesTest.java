package brambletray.platform.controlplane;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brambletray.platform.controlplane.OperationHistory.Planted;
import java.util.List;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * No operation runs twice in its window, in random histories over simulated replicas. {@code -Doperations.seeds=N}
 * plays more, from {@code -Doperations.first=S} on.
 */
class OperationHistoriesTest {
    private static final int SEEDS = 40;
    private static final int SEEDS_WITH_A_FAULT = 10;

    private final Logger logger = Logger.getLogger("controlplane");
    private Level level;

    @BeforeEach
    void quiet() {
        level = logger.getLevel();
        logger.setLevel(Level.WARNING);
    }

    @AfterEach
    void loud() {
        logger.setLevel(level);
    }

    private static OperationHistory play(long seed, Planted planted) {
        OperationHistory history = new OperationHistory(seed, planted);
        try {
            history.play();
        } catch (AssertionError | RuntimeException e) {
            throw new AssertionError("seed " + seed + ": " + e.getMessage(), e);
        }
        return history;
    }

    @Test
    void noOperationRunsTwiceInItsWindow() {
        long first = Long.getLong("operations.first", 1);
        int seeds = Integer.getInteger("operations.seeds", SEEDS);
        long runs = 0;
        long runsAfterWindow = 0;
        for (long seed = first; seed < first + seeds; seed++) {
            OperationHistory history = play(seed, Planted.NONE);
            assertEquals(List.of(), history.runTwice(), "seed " + seed);
            runs += history.runs();
            runsAfterWindow += history.runsAfterWindow();
        }
        System.out.println("operations: seeds " + first + " to " + (first + seeds - 1) + ", " + runs + " runs, "
                + runsAfterWindow + " of them after the window of another, 0 twice");
        assertTrue(runsAfterWindow > 10L * seeds, "hardly any key ran again");
    }

    @ParameterizedTest
    @EnumSource(mode = EnumSource.Mode.EXCLUDE, names = "NONE")
    void aFaultThatIsBuiltInIsSeen(Planted planted) {
        int runTwice = 0;
        for (long seed = 1; seed <= SEEDS_WITH_A_FAULT; seed++) {
            OperationHistory history = new OperationHistory(seed, planted);
            try {
                history.play();
            } catch (AssertionError e) {
                System.out.println("operations with " + planted + ", seed " + seed + ": "
                        + e.getMessage().lines().findFirst());
            }
            runTwice += history.runTwice().size();
        }
        System.out.println(
                "operations with " + planted + ": " + runTwice + " twice in " + SEEDS_WITH_A_FAULT + " seeds");
        assertTrue(runTwice > 0, "nothing ran twice with " + planted);
    }
}
