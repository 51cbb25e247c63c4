package brambletray.platform.drill;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * The control side under drawn faults: the production programs in simulated time. The verb {@code system drill} plays
 * more, or one again.
 */
class DrillTest {
    private static final int SEEDS = 6;

    @ParameterizedTest
    @ValueSource(ints = {3, 5})
    void operatorsAndEdgesSeeOneOrderUnderTroubles(int members) {
        DrillReport report = DrillRunner.run(new DrillPlan(members, 1, SEEDS, 1, null, true), sofar -> {});
        assertEquals(List.of(), report.broken());
        assertEquals(List.of(), report.programFaults());
        assertEquals(SEEDS, report.played());
    }

    /** Whatever broke a rule once stays among the scenarios. */
    @Test
    void whatBrokeOnceHolds() throws IOException {
        List<String> broken = new ArrayList<>();
        try (InputStream in = DrillTest.class.getResourceAsStream("finds.txt")) {
            for (String line : new String(in.readAllBytes(), StandardCharsets.UTF_8).split("\n")) {
                if (!line.startsWith("#")) {
                    Scenario.Result result = Scenario.play(ScenarioScript.parse(line), null);
                    if (result.broken() != null) {
                        broken.add(result.broken() + ": " + line);
                    }
                }
            }
        }
        assertEquals(List.of(), broken);
    }

    /** One seed is one scenario, whatever was played before it or is played beside it, drawn or not. */
    @Test
    void aSeedIsACourse() throws Exception {
        ScenarioScript script = ScenarioScript.draw(7, 3);
        ExecutorService beside = Executors.newSingleThreadExecutor();
        Future<Scenario.Result> other =
                beside.submit(() -> Scenario.play(ScenarioScript.parse(script.toString()), null));
        Timeline timeline = Timeline.recording();
        Scenario.Result one = Scenario.play(script, null, timeline);
        beside.shutdown();
        assertEquals(one, other.get());
        assertTrue(timeline.draw().startsWith("ms "), timeline.draw());
    }
}
