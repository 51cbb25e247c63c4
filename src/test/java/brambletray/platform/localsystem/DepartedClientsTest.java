package brambletray.platform.localsystem;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** What counts as work that goes on for a client that left: rule GONE of the pages, in numbers. */
class DepartedClientsTest {
    private final DepartedClients departedClients = new DepartedClients();

    private void run(String attempt, long from, long planned, long to) {
        departedClients.onRunBegan(attempt, from, planned);
        departedClients.onRunEnded(attempt, to);
    }

    @Test
    void aRunThatLastsHalfASecondLongerThanItsClientCounts() {
        departedClients.onClientLeft("a", true, 300);
        run("a", 10, 2_500, 2_500);
        assertEquals(new DepartedClients.Summary(1, 0, 1, 1, 0), departedClients.summary());
        assertFalse(departedClients.summary().holds());
    }

    @Test
    void aRunThatEndsWithItsClientOrWouldHaveEndedSoonDoesNot() {
        departedClients.onClientLeft("a", true, 300);
        run("a", 10, 2_500, 302);
        departedClients.onClientLeft("b", true, 300);
        run("b", 10, 700, 700);
        assertEquals(new DepartedClients.Summary(2, 0, 1, 0, 0), departedClients.summary());
        assertTrue(departedClients.summary().holds());
    }

    @Test
    void oneRunInFourMayGoOn() {
        for (String attempt : "abcd".split("")) {
            departedClients.onClientLeft(attempt, true, 300);
            run(attempt, 10, 2_500, attempt.equals("a") ? 2_500 : 302);
        }
        assertTrue(departedClients.summary().holds());
        departedClients.onClientLeft("e", true, 300);
        run("e", 10, 2_500, 2_500);
        assertFalse(departedClients.summary().holds());
    }

    @Test
    void requestsThatBeginLaterThanHalfASecondAfterTheirClientLeftCount() {
        for (String attempt : "abcd".split("")) {
            departedClients.onClientLeft(attempt, attempt.equals("a"), 300);
            run(attempt, 801, 900, 900);
            assertEquals(!attempt.equals("d"), departedClients.summary().holds());
        }
        assertEquals(4, departedClients.summary().lateArrivals());
    }

    @Test
    void aRunThatMustNotBeRepeatedGoesOnToItsEnd() {
        departedClients.onClientLeft("a", false, 300);
        run("a", 10, 2_500, 2_500);
        assertEquals(new DepartedClients.Summary(1, 0, 0, 0, 0), departedClients.summary());
        departedClients.onClientLeft("b", false, 300);
        run("b", 10, 2_500, 302);
        assertFalse(departedClients.summary().holds());
    }
}
