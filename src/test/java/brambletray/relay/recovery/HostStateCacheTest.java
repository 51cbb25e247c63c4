package brambletray.relay.recovery;

import static org.junit.jupiter.api.Assertions.*;

import brambletray.common.time.BootTimestamp;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class HostStateCacheTest {
    private static final long COLD = 12_000_000;

    private static BootTimestamp at(long ticks) {
        return new BootTimestamp(7, ticks, 1_000_000 + ticks);
    }

    private static HostKnowledge waits(long ms) {
        return new HostKnowledge(ms * 1_000, false, HostKnowledge.WARM, 0, 0);
    }

    /** What the next life finds of the notes of one. */
    private static HostStateCache after(HostStateCache.Note... notes) {
        HostStateCache next = new HostStateCache();
        for (HostStateCache.Note note : notes) {
            if (note != null) {
                next.found(note);
            }
        }
        return next;
    }

    @Test
    void ofAWaitIsBelievedWhatIsLeft() {
        HostStateCache.Note note = new HostStateCache().worth(at(100), "h", HostStateCache.IN_USE, waits(3_000));
        assertEquals(waits(3_000 - 900), after(note).believed("h", at(1_000), COLD));
        assertEquals(HostKnowledge.NOTHING, after(note).believed("h", at(3_100), COLD));
        assertEquals(HostKnowledge.NOTHING, after(note).believed("other", at(200), COLD));
        assertEquals(
                waits(3_000), after(note).believed("h", new BootTimestamp(8, 50, 9_999_999), COLD), "begins again");
    }

    /** Over any story the belief is never shorter than the wait by more than stated, and never longer. */
    @Test
    void noWaitIsForgottenAndNoneMadeLonger() {
        for (int seed = 0; seed < 300; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            HostStateCache life = new HostStateCache();
            HostStateCache.Note last = null;
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
                HostStateCache.Note note =
                        life.worth(at(now), "h", HostStateCache.IN_USE, waits(Math.max(0, until - now)));
                notes += note == null ? 0 : 1;
                last = note == null ? last : note;
                long back = now + random.nextInt(0, 5_000);
                long believed = after(last).believed("h", at(back), COLD).waitFor() / 1_000;
                long left = Math.max(0, until - back);
                assertTrue(believed <= left, "seed " + seed + ": believed " + believed + " of " + left);
                boolean noted = until - now >= HostStateCache.WAIT_LEAST / 1_000;
                assertTrue(
                        !noted || believed >= left - HostStateCache.WAIT_SAME / 1_000,
                        "seed " + seed + ": believed " + believed + " of " + left);
            }
            assertTrue(notes <= told, "a note without news");
        }
    }

    @Test
    void whatIsLearnedIsBelievedForAWhileOnly() {
        HostKnowledge failing = new HostKnowledge(0, true, HostKnowledge.WARM, 40, 8);
        HostStateCache.Note note = new HostStateCache().worth(at(0), "h", HostStateCache.IN_USE, failing);
        assertEquals(failing, after(note).believed("h", at(HostStateCache.LIMIT_BELIEVED), COLD));
        assertEquals(
                new HostKnowledge(0, true, HostKnowledge.WARM, 0, 0),
                after(note).believed("h", at(HostStateCache.LIMIT_BELIEVED + 1), COLD));
        assertEquals(HostKnowledge.NOTHING, after(note).believed("h", at(HostStateCache.HEALTH_BELIEVED + 1), COLD));
    }

    @Test
    void aColdHostGoesOnWarmingUp() {
        HostStateCache.Note note = new HostStateCache()
                .worth(at(0), "h", HostStateCache.IN_USE, new HostKnowledge(0, false, 2_000_000, 0, 5));
        assertEquals(9_000_000, after(note).believed("h", at(7_000), COLD).warming());
        assertEquals(HostKnowledge.NOTHING, after(note).believed("h", at(10_000), COLD), "warm by now");
        assertEquals(
                0, after(note).believed("h", new BootTimestamp(9, 0, 0), COLD).warming(), "from the beginning");
    }

    /** Limits move with each answer: a note a second at most, none without one, and a fresh one in time. */
    @Test
    void limitsAreNotedSeldom() {
        HostStateCache life = new HostStateCache();
        assertNull(
                life.worth(at(0), "h", HostStateCache.IN_USE, new HostKnowledge(0, false, HostKnowledge.WARM, 0, 5)));
        assertNotNull(
                life.worth(at(0), "h", HostStateCache.IN_USE, new HostKnowledge(0, false, HostKnowledge.WARM, 40, 8)));
        assertNull(life.worth(
                at(900), "h", HostStateCache.IN_USE, new HostKnowledge(0, false, HostKnowledge.WARM, 40, 20)));
        assertNull(life.worth(
                at(1_100), "h", HostStateCache.IN_USE, new HostKnowledge(0, false, HostKnowledge.WARM, 41, 9)));
        assertNotNull(life.worth(
                at(1_200), "h", HostStateCache.IN_USE, new HostKnowledge(0, false, HostKnowledge.WARM, 40, 20)));
        assertNull(life.worth(
                at(10_000), "h", HostStateCache.IN_USE, new HostKnowledge(0, false, HostKnowledge.WARM, 40, 20)));
        assertNotNull(life.worth(
                at(20_000), "h", HostStateCache.IN_USE, new HostKnowledge(0, false, HostKnowledge.WARM, 40, 20)));
    }

    @Test
    void aHostThatLeftIsDoubtedUntilALaterList() {
        HostStateCache life = new HostStateCache();
        HostStateCache next = after(life.worth(at(0), "h", 12, HostKnowledge.NOTHING));
        assertTrue(next.leftSince("h", 11));
        assertFalse(next.leftSince("h", 12));
        assertFalse(next.leftSince("g", 11));
        assertFalse(after(life.worth(at(9), "h", HostStateCache.IN_USE, HostKnowledge.NOTHING))
                .leftSince("h", 11));
    }

    @Test
    void hostsAreBoundedAndOneThatWasForgottenIsNotedAnew() {
        HostStateCache life = new HostStateCache();
        for (int i = 0; i < HostStateCache.MOST; i++) {
            assertNotNull(life.worth(at(0), "h" + i, HostStateCache.IN_USE, waits(1_000)));
        }
        assertNull(life.worth(at(0), "more", HostStateCache.IN_USE, waits(1_000)));
        assertNull(life.worth(at(1), "h3", HostStateCache.IN_USE, waits(999)));
        life.forget("h3");
        assertNotNull(life.worth(at(1), "h3", HostStateCache.IN_USE, waits(999)));
    }
}
