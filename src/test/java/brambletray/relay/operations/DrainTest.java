package brambletray.relay.operations;

import static org.junit.jupiter.api.Assertions.*;

import org.junit.jupiter.api.Test;

/** Each call in each phase. */
class DrainTest {
    private static final long S = 1_000_000_000L;
    private final Drain drain = new Drain();

    @Test
    void aDrainEndsWhereItBegan() {
        assertTrue(drain.welcome());
        assertTrue(drain.standby(S));
        assertFalse(drain.welcome());
        assertTrue(drain.sendsAway());
        assertTrue(drain.drained());
        assertFalse(drain.look(S + Drain.AWAY_AFTER - 1));
        assertTrue(drain.look(S + Drain.AWAY_AFTER));
        assertFalse(drain.look(S + 2 * Drain.AWAY_AFTER), "told once");
        assertTrue(drain.drained());
        assertTrue(drain.active());
        assertTrue(drain.welcome());
        assertFalse(drain.drained());
    }

    /** Guards against a drain that begins anew with each call, and never gets to its end. */
    @Test
    void aRepeatedCallChangesNothing() {
        drain.standby(S);
        assertTrue(drain.standby(S + Drain.AWAY_AFTER - 1));
        assertEquals(new Drain.Draining(S), drain.phase());
        assertTrue(drain.look(S + Drain.AWAY_AFTER));
        assertTrue(drain.standby(S + 2 * Drain.AWAY_AFTER));
        assertEquals(new Drain.Away(S), drain.phase());
        drain.active();
        assertTrue(drain.active());
        assertTrue(drain.welcome());
    }

    /** A look that was due for a drain that has ended, or for one before this, cuts nobody. */
    @Test
    void aSecondDrainHasItsOwnTime() {
        drain.standby(S);
        drain.active();
        assertFalse(drain.look(S + Drain.AWAY_AFTER));
        drain.standby(S + Drain.AWAY_AFTER - 1);
        assertFalse(drain.look(S + Drain.AWAY_AFTER));
        assertTrue(drain.look(S + 2 * Drain.AWAY_AFTER));
    }

    @Test
    void aProcessThatEndsDoesNotComeBack() {
        drain.standby(S);
        drain.leave();
        assertFalse(drain.active());
        assertFalse(drain.standby(2 * S));
        assertFalse(drain.welcome());
        assertTrue(drain.sendsAway());
        assertFalse(drain.drained(), "it leaves, it was not asked to stand by");
    }
}
