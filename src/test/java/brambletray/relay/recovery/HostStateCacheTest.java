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
        return new HostKnowledge(ms * 1_000, false, HostKnowledge.NOT_IN_SLOW_START, 0, 0);
    }

    /** What the next life finds of the notes of one. */
    private static HostStateCache after(HostStateCache.Entry... notes) {
        HostStateCache next = new HostStateCache();
        for (HostStateCache.Entry entry : notes) {
            if (entry != null) {
                next.restore(entry);
            }
        }
        return next;
    }

    @Test
    void ofAWaitIsBelievedWhatIsLeft() {
        HostStateCache.Entry entry = new HostStateCache().nextEntry(at(100), "h", HostStateCache.IN_USE, waits(3_000));
        assertEquals(waits(3_000 - 900), after(entry).stillValid("h", at(1_000), COLD));
        assertEquals(HostKnowledge.NONE, after(entry).stillValid("h", at(3_100), COLD));
        assertEquals(HostKnowledge.NONE, after(entry).stillValid("other", at(200), COLD));
        assertEquals(
                waits(3_000), after(entry).stillValid("h", new BootTimestamp(8, 50, 9_999_999), COLD), "begins again");
    }

    /** Over any story the belief is never shorter than the wait by more than stated, and never longer. */
    @Test
    void noWaitIsForgottenAndNoneMadeLonger() {
        for (int seed = 0; seed < 300; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            HostStateCache life = new HostStateCache();
            HostStateCache.Entry last = null;
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
                HostStateCache.Entry entry =
                        life.nextEntry(at(now), "h", HostStateCache.IN_USE, waits(Math.max(0, until - now)));
                notes += entry == null ? 0 : 1;
                last = entry == null ? last : entry;
                long back = now + random.nextInt(0, 5_000);
                long believed = after(last).stillValid("h", at(back), COLD).retryAfterUs() / 1_000;
                long left = Math.max(0, until - back);
                assertTrue(believed <= left, "seed " + seed + ": believed " + believed + " of " + left);
                boolean noted = until - now >= HostStateCache.MIN_RETRY_AFTER_US / 1_000;
                assertTrue(
                        !noted || believed >= left - HostStateCache.RETRY_AFTER_TOLERANCE_US / 1_000,
                        "seed " + seed + ": believed " + believed + " of " + left);
            }
            assertTrue(notes <= told, "a note without news");
        }
    }

    @Test
    void whatIsLearnedIsBelievedForAWhileOnly() {
        HostKnowledge failing = new HostKnowledge(0, true, HostKnowledge.NOT_IN_SLOW_START, 40, 8);
        HostStateCache.Entry entry = new HostStateCache().nextEntry(at(0), "h", HostStateCache.IN_USE, failing);
        assertEquals(failing, after(entry).stillValid("h", at(HostStateCache.LIMIT_VALIDITY_MS), COLD));
        assertEquals(
                new HostKnowledge(0, true, HostKnowledge.NOT_IN_SLOW_START, 0, 0),
                after(entry).stillValid("h", at(HostStateCache.LIMIT_VALIDITY_MS + 1), COLD));
        assertEquals(HostKnowledge.NONE, after(entry).stillValid("h", at(HostStateCache.HEALTH_VALIDITY_MS + 1), COLD));
    }

    @Test
    void aColdHostGoesOnWarmingUp() {
        HostStateCache.Entry entry = new HostStateCache()
                .nextEntry(at(0), "h", HostStateCache.IN_USE, new HostKnowledge(0, false, 2_000_000, 0, 5));
        assertEquals(9_000_000, after(entry).stillValid("h", at(7_000), COLD).slowStartAgeUs());
        assertEquals(HostKnowledge.NONE, after(entry).stillValid("h", at(10_000), COLD), "warm by now");
        assertEquals(
                0,
                after(entry).stillValid("h", new BootTimestamp(9, 0, 0), COLD).slowStartAgeUs(),
                "from the beginning");
    }

    /** Limits move with each answer: a note a second at most, none without one, and a fresh one in time. */
    @Test
    void limitsAreNotedSeldom() {
        HostStateCache life = new HostStateCache();
        assertNull(life.nextEntry(
                at(0), "h", HostStateCache.IN_USE, new HostKnowledge(0, false, HostKnowledge.NOT_IN_SLOW_START, 0, 5)));
        assertNotNull(life.nextEntry(
                at(0),
                "h",
                HostStateCache.IN_USE,
                new HostKnowledge(0, false, HostKnowledge.NOT_IN_SLOW_START, 40, 8)));
        assertNull(life.nextEntry(
                at(900),
                "h",
                HostStateCache.IN_USE,
                new HostKnowledge(0, false, HostKnowledge.NOT_IN_SLOW_START, 40, 20)));
        assertNull(life.nextEntry(
                at(1_100),
                "h",
                HostStateCache.IN_USE,
                new HostKnowledge(0, false, HostKnowledge.NOT_IN_SLOW_START, 41, 9)));
        assertNotNull(life.nextEntry(
                at(1_200),
                "h",
                HostStateCache.IN_USE,
                new HostKnowledge(0, false, HostKnowledge.NOT_IN_SLOW_START, 40, 20)));
        assertNull(life.nextEntry(
                at(10_000),
                "h",
                HostStateCache.IN_USE,
                new HostKnowledge(0, false, HostKnowledge.NOT_IN_SLOW_START, 40, 20)));
        assertNotNull(life.nextEntry(
                at(20_000),
                "h",
                HostStateCache.IN_USE,
                new HostKnowledge(0, false, HostKnowledge.NOT_IN_SLOW_START, 40, 20)));
    }

    @Test
    void aHostThatLeftIsDoubtedUntilALaterList() {
        HostStateCache life = new HostStateCache();
        HostStateCache next = after(life.nextEntry(at(0), "h", 12, HostKnowledge.NONE));
        assertTrue(next.hasLeftSince("h", 11));
        assertFalse(next.hasLeftSince("h", 12));
        assertFalse(next.hasLeftSince("g", 11));
        assertFalse(after(life.nextEntry(at(9), "h", HostStateCache.IN_USE, HostKnowledge.NONE))
                .hasLeftSince("h", 11));
    }

    @Test
    void hostsAreBoundedAndOneThatWasForgottenIsNotedAnew() {
        HostStateCache life = new HostStateCache();
        for (int i = 0; i < HostStateCache.MAX_HOSTS; i++) {
            assertNotNull(life.nextEntry(at(0), "h" + i, HostStateCache.IN_USE, waits(1_000)));
        }
        assertNull(life.nextEntry(at(0), "more", HostStateCache.IN_USE, waits(1_000)));
        assertNull(life.nextEntry(at(1), "h3", HostStateCache.IN_USE, waits(999)));
        life.forget("h3");
        assertNotNull(life.nextEntry(at(1), "h3", HostStateCache.IN_USE, waits(999)));
    }
}
