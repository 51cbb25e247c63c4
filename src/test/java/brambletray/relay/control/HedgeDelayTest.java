package brambletray.relay.control;

import static org.junit.jupiter.api.Assertions.*;

import java.util.Random;
import org.junit.jupiter.api.Test;

/** The delay of copies, by itself: how another program would use it. */
class HedgeDelayTest {
    @Test
    void isTheInitialDelayUntilEightAnswersAreKnown() {
        HedgeDelay delay = new HedgeDelay();
        for (int i = 0; i < 7; i++) {
            assertEquals(200_000, delay.delayUs());
            delay.add(30_000);
            assertFalse(delay.isKnown());
        }
        delay.add(30_000);
        assertTrue(delay.isKnown());
        assertEquals(30_000, delay.delayUs());
    }

    @Test
    void isAHighQuantileOfTheRecentAnswers() {
        HedgeDelay delay = new HedgeDelay();
        Random random = new Random(1);
        long[] last = new long[48];
        for (int i = 0; i < 1_000; i++) {
            long time = 1_000 + random.nextInt(100_000);
            delay.add(time);
            last[i % 48] = time;
            if (i >= 48) {
                long now = delay.delayUs();
                long below = java.util.Arrays.stream(last).filter(t -> t <= now).count();
                assertTrue(below >= 46 && below <= 48, i + ": " + below + " of 48 are no longer");
            }
        }
    }

    @Test
    void followsAChangeWithinItsSampleWindow() {
        HedgeDelay delay = new HedgeDelay();
        for (int i = 0; i < 100; i++) {
            delay.add(20_000);
        }
        for (int i = 0; i < 3; i++) {
            delay.add(90_000);
        }
        assertEquals(90_000, delay.delayUs(), "a tail shows at once");
        for (int i = 0; i < 48; i++) {
            delay.add(20_000);
        }
        assertEquals(20_000, delay.delayUs(), "and is forgotten");
    }
}
