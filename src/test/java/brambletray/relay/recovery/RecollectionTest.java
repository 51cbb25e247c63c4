package brambletray.relay.recovery;

import static org.junit.jupiter.api.Assertions.*;

import brambletray.common.time.BootTimestamp;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class RecollectionTest {
    private static final long COLD = 12_000_000;

    private static BootTimestamp at(long ticks) {
        return new BootTimestamp(7, ticks, 1_000_000 + ticks);
    }

    private static Known waits(long ms) {
        return new Known(ms * 1_000, false, Known.WARM, 0, 0);
    }

    /** What the next life finds of the notes of one. */
    private static Recollection after(Recollection.Note... notes) {
        Recollection next = new Recollection();
        for (Recollection.Note note : notes) {
            if (note != null) {
                next.found(note);
            }
        }
        return next;
    }

    @Test
    void ofAWaitIsBelievedWhatIsLeft() {
        Recollection.Note note = new Recollection().worth(at(100), "h", Recollection.IN_USE, waits(3_000));
        assertEquals(waits(3_000 - 900), after(note).believed("h", at(1_000), COLD));
        assertEquals(Known.NOTHING, after(note).believed("h", at(3_100), COLD));
        assertEquals(Known.NOTHING, after(note).believed("other", at(200), COLD));
        assertEquals(
                waits(3_000), after(note).believed("h", new BootTimestamp(8, 50, 9_999_999), COLD), "begins again");
    }

    /** Over any story the belief is never shorter than the wait by more than stated, and never longer. */
    @Test
    void noWaitIsForgottenAndNoneMadeLonger() {
        for (int seed = 0; seed < 300; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            Recollection life = new Recollection();
            Recollection.Note last = null;
            long now = 0;
            long until = 0;
            int told = 0;
            int notes = 0;
            for (int step = 0; step < 200; step++) {
                now += random.nextInt(1, 400);
                if (random.nextInt(3) == 0) {
                    until = Math.max(until, now + random.nextInt(1, 4_000));
                    told++;
                }
                Recollection.Note note = life.worth(at(now), "h", Recollection.IN_USE, waits(Math.max(0, until - now)));
                notes += note == null ? 0 : 1;
                last = note == null ? last : note;
                long back = now + random.nextInt(0, 5_000);
                long believed = after(last).believed("h", at(back), COLD).waitFor() / 1_000;
                long left = Math.max(0, until - back);
                assertTrue(believed <= left, "seed " + seed + ": believed " + believed + " of " + left);
                boolean noted = until - now >= Recollection.WAIT_LEAST / 1_000;
                assertTrue(
                        !noted || believed >= left - Recollection.WAIT_SAME / 1_000,
                        "seed " + seed + ": believed " + believed + " of " + left);
            }
            assertTrue(notes <= told, "a note without news");
        }
    }

    @Test
    void whatIsLearnedIsBelievedForAWhileOnly() {
        Known failing = new Known(0, true, Known.WARM, 40, 8);
        Recollection.Note note = new Recollection().worth(at(0), "h", Recollection.IN_USE, failing);
        assertEquals(failing, after(note).believed("h", at(Recollection.LIMIT_BELIEVED), COLD));
        assertEquals(
                new Known(0, true, Known.WARM, 0, 0),
                after(note).believed("h", at(Recollection.LIMIT_BELIEVED + 1), COLD));
        assertEquals(Known.NOTHING, after(note).believed("h", at(Recollection.HEALTH_BELIEVED + 1), COLD));
    }

    @Test
    void aColdHostGoesOnWarmingUp() {
        Recollection.Note note =
                new Recollection().worth(at(0), "h", Recollection.IN_USE, new Known(0, false, 2_000_000, 0, 5));
        assertEquals(9_000_000, after(note).believed("h", at(7_000), COLD).warming());
        assertEquals(Known.NOTHING, after(note).believed("h", at(10_000), COLD), "warm by now");
        assertEquals(
                0, after(note).believed("h", new BootTimestamp(9, 0, 0), COLD).warming(), "from the beginning");
    }

    /** Limits move with each answer: a note a second at most, none without one, and a fresh one in time. */
    @Test
    void limitsAreNotedSeldom() {
        Recollection life = new Recollection();
        assertNull(life.worth(at(0), "h", Recollection.IN_USE, new Known(0, false, Known.WARM, 0, 5)));
        assertNotNull(life.worth(at(0), "h", Recollection.IN_USE, new Known(0, false, Known.WARM, 40, 8)));
        assertNull(life.worth(at(900), "h", Recollection.IN_USE, new Known(0, false, Known.WARM, 40, 20)));
        assertNull(life.worth(at(1_100), "h", Recollection.IN_USE, new Known(0, false, Known.WARM, 41, 9)));
        assertNotNull(life.worth(at(1_200), "h", Recollection.IN_USE, new Known(0, false, Known.WARM, 40, 20)));
        assertNull(life.worth(at(10_000), "h", Recollection.IN_USE, new Known(0, false, Known.WARM, 40, 20)));
        assertNotNull(life.worth(at(20_000), "h", Recollection.IN_USE, new Known(0, false, Known.WARM, 40, 20)));
    }

    @Test
    void aHostThatLeftIsDoubtedUntilALaterList() {
        Recollection life = new Recollection();
        Recollection next = after(life.worth(at(0), "h", 12, Known.NOTHING));
        assertTrue(next.leftSince("h", 11));
        assertFalse(next.leftSince("h", 12));
        assertFalse(next.leftSince("g", 11));
        assertFalse(after(life.worth(at(9), "h", Recollection.IN_USE, Known.NOTHING))
                .leftSince("h", 11));
    }

    @Test
    void hostsAreBoundedAndOneThatWasForgottenIsNotedAnew() {
        Recollection life = new Recollection();
        for (int i = 0; i < Recollection.MOST; i++) {
            assertNotNull(life.worth(at(0), "h" + i, Recollection.IN_USE, waits(1_000)));
        }
        assertNull(life.worth(at(0), "more", Recollection.IN_USE, waits(1_000)));
        assertNull(life.worth(at(1), "h3", Recollection.IN_USE, waits(999)));
        life.forget("h3");
        assertNotNull(life.worth(at(1), "h3", Recollection.IN_USE, waits(999)));
    }
}
