package brambletray.common.time;

import static org.junit.jupiter.api.Assertions.*;

import org.junit.jupiter.api.Test;

class BootTimestampTest {
    @Test
    void aWallClockThatIsSteppedMovesNoSpan() {
        BootTimestamp then = new BootTimestamp(7, 5_000, 1_000_000);
        assertEquals(2_000, new BootTimestamp(7, 7_000, 1_000_000 + 3_602_000).msSince(then));
        assertEquals(3_600_000, new BootTimestamp(7, 7_000, 1_000_000 + 3_602_000).stepSinceMs(then));
        assertEquals(-3_600_000, new BootTimestamp(7, 7_000, 1_000_000 - 3_598_000).stepSinceMs(then));
        assertEquals(0, new BootTimestamp(7, 7_000, 1_002_900).stepSinceMs(then), "drift");
        assertEquals(
                BootTimestamp.UNKNOWN,
                new BootTimestamp(8, 7_000, 1_002_000).msSince(then),
                "the machine was started anew");
        assertEquals(BootTimestamp.UNKNOWN, new BootTimestamp(7, 4_000, 1_002_000).msSince(then));
        assertEquals(
                BootTimestamp.UNKNOWN, new BootTimestamp(0, 7_000, 1_002_000).msSince(new BootTimestamp(0, 5_000, 0)));
        assertEquals(0, new BootTimestamp(8, 7_000, 9_000_000).stepSinceMs(then));
    }
}
