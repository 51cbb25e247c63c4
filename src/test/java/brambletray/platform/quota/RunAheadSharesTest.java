package brambletray.platform.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** The run-ahead that the coordinator reserves for edges. */
class RunAheadSharesTest {
    private static final EdgeIncarnation FIRST = new EdgeIncarnation("a", 1);
    private static final EdgeIncarnation SECOND = new EdgeIncarnation("b", 1);

    @Test
    void eachAmountOfAShrinkingShareIsReservedUntilItsOwnExpiry() {
        RunAheadShares shares = new RunAheadShares(0);
        assertEquals(10, shares.renew(FIRST, 10, 1_000, 0));
        assertEquals(8, shares.renew(FIRST, 8, 2_000, 500));
        assertEquals(5, shares.renew(FIRST, 5, 3_000, 900));
        assertEquals(2, shares.renew(SECOND, 10, 4_000, 1_500));
        assertEquals(10, shares.total(1_500));
        assertEquals(5, shares.renew(SECOND, 10, 4_000, 2_500));
    }
}
