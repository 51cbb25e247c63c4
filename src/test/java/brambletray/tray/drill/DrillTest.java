package brambletray.tray.drill;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * The control side under drawn troubles: the production programs in simulated time. {@link Drill} says how to play
 * more, or one again.
 */
class DrillTest {
    private static final int SEEDS = 6;

    @Test
    void operatorsAndEdgesSeeOneOrderUnderTroubles() {
        assertEquals(List.of(), Drill.broken(SEEDS));
    }

    /** Whatever broke a rule once stays among the courses. */
    @Test
    void whatBrokeOnceHolds() throws IOException {
        List<String> broken = new ArrayList<>();
        try (InputStream in = DrillTest.class.getResourceAsStream("finds.txt")) {
            for (String line : new String(in.readAllBytes(), StandardCharsets.UTF_8).split("\n")) {
                if (!line.startsWith("#")) {
                    Course.Result result = Course.play(Script.parse(line), null);
                    if (result.broken() != null) {
                        broken.add(result.broken() + ": " + line);
                    }
                }
            }
        }
        assertEquals(List.of(), broken);
    }

    /** One seed is one course, whatever was played before it. */
    @Test
    void aSeedIsACourse() {
        Course.Result one = Course.play(Script.draw(7, 3), null);
        Course.Result again = Course.play(Script.parse(Script.draw(7, 3).toString()), null);
        assertEquals(one, again);
    }
}
