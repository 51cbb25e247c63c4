package brambletray.relay.recovery;

import static org.junit.jupiter.api.Assertions.*;

import org.junit.jupiter.api.Test;

/** What a relay that starts makes of what it is told; times in ms. */
class GenerationInquiryTest {
    private static final GenerationInquiry.Terms TERMS = new GenerationInquiry.Terms(2_000, 250, 16_000);
    private static final StoreFreshness FOLDER = new StoreFreshness(7, 3, 100);

    private static WitnessReport seen(StoreFreshness last) {
        return new WitnessReport.Seen(last, 5_000, 40);
    }

    private static FolderFinding all(StoreFreshness own, WitnessReport... accounts) {
        GenerationInquiry asking = new GenerationInquiry(own, accounts.length, TERMS, 0);
        FolderFinding found = null;
        for (int i = 0; i < accounts.length; i++) {
            assertNull(found, "not before all have answered");
            found = accounts[i] == null ? null : asking.onReport(10 + i, i, accounts[i]);
        }
        return found != null ? found : asking.tick(2_000);
    }

    @Test
    void theNewestFolderGoesOn() {
        assertEquals(new FolderFinding.Current(), all(FOLDER, seen(FOLDER), seen(new StoreFreshness(7, 2, 120))));
        assertEquals(
                new FolderFinding.Current(),
                all(FOLDER, seen(new StoreFreshness(7, 3, 99)), new WitnessReport.NotSeen(1)));
        assertEquals(
                new FolderFinding.Current(),
                all(new StoreFreshness(8, 4, 1), seen(FOLDER), seen(FOLDER)),
                "one made after a loss");
    }

    @Test
    void anOlderOneIsRolledBackWhoeverSaysIt() {
        for (StoreFreshness later : new StoreFreshness[] {
            new StoreFreshness(7, 3, 101),
            new StoreFreshness(7, 4, 1),
            new StoreFreshness(8, 3, 1),
            new StoreFreshness(8, 4, 1)
        }) {
            assertEquals(new FolderFinding.RolledBack(later, 11_000), all(FOLDER, seen(FOLDER), seen(later)));
            assertEquals(new FolderFinding.RolledBack(later, 11_000), all(FOLDER, seen(later), null));
            assertEquals(
                    new FolderFinding.RolledBack(later, 11_000),
                    all(FOLDER, new WitnessReport.NotSeen(9), seen(later)));
        }
    }

    @Test
    void anEmptyOneOfARelayThatHasLivedIsLost() {
        assertEquals(new FolderFinding.Lost(FOLDER, 11_000), all(null, seen(FOLDER), new WitnessReport.NotSeen(1)));
        assertEquals(new FolderFinding.Lost(FOLDER, 0), all(null, new WitnessReport.Seen(FOLDER, 20_000, 1)));
    }

    /** All folders lost at once: nobody has heard of anybody, and nobody has been up for long. */
    @Test
    void anEmptyOneIsTheFirstOnlyForWitnessesThatWereUpForLongEnough() {
        assertEquals(
                new FolderFinding.NewRelay(),
                all(null, new WitnessReport.NotSeen(16_000), new WitnessReport.NotSeen(90_000)));
        assertEquals(
                new FolderFinding.Unconfirmed(true, 15_700),
                all(null, new WitnessReport.NotSeen(300), new WitnessReport.NotSeen(90_000)));
        assertEquals(new FolderFinding.Unconfirmed(true, 16_000), all(null, new WitnessReport.NotSeen(90_000), null));
    }

    @Test
    void aFolderNeedsAMajority() {
        assertEquals(new FolderFinding.Current(), all(FOLDER, seen(FOLDER), null), "two of three");
        assertEquals(new FolderFinding.Unconfirmed(false, 16_000), all(FOLDER, null, null));
        assertEquals(
                new FolderFinding.Unconfirmed(false, 16_000), all(FOLDER, seen(FOLDER), null, null), "two of four");
        assertEquals(new FolderFinding.Unconfirmed(false, 16_000), all(FOLDER, new WitnessReport[] {null}));
    }

    /** Killed and started at once: it was heard of just now, and is heard of no more. */
    @Test
    void aLifeThatHasJustEndedIsWaitedFor() {
        GenerationInquiry asking = new GenerationInquiry(FOLDER, 1, TERMS, 0);
        assertNull(asking.onReport(10, 0, new WitnessReport.Seen(FOLDER, 50, 9)));
        assertNull(asking.onReport(100, 0, new WitnessReport.Seen(FOLDER, 140, 9)));
        assertEquals(new FolderFinding.Current(), asking.onReport(710, 0, new WitnessReport.Seen(FOLDER, 750, 9)));
    }

