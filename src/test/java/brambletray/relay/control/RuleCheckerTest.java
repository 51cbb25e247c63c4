package brambletray.relay.control;

import static brambletray.relay.control.Bench.SECOND;
import static brambletray.relay.control.Bench.endpoint;
import static brambletray.relay.control.Bench.settings;
import static org.junit.jupiter.api.Assertions.*;

import brambletray.relay.control.Relay.Accepted;
import brambletray.relay.control.Relay.Ended;
import brambletray.relay.control.Relay.Endpoint;
import brambletray.relay.control.Relay.Fail;
import brambletray.relay.control.Relay.ListKind;
import brambletray.relay.control.Relay.Listed;
import brambletray.relay.control.Relay.Listing;
import brambletray.relay.control.Relay.Outcome;
import brambletray.relay.control.Relay.Refuse;
import brambletray.relay.control.Relay.Send;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** The checker is itself fed a breach of each rule. */
class RuleCheckerTest {
    private final RuleChecker c = new RuleChecker(settings(8, true, 1));
    private static final long T = 10 * SECOND;

    @BeforeEach
    void list() {
        c.event(T, new Listed(ListKind.FULL, List.of(endpoint(1, 0, 0, 1, 2), endpoint(2, 1, 0, 1, 2))));
    }

    private void take(String id, int cls, String key) {
        c.event(T, new Accepted(id, cls, 0, key, T + 5 * SECOND, 1));
    }

    private void breach(String rule, Runnable act) {
        AssertionError e = assertThrows(AssertionError.class, act::run);
        assertTrue(e.getMessage().startsWith("rule " + rule), e.getMessage());
    }

    @Test
    void lostOrDoublyAnsweredMessage() {
        take("a", 0, null);
        c.time(T + 5 * SECOND);
        breach("1", () -> c.time(T + 6 * SECOND));
        c.action(T, new Fail("a"));
        breach("1", () -> c.action(T, new Refuse("a", 0)));
        breach("1", () -> c.action(T, new Send("a", 1, SECOND)));
    }

    @Test
    void doubledEffect() {
        take("u", 2, null);
        c.action(T, new Send("u", 1, SECOND));
        breach("2", () -> c.action(T, new Send("u", 2, SECOND)));
        breach("2", () -> c.action(T, new Refuse("u", 0)));
        take("k", 3, null);
        c.action(T, new Send("k", 1, SECOND));
        breach("2", () -> c.action(T, new Send("k", 2, SECOND)));
        breach("2", () -> c.action(T, new Refuse("k", 0)));
    }

    @Test
    void sendAfterDrain() {
        take("a", 0, null);
        c.event(T, new Listed(ListKind.CHANGES, List.of(new Endpoint(1, 0, 0, 1, Listing.DRAINING, 2))));
        breach("3", () -> c.action(T + SECOND, new Send("a", 1, SECOND)));
    }

    @Test
    void pushedReturn() {
        c.coldSince.put(1L, T);
        for (int i = 0; i < 2; i++) {
            take("a" + i, 0, null);
            c.action(T, new Send("a" + i, 1, SECOND));
        }
        take("b", 0, null);
        breach("4", () -> c.action(T, new Send("b", 1, SECOND)));
    }

    @Test
    void sendInsideWait() {
        take("a", 0, null);
        c.action(T, new Send("a", 1, SECOND));
        c.event(T, new Ended("a", 0, 1, Outcome.FULL, false, SECOND, 1, -1, -1));
        breach("5", () -> c.action(T + SECOND / 2, new Send("a", 2, SECOND)));
    }

    @Test
    void orderOfKeys() {
        take("a", 2, "k");
        take("b", 2, "k");
        breach("6", () -> c.action(T, new Send("b", 1, SECOND)));
        c.action(T, new Send("a", 1, SECOND));
        c.event(T, new Ended("a", 0, 1, Outcome.TIMEOUT, true, 0, 1, -1, -1));
        breach("6", () -> c.action(T, new Send("b", 1, SECOND)));
        c.action(T + SECOND, new Send("b", 1, SECOND));
    }
}
