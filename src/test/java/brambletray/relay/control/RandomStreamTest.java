package brambletray.relay.control;

import static brambletray.relay.control.ControlHarness.MS;
import static brambletray.relay.control.ControlHarness.SECOND;
import static brambletray.relay.control.ControlHarness.settings;
import static org.junit.jupiter.api.Assertions.*;

import brambletray.relay.control.Relay.Accepted;
import brambletray.relay.control.Relay.Action;
import brambletray.relay.control.Relay.Cancel;
import brambletray.relay.control.Relay.AttemptEnded;
import brambletray.relay.control.Relay.Endpoint;
import brambletray.relay.control.Relay.Event;
import brambletray.relay.control.Relay.EndpointExclusion;
import brambletray.relay.control.Relay.ListKind;
import brambletray.relay.control.Relay.EndpointsListed;
import brambletray.relay.control.Relay.Listing;
import brambletray.relay.control.Relay.Outcome;
import brambletray.relay.control.Relay.Send;
import brambletray.relay.control.Relay.Withdrawn;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Seeded random legal streams of events, every action past the rule checker. */
class RandomStreamTest {
    private record PendingAttempt(Send send, int attempt, long endsAt, Outcome outcome, long retryAfter) {}

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16})
    void rulesHoldAndEveryMessageEnds(long seed) {
        assertTrue(run(seed).size() > 500, "the stream is busy");
    }

    /** Hundreds of relays, two slots, a message in seconds. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void rulesHoldInALargeFleet(long seed) {
        assertTrue(run(seed, 2, 200 + 40 * (int) seed, 60).size() > 30, "the stream is not idle");
    }

    @Test
    void identicalInputGivesIdenticalOutput() {
        assertEquals(run(42), run(42));
    }

    private static List<Action> run(long seed) {
        Random random = new Random(seed);
        return run(seed, 2 + random.nextInt(8), 1 + random.nextInt(4), 4);
    }

    private static List<Action> run(long seed, int slots, int relays, int oneIn) {
        Random random = new Random(seed);
        ControlHarness b = new ControlHarness(settings(slots, seed % 3 != 0, relays, 8, 60), seed);
        List<Action> all = new ArrayList<>();
        List<PendingAttempt> flying = new ArrayList<>();
        List<Accepted> taken = new ArrayList<>();
        listEndpoints(b, random, true);
        int trouble = 0;
        for (int step = 0; step < 6000; step++) {
            b.now += 5 * MS;
            if (step % 400 == 0) {
                trouble = random.nextInt(6);
            }
            List<Event> events = new ArrayList<>();
            if (random.nextInt(300) == 0) {
                events.add(listEndpoints(b, random, random.nextBoolean()));
            }
            if (random.nextInt(250) == 0) {
                events.add(new EndpointExclusion(100 + random.nextInt(9), random.nextBoolean()));
            }
            for (PendingAttempt f : List.copyOf(flying)) {
                if (f.endsAt <= b.now) {
                    flying.remove(f);
                    RuleChecker.TrackedMessage s = b.checker.messages.get(f.send.id());
                    boolean over = s.ended || f.outcome == Outcome.OK;
                    events.add(new AttemptEnded(
                            f.send.id(),
                            f.attempt,
                            f.send.endpoint(),
                            f.outcome,
                            over,
                            f.retryAfter,
                            f.endsAt,
                            random.nextDouble(),
                            random.nextInt(3) == 0 ? 5 : -1));
                }
            }
            if (step < 4000 && random.nextInt(oneIn) == 0) {
                Accepted m = b.message(
                        random.nextInt(4),
                        1 + random.nextInt(3),
                        random.nextBoolean() ? "k" + random.nextInt(4) : null);
                taken.add(m);
                events.add(m);
            }
            if (!taken.isEmpty() && random.nextInt(200) == 0) {
                Accepted m = taken.get(random.nextInt(taken.size()));
                if (b.checker.messages.containsKey(m.id()) && !b.checker.messages.get(m.id()).ended) {
                    events.add(new Withdrawn(m.id()));
                }
            }
            if (events.isEmpty() && b.wakeAt > b.now) {
                continue;
            }
            List<Action> actions = b.turn(events);
            all.addAll(actions);
            for (Action a : actions) {
                if (a instanceof Send s) {
                    flying.add(startAttempt(b, s, random, trouble));
                } else if (a instanceof Cancel c) {
                    flying.replaceAll(f -> f.send.id().equals(c.id()) && f.attempt == c.attempt()
                            ? new PendingAttempt(f.send, f.attempt, b.now + 5 * MS, Outcome.CANCELLED, 0)
                            : f);
                }
            }
        }
        b.now += 40 * SECOND;
        b.turn();
        for (Accepted m : taken) {
            RuleChecker.TrackedMessage s = b.checker.messages.get(m.id());
            assertTrue(s == null || s.ended, "no end for " + m.id());
        }
        return all;
    }

    private static PendingAttempt startAttempt(ControlHarness b, Send s, Random random, int trouble) {
        Outcome outcome = Outcome.OK;
        long took = 50 * MS + random.nextInt(300) * MS;
        long wait = 0;
        if (random.nextInt(10) < trouble) {
            outcome = Outcome.values()[1 + random.nextInt(5)];
            if (outcome == Outcome.FULL && random.nextBoolean()) {
                wait = random.nextInt(2000) * MS;
            }
        }
        if (outcome == Outcome.TIMEOUT || took > s.timeout()) {
            outcome = Outcome.TIMEOUT;
            took = s.timeout();
        }
        return new PendingAttempt(s, b.checker.messages.get(s.id()).sends.size() - 1, b.now + took, outcome, wait);
    }

    private static EndpointsListed listEndpoints(ControlHarness b, Random random, boolean whole) {
        List<Endpoint> items = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            if (whole ? random.nextInt(8) > 0 : random.nextInt(3) == 0) {
                Listing listing = whole || random.nextInt(3) > 0
                        ? Listing.READY
                        : random.nextBoolean() ? Listing.DRAINING : Listing.GONE;
                int dest = 1 + i % 3;
                items.add(new Endpoint(100 + i, i % 2, dest - 1, dest, listing, 4 + dest));
            }
        }
        EndpointsListed event = new EndpointsListed(whole ? ListKind.FULL : ListKind.CHANGES, items);
        if (b.control != null && whole) {
            b.turn(event);
        }
        return event;
    }
}