    /** Two processes of one name: it goes on being heard of. A note that comes late is one beat, and no more. */
    @Test
    void aLifeThatGoesOnIsATwin() {
        GenerationInquiry asking = new GenerationInquiry(FOLDER, 1, TERMS, 0);
        assertNull(asking.onReport(10, 0, new WitnessReport.Seen(FOLDER, 200, 9)));
        assertNull(asking.onReport(100, 0, new WitnessReport.Seen(FOLDER, 40, 10)));
        StoreFreshness now = new StoreFreshness(7, 3, 101);
        assertEquals(
                new FolderFinding.DuplicateProcess(now), asking.onReport(310, 0, new WitnessReport.Seen(now, 10, 11)));
        assertEquals(new FolderFinding.DuplicateProcess(now), asking.tick(9_000), "and stays one");
    }

    /** The other's life begins after the question: neither may go on unseen. */
    @Test
    void aTwinThatBeginsALifeMeanwhileIsSeenToo() {
        GenerationInquiry asking = new GenerationInquiry(FOLDER, 1, TERMS, 0);
        assertNull(asking.onReport(10, 0, new WitnessReport.Seen(FOLDER, 300, 9)));
        StoreFreshness other = new StoreFreshness(7, 4, 101);
        assertNull(asking.onReport(400, 0, new WitnessReport.Seen(other, 5, 1)));
        assertNull(asking.onReport(600, 0, new WitnessReport.Seen(other, 5, 2)));
        assertEquals(
                new FolderFinding.DuplicateProcess(other),
                asking.onReport(900, 0, new WitnessReport.Seen(other, 5, 3)));
    }

    /** Answers that come late, twice or in another order change nothing; those that make no sense neither. */
    @Test
    void theFurthestAccountOfAWitnessCounts() {
        StoreFreshness later = new StoreFreshness(7, 3, 150);
        GenerationInquiry asking = new GenerationInquiry(FOLDER, 2, TERMS, 0);
        assertNull(asking.onReport(10, 0, seen(later)));
        assertNull(asking.onReport(20, 0, seen(FOLDER)));
        assertNull(asking.onReport(30, 0, new WitnessReport.NotSeen(90_000)));
        assertNull(asking.onReport(40, 1, seen(new StoreFreshness(7, Long.MAX_VALUE, 1))), "no life of anybody");
        assertEquals(new FolderFinding.RolledBack(later, 11_000), asking.onReport(50, 1, seen(FOLDER)));
        assertEquals(4, asking.nextIncarnation());
    }

    @Test
    void aLifeIsAboveAllThatWereSeen() {
        GenerationInquiry asking = new GenerationInquiry(FOLDER, 2, TERMS, 0);
        asking.onReport(1, 0, seen(new StoreFreshness(8, 9, 1)));
        asking.onReport(1, 1, seen(new StoreFreshness(7, 4, 1)));
        assertEquals(10, asking.nextIncarnation());
        assertEquals(1, new GenerationInquiry(null, 0, TERMS, 0).nextIncarnation());
    }

    @Test
    void whatIsTurnedAwayAndForHowLong() {
        QuietPeriod lost = QuietPeriod.requiredBy(new FolderFinding.Lost(FOLDER, 11_000), true, 500);
        assertEquals(11_000, lost.retryAfterMs(500, false));
        assertEquals(1, lost.retryAfterMs(11_499, false));
        assertEquals(0, lost.retryAfterMs(11_500, false));
        assertEquals(0, lost.retryAfterMs(500, true), "a second try of it does no harm");
        assertEquals(
                new QuietPeriod(900), QuietPeriod.NONE.orRestarted(true, 400, 500), "the last life's was cut short");
        assertEquals(lost, lost.orRestarted(true, 500, 600), "the longer one");
        assertSame(QuietPeriod.NONE, QuietPeriod.NONE.orRestarted(false, 400, 500));
        FolderFinding unknown = new FolderFinding.Unconfirmed(false, 9);
        assertEquals(9, QuietPeriod.requiredBy(unknown, false, 0).retryAfterMs(0, false));
        assertEquals(0, QuietPeriod.requiredBy(unknown, true, 0).retryAfterMs(0, false), "trusted");
        assertTrue(QuietPeriod.makesOwedUncertain(unknown, false) && !QuietPeriod.makesOwedUncertain(unknown, true));
        assertTrue(
                QuietPeriod.makesOwedUncertain(new FolderFinding.RolledBack(FOLDER, 1), true), "whatever is trusted");
        assertFalse(
                QuietPeriod.makesOwedUncertain(new FolderFinding.Lost(FOLDER, 1), false), "nothing is there to doubt");
    }
}
