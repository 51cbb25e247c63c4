package brambletray.relay.control;

import static brambletray.relay.control.ControlHarness.MS;
import static brambletray.relay.control.ControlHarness.SECOND;
import static brambletray.relay.control.ControlHarness.settings;
import static org.junit.jupiter.api.Assertions.*;

import brambletray.relay.control.Relay.Accepted;
import brambletray.relay.control.Relay.Action;
import brambletray.relay.control.Relay.AttemptEnded;
import brambletray.relay.control.Relay.Cancel;
import brambletray.relay.control.Relay.Endpoint;
import brambletray.relay.control.Relay.EndpointExclusion;
import brambletray.relay.control.Relay.EndpointsListed;
import brambletray.relay.control.Relay.Event;
import brambletray.relay.control.Relay.ListKind;
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

/** Random legal event streams from fixed seeds, with every action checked by {@link RuleChecker}. */
class RandomStreamTest {
    private record PendingAttempt(Send send, int attempt, long endsAt, Outcome outcome, long retryAfter) {}

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16})
    void rulesHoldAndEveryMessageEnds(long seed) {
        assertTrue(run(seed).size() > 500, "too few actions: the stream is not busy");
    }

    /** Hundreds of relays, two slots each, and a message every 300 ms on average. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void rulesHoldInALargeFleet(long seed) {
        assertTrue(run(seed, 2, 200 + 40 * (int) seed, 60).size() > 30, "too few actions: the stream is idle");
    }

    @Test
    void identicalInputGivesIdenticalOutput() {
        assertEquals(run(42), run(42));
    }

    private static List<Action> run(long seed) {
        Random random = new Random(seed);
        return run(seed, 2 + random.nextInt(8), 1 + random.nextInt(4), 4);
    }

    private static List<Action> run(long seed, int slots, int relays, int stepsPerMessage) {
        Random random = new Random(seed);
        ControlHarness harness = new ControlHarness(settings(slots, seed % 3 != 0, relays, 8, 60), seed);
        List<Action> all = new ArrayList<>();
        List<PendingAttempt> pending = new ArrayList<>();
        List<Accepted> accepted = new ArrayList<>();
        listEndpoints(harness, random, true);
        int failuresInTen = 0;
        for (int step = 0; step < 6000; step++) {
            harness.now += 5 * MS;
            if (step % 400 == 0) {
                failuresInTen = random.nextInt(6);
            }
            List<Event> events = new ArrayList<>();
            if (random.nextInt(300) == 0) {
                events.add(listEndpoints(harness, random, random.nextBoolean()));
            }
            if (random.nextInt(250) == 0) {
                events.add(new EndpointExclusion(100 + random.nextInt(9), random.nextBoolean()));
            }
            for (PendingAttempt f : List.copyOf(pending)) {
                if (f.endsAt <= harness.now) {
                    pending.remove(f);
                    RuleChecker.TrackedMessage s = harness.checker.messages.get(f.send.id());
                    boolean messageEnded = s.ended || f.outcome == Outcome.OK;
                    events.add(new AttemptEnded(
                            f.send.id(),
                            f.attempt,
                            f.send.endpoint(),
                            f.outcome,
                            messageEnded,
                            f.retryAfter,
                            f.endsAt,
                            random.nextDouble(),
                            random.nextInt(3) == 0 ? 5 : -1));
                }
            }
            if (step < 4000 && random.nextInt(stepsPerMessage) == 0) {
                Accepted m = harness.message(
                        random.nextInt(4),
                        1 + random.nextInt(3),
                        random.nextBoolean() ? "k" + random.nextInt(4) : null);
                accepted.add(m);
                events.add(m);
            }
            if (!accepted.isEmpty() && random.nextInt(200) == 0) {
                Accepted m = accepted.get(random.nextInt(accepted.size()));
                if (harness.checker.messages.containsKey(m.id()) && !harness.checker.messages.get(m.id()).ended) {
                    events.add(new Withdrawn(m.id()));
                }
            }
            if (events.isEmpty() && harness.wakeAt > harness.now) {
                continue;
            }
            List<Action> actions = harness.turn(events);
            all.addAll(actions);
            for (Action a : actions) {
                if (a instanceof Send s) {
                    pending.add(startAttempt(harness, s, random, failuresInTen));
                } else if (a instanceof Cancel c) {
                    pending.replaceAll(f -> f.send.id().equals(c.id()) && f.attempt == c.attempt()
                            ? new PendingAttempt(f.send, f.attempt, harness.now + 5 * MS, Outcome.CANCELLED, 0)
                            : f);
                }
            }
        }
        harness.now += 40 * SECOND;
        harness.turn();
        for (Accepted m : accepted) {
            RuleChecker.TrackedMessage s = harness.checker.messages.get(m.id());
            assertTrue(s == null || s.ended, "no final answer for " + m.id());
        }
        return all;
    }

    private static PendingAttempt startAttempt(ControlHarness harness, Send s, Random random, int failuresInTen) {
        Outcome outcome = Outcome.OK;
        long latency = 50 * MS + random.nextInt(300) * MS;
        long retryAfter = 0;
        if (random.nextInt(10) < failuresInTen) {
            outcome = Outcome.values()[1 + random.nextInt(5)];
            if (outcome == Outcome.FULL && random.nextBoolean()) {
                retryAfter = random.nextInt(2000) * MS;
            }
        }
        if (outcome == Outcome.TIMEOUT || latency > s.timeout()) {
            outcome = Outcome.TIMEOUT;
            latency = s.timeout();
        }
        return new PendingAttempt(
                s, harness.checker.messages.get(s.id()).sends.size() - 1, harness.now + latency, outcome, retryAfter);
    }

    private static EndpointsListed listEndpoints(ControlHarness harness, Random random, boolean full) {
        List<Endpoint> items = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            if (full ? random.nextInt(8) > 0 : random.nextInt(3) == 0) {
                Listing listing = full || random.nextInt(3) > 0
                        ? Listing.READY
                        : random.nextBoolean() ? Listing.DRAINING : Listing.GONE;
                int dest = 1 + i % 3;
                items.add(new Endpoint(100 + i, i % 2, dest - 1, dest, listing, 4 + dest));
            }
        }
        EndpointsListed event = new EndpointsListed(full ? ListKind.FULL : ListKind.CHANGES, items);
        if (harness.control != null && full) {
            harness.turn(event);
        }
        return event;
    }
}
