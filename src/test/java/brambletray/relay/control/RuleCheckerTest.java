package brambletray.relay.control;

import static brambletray.relay.control.ControlHarness.SECOND;
import static brambletray.relay.control.ControlHarness.endpoint;
import static brambletray.relay.control.ControlHarness.settings;
import static org.junit.jupiter.api.Assertions.*;

import brambletray.relay.control.Relay.Accepted;
import brambletray.relay.control.Relay.AttemptEnded;
import brambletray.relay.control.Relay.Endpoint;
import brambletray.relay.control.Relay.Fail;
import brambletray.relay.control.Relay.ListKind;
import brambletray.relay.control.Relay.EndpointsListed;
import brambletray.relay.control.Relay.Listing;
import brambletray.relay.control.Relay.Outcome;
import brambletray.relay.control.Relay.Refuse;
import brambletray.relay.control.Relay.Send;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** The checker is itself fed a breach of each rule. */
class RuleCheckerTest {
    private final RuleChecker checker = new RuleChecker(settings(8, true, 1));
    private static final long T = 10 * SECOND;

    @BeforeEach
    void list() {
        checker.onEvent(T, new EndpointsListed(ListKind.FULL, List.of(endpoint(1, 0, 0, 1, 2), endpoint(2, 1, 0, 1, 2))));
    }

    private void accept(String id, int cls, String key) {
        checker.onEvent(T, new Accepted(id, cls, 0, key, T + 5 * SECOND, 1));
    }

    private void assertViolation(String rule, Runnable act) {
        AssertionError e = assertThrows(AssertionError.class, act::run);
        assertTrue(e.getMessage().startsWith("rule " + rule), e.getMessage());
    }

    @Test
    void lateOrRepeatedFinalAnswer() {
        accept("a", 0, null);
        checker.checkDeadlines(T + 5 * SECOND);
        assertViolation("1", () -> checker.checkDeadlines(T + 6 * SECOND));
        checker.onAction(T, new Fail("a"));
        assertViolation("1", () -> checker.onAction(T, new Refuse("a", 0)));
        assertViolation("1", () -> checker.onAction(T, new Send("a", 1, SECOND)));
    }

    @Test
    void repeatThatMayTakeEffectTwice() {
        accept("u", 2, null);
        checker.onAction(T, new Send("u", 1, SECOND));
        assertViolation("2", () -> checker.onAction(T, new Send("u", 2, SECOND)));
        assertViolation("2", () -> checker.onAction(T, new Refuse("u", 0)));
        accept("k", 3, null);
        checker.onAction(T, new Send("k", 1, SECOND));
        assertViolation("2", () -> checker.onAction(T, new Send("k", 2, SECOND)));
        assertViolation("2", () -> checker.onAction(T, new Refuse("k", 0)));
    }

    @Test
    void sendAfterDrain() {
        accept("a", 0, null);
        checker.onEvent(T, new EndpointsListed(ListKind.CHANGES, List.of(new Endpoint(1, 0, 0, 1, Listing.DRAINING, 2))));
        assertViolation("3", () -> checker.onAction(T + SECOND, new Send("a", 1, SECOND)));
    }

    @Test
    void sendBeyondTheRecoveryBudget() {
        checker.slowStartSince.put(1L, T);
        for (int i = 0; i < 2; i++) {
            accept("a" + i, 0, null);
            checker.onAction(T, new Send("a" + i, 1, SECOND));
        }
        accept("b", 0, null);
        assertViolation("4", () -> checker.onAction(T, new Send("b", 1, SECOND)));
    }

    @Test
    void sendBeforeRetryAfterHasPassed() {
        accept("a", 0, null);
        checker.onAction(T, new Send("a", 1, SECOND));
        checker.onEvent(T, new AttemptEnded("a", 0, 1, Outcome.FULL, false, SECOND, 1, -1, -1));
        assertViolation("5", () -> checker.onAction(T + SECOND / 2, new Send("a", 2, SECOND)));
    }

    @Test
    void sendOutOfKeyOrder() {
        accept("a", 2, "k");
        accept("b", 2, "k");
        assertViolation("6", () -> checker.onAction(T, new Send("b", 1, SECOND)));
        checker.onAction(T, new Send("a", 1, SECOND));
        checker.onEvent(T, new AttemptEnded("a", 0, 1, Outcome.TIMEOUT, true, 0, 1, -1, -1));
        assertViolation("6", () -> checker.onAction(T, new Send("b", 1, SECOND)));
        checker.onAction(T + SECOND, new Send("b", 1, SECOND));
    }
}
