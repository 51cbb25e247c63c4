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
 * Random exchanges through the production classes, judged by what clients and hosts saw (rules MIXED, UNASKED, TWICE,
 * REFUSED, BUDGET, and that no
 * connection carries a request while anything is owed on it). {@code -Dbrambletray.courses=N} plays more, {@code
 * -Dbrambletray.seed=N}
 * begins elsewhere.
 */
class RandomExchangesTest {
    private static final int SCENARIOS = Integer.getInteger("brambletray.courses", 2_000);
    private static final int STEPS_PER_SCENARIO = 40;
    private static final int PARTS = 4;
    private static final long SEED = Long.getLong("brambletray.seed", 1);

    @Test
    void randomExchangesBreakNoRule() {
        // A scenario is one thread's from its making to its end.
        List<String> broken = IntStream.range(0, PARTS)
                .parallel()
                .mapToObj(i -> RandomExchanges.hunt(".*", SEED + (long) i * SCENARIOS / PARTS, SCENARIOS / PARTS, STEPS_PER_SCENARIO))
                .filter(Objects::nonNull)
                .toList();
        assertEquals(List.of(), broken);
    }

    private static final Logger ROOT = Logger.getLogger("");
    private static Level level;

    /** What goes wrong here is meant to, and would be told thousands of times. */
    @BeforeAll
    static void disableLogging() {
        level = ROOT.getLevel();
        ROOT.setLevel(Level.OFF);
    }

    @AfterAll
    static void restoreLogging() {
        ROOT.setLevel(level);
    }

    /** Guards against a test that proves nothing: all that is to be judged does happen. */
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
            RequestCounters of = scenario.counters();
            all.surplusResponses += of.surplusResponses;
            all.streamedResponses += of.streamedResponses;
            all.hedgesWon += of.hedgesWon;
            all.failed += of.failed;
            all.timedOut += of.timedOut;
        }
        String seen =
                tries + " tries, " + successes + " successes, " + promises + " promises " + RandomExchanges.format(all);
        assertTrue(
                sealedFailures > 20 && ranAgain > 20,
                sealedFailures + " sealed failures, " + ranAgain + " at another host again; " + seen);
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
