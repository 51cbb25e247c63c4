package brambletray.platform.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Objects;
import java.util.logging.Level;
import java.util.logging.Logger;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/**
 * Random exchanges through the production classes, checked by what clients and hosts saw: rules MIXED, UNASKED, TWICE,
 * REFUSED, BUDGET and GONE, and that no connection carries a request while a response is outstanding on it. {@code
 * -Dbrambletray.courses=N} sets the number of scenarios, {@code -Dbrambletray.seed=N} the first seed.
 */
class RandomExchangesTest {
    private static final int SCENARIOS = Integer.getInteger("brambletray.courses", 2_000);
    private static final int STEPS_PER_SCENARIO = 40;
    private static final int PARTS = 4;
    private static final long SEED = Long.getLong("brambletray.seed", 1);

    @Test
    void randomExchangesBreakNoRule() {
        // Each scenario is created and run by a single thread.
        List<String> broken = IntStream.range(0, PARTS)
                .parallel()
                .mapToObj(i -> RandomExchanges.hunt(
                        ".*", SEED + (long) i * SCENARIOS / PARTS, SCENARIOS / PARTS, STEPS_PER_SCENARIO))
                .filter(Objects::nonNull)
                .toList();
        assertEquals(List.of(), broken);
    }

    private static final Logger ROOT = Logger.getLogger("");
    private static Level level;

    /** Faults are injected on purpose here and would be logged thousands of times. */
    @BeforeAll
    static void disableLogging() {
        level = ROOT.getLevel();
        ROOT.setLevel(Level.OFF);
    }

    @AfterAll
    static void restoreLogging() {
        ROOT.setLevel(level);
    }

    /** Guards against a vacuous test: the cases to be checked must occur. */
    @Test
    void randomExchangesCoverWhatTheyCheck() {
        RequestCounters all = new RequestCounters();
        int tries = 0;
        int successes = 0;
        int promises = 0;
        int sealedFailures = 0;
        int ranAgain = 0;
        for (long seed = 1; seed <= 150; seed++) {
            RandomExchanges scenario = new RandomExchanges(seed, STEPS_PER_SCENARIO);
            assertEquals(List.of(), scenario.play(), "seed " + seed);
            tries += scenario.checker().attemptCount();
            successes += scenario.checker().successes;
            promises += scenario.checker().nonExecutionResponses;
            sealedFailures += scenario.checker().sealedFailures;
            ranAgain += scenario.checker().multiHostAttempts;
            RequestCounters counters = scenario.counters();
            all.surplusResponses += counters.surplusResponses;
            all.streamedResponses += counters.streamedResponses;
            all.hedgesWon += counters.hedgesWon;
            all.failed += counters.failed;
            all.timedOut += counters.timedOut;
            all.attemptsCancelledForClient += counters.attemptsCancelledForClient;
            all.attemptsLeftRunning += counters.attemptsLeftRunning;
        }
        String seen =
                tries + " tries, " + successes + " successes, " + promises + " promises " + RandomExchanges.format(all);
        assertTrue(
                sealedFailures > 20 && ranAgain > 20,
                sealedFailures + " sealed failures, " + ranAgain + " run on more than one host; " + seen);
        assertTrue(all.attemptsCancelledForClient > 10 && all.attemptsLeftRunning > 10, seen);
        assertTrue(successes > tries / 3 && promises > tries / 20, seen);
        assertTrue(
                all.surplusResponses > 10
                        && all.streamedResponses > 10
                        && all.hedgesWon > 10
                        && all.failed > 100
                        && all.timedOut > 20,
                seen);
    }
}
