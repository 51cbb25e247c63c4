package brambletray.relay.stage;

import static org.junit.jupiter.api.Assertions.*;

import brambletray.relay.script.Script;
import brambletray.relay.script.ScriptReader;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Whole relays in simulated time against emulated partners. */
class SimStageTest {
    @TempDir
    Path folder;

    private record Run(Score.Result result, long trace, long events) {}

    private int runs;

    private Run play(Script script, long seed) throws Exception {
        try (SimStage stage = new SimStage(script, seed, folder.resolve("run-" + runs++))) {
            Score.Result result = stage.play();
            assertEquals(List.of(), stage.disagreements());
            return new Run(
                    result, stage.simulation().trace(), stage.simulation().events());
        }
    }

    /** The same seed gives the same bytes at the same instants; another seed gives others. */
    @Test
    void aRunIsTheSameEveryTimeAndAnotherSeedGivesAnother() throws Exception {
        Script script = ScriptReader.builtIn("second-night");
        Run one = play(script, 7);
        Run same = play(script, 7);
        assertEquals(one, same);
        assertNotEquals(one.trace(), play(script, 8).trace());
        assertTrue(one.events() > 10_000, one.events() + " events only");
    }

    @ParameterizedTest
    @ValueSource(strings = {"quiet-night", "first-night", "second-night", "third-night"})
    void theRulesHoldOnEachNight(String night) throws Exception {
        List<String> told = new ArrayList<>();
        for (long seed = 1; seed <= 2; seed++) {
            Score.Result r = play(ScriptReader.builtIn(night), seed).result();
            told.add(r.asked() + " asked, " + r.delivered() + " delivered, " + r.late() + " late, "
                    + r.handedBack() + " back, " + r.givenUp() + " up, " + r.turnedAway() + " away, "
                    + r.unanswered() + " un; score " + r.score() + " lost " + r.lost() + " breaches "
                    + r.breaches().stream().limit(3).toList());
            assertTrue(r.clean(), told.toString());
        }
        System.out.println(night + told);
    }
}
