package brambletray.relay.operations;

import static brambletray.relay.operations.Exclusions.Verdict.CHANGED;
import static brambletray.relay.operations.Exclusions.Verdict.FULL;
import static brambletray.relay.operations.Exclusions.Verdict.UNCHANGED;
import static brambletray.relay.operations.Exclusions.Verdict.UNKNOWN;
import static org.junit.jupiter.api.Assertions.*;

import java.util.List;
import org.junit.jupiter.api.Test;

class ExclusionsTest {
    private final Exclusions exclusions = new Exclusions(List.of("before"));

    @Test
    void oneCallBackUndoesAll() {
        assertEquals(CHANGED, exclusions.enter("s", true));
        assertEquals(UNCHANGED, exclusions.enter("s", true));
        assertTrue(exclusions.out("s"));
        assertEquals(CHANGED, exclusions.exit("s", true));
        assertFalse(exclusions.out("s"));
        assertEquals(UNCHANGED, exclusions.exit("s", true));
    }

    @Test
    void aNameThatNoListHasHadIsUnknown() {
        assertEquals(UNKNOWN, exclusions.enter("x", false));
        assertEquals(UNKNOWN, exclusions.exit("x", false));
        assertFalse(exclusions.out("x"));
    }

    /** It may be off the list meanwhile, and was out before this process began. */
    @Test
    void whatIsOutIsKnownForThatAlone() {
        assertEquals(UNCHANGED, exclusions.enter("before", false));
        assertEquals(List.of("before"), exclusions.all());
        assertEquals(CHANGED, exclusions.exit("before", false));
        assertEquals(UNKNOWN, exclusions.exit("before", false));
    }

    @Test
    void thereIsABound() {
        for (int i = 1; i < Exclusions.MOST; i++) {
            assertEquals(CHANGED, exclusions.enter("s" + i, true));
        }
        assertEquals(FULL, exclusions.enter("one more", true));
        assertEquals(UNCHANGED, exclusions.enter("s1", true));
        exclusions.exit("s1", true);
        assertEquals(CHANGED, exclusions.enter("one more", true));
    }
}
