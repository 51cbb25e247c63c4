package brambletray.tray.keep;

import static org.junit.jupiter.api.Assertions.assertEquals;

import brambletray.tray.ring.Roster;
import brambletray.tray.ring.Welcome;
import brambletray.tray.view.Member;
import brambletray.tray.view.Standing;
import brambletray.tray.view.Status;
import brambletray.tray.vow.Holder;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Whom a member names to edges as the helm. */
class GreeterTest {
    private static final Member ME = new Member("a", "core-a", 1);
    private static final Member OTHER = new Member("b", "core-b", 2);

    private static Welcome welcome(Standing standing, boolean inForce, Holder holder, long hubTerm) {
        Status status = new Status(standing, ME, 7, 6, List.of(ME, OTHER), OTHER, false, inForce, true, 0, 0, false);
        return Greeter.welcome(status, holder, hubTerm, new Roster(60, 3, List.of()), Member::address);
    }

    @Test
    void anotherIsNamedByWhoIsInTouch() {
        assertEquals(
                new Welcome("b", 70, true, 7, List.of("a", "b"), 60, 3),
                welcome(Standing.MEMBER, true, new Holder(70, OTHER), 0));
    }

    @Test
    void whoIsCutOffNamesNoOther() {
        for (Standing standing : List.of(Standing.STOPPED, Standing.KNOCKING)) {
            assertEquals(
                    new Welcome("", 0, false, 7, List.of("a", "b"), 60, 3),
                    welcome(standing, true, new Holder(70, OTHER), 0));
        }
    }

    @Test
    void itselfIsNamedWhileItsHubIsOfThatTermEvenDuringAChangeOfView() {
        assertEquals("a", welcome(Standing.MEMBER, true, new Holder(70, ME), 70).helmAddress());
        assertEquals(
                "a", welcome(Standing.STOPPED, true, new Holder(70, ME), 70).helmAddress());
        assertEquals("", welcome(Standing.MEMBER, true, new Holder(70, ME), 0).helmAddress());
        assertEquals("", welcome(Standing.MEMBER, true, new Holder(71, ME), 70).helmAddress());
    }

    @Test
    void nobodyIsNamedWhereNobodyIsKnownAndNoMembersOfAViewThatMayNotBeInForce() {
        assertEquals(new Welcome("", 0, true, 7, List.of("a", "b"), 60, 3), welcome(Standing.MEMBER, true, null, 0));
        assertEquals(new Welcome("", 0, false, 0, List.of(), 60, 3), welcome(Standing.STOPPED, false, null, 0));
    }
}
