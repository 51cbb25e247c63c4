package brambletray.tray.flow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brambletray.tray.home.Ask;
import brambletray.tray.home.Fate;
import brambletray.tray.home.Grant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Walks at random through what may happen to a request, and holds the rules at each step. A failure names its seed. */
class TripWalkTest {
    private static final int WALKS = 30_000;
    private static final int STEPS = 60;

    /** The world of one walk: the broker, hosts and the client. */
    private static final class World implements Hands {
        final SplittableRandom random;
        final Plan plan;
        final Trip trip;
        final List<Ask> asks = new ArrayList<>();
        final List<Ask> forgotten = new ArrayList<>();
        final Set<Long> held = new HashSet<>();
        final Map<Leg, Boolean> legs = new HashMap<>();
        final Set<String> sentTo = new HashSet<>();
        int mayHaveRun;
        int words;
        int hosts;
        long now = 1_000;
        long ids;
        long saidAt = -1;
        boolean gone;
        boolean flowing;
        boolean ended;
        boolean settling;

        World(long seed) {
            random = new SplittableRandom(seed);
            plan = new Plan(
                    "s", random.nextBoolean(), 1 + random.nextInt(3), 1, 400, false, now + 1 + random.nextInt(600));
            trip = new Trip(plan, this, () -> 1 + random.nextInt(200), () -> ++ids, "e", "z", now);
        }

        @Override
        public void ask(Ask ask) {
            assertTrue(asks.isEmpty(), "one ask at a time");
            assertTrue(
                    !ask.copy() || plan.repeatable() && !legs.isEmpty(),
                    "a copy only of what is out and may be repeated");
            assertEquals(!sentTo.isEmpty(), ask.again(), "again: it has reached a host");
            assertTrue(ask.remainingMs() > 0, "time is left");
            asks.add(ask);
            if (random.nextInt(4) == 0) {
                broker();
            }
        }

        @Override
        public void forget(long askId) {
            if (asks.removeIf(ask -> ask.id() == askId && forgotten.add(ask))) {
                return;
            }
            assertTrue(held.remove(askId), "a place given back twice, or never had");
        }

        @Override
        public void send(Leg leg, long hostEnd) {
            assertTrue(hostEnd < plan.end() && legs.size() < plan.mostHosts(), "sent to more hosts than allowed");
            legs.put(leg, false);
        }

        @Override
        public void cancel(Leg leg) {
            assertTrue(legs.remove(leg) != null, "cancelled twice");
            assertTrue(settling || now >= plan.end() || !leg.sent(), "work broken off that nobody had to break off");
        }

        @Override
        public void done(Grant grant, Fate fate, int tookMs) {
            assertTrue(held.remove(grant.askId()), "a place given back twice, or never had");
            assertTrue(tookMs >= 0, "a time");
        }

        @Override
        public void took(int ms) {
            assertTrue(ms >= 0, "a time");
        }

        private void word() {
            assertEquals(0, words++, "one answer");
            assertTrue(!gone, "nobody to answer");
            saidAt = now;
        }

        @Override
        public void pass(Leg leg) {
            word();
        }

        @Override
        public void flow(Leg leg) {
            word();
            flowing = true;
        }

        @Override
        public void flowed() {
            ended = true;
        }

        @Override
        public void cut() {
            ended = true;
        }

        @Override
        public void own(int status, int comeBackMs) {
            word();
            assertTrue(status != 503 || mayHaveRun == 0, "503 promises that it never ran (rule REFUSED)");
            assertTrue(status == 503 || mayHaveRun > 0, "a request that provably never ran is refused: " + status);
        }

        // ---- What may happen ----
        void broker() {
            if (asks.isEmpty()) {
                return;
            }
            Ask ask = asks.remove(0);
            if (random.nextInt(4) == 0) {
                trip.refused(ask.id(), random.nextInt(300) - 1, now);
            } else {
                grant(ask);
            }
        }

        private void grant(Ask ask) {
            held.add(ask.id());
            trip.granted(new Grant(ask.id(), "h" + ++hosts, "10.0.0.1:1", random.nextBoolean()), now);
        }

        /** A grant that was under way while its ask was forgotten. */
        void lateGrant() {
            if (!forgotten.isEmpty()) {
                grant(forgotten.remove(0));
            }
        }

        /** One that is in use comes once more; at another host, if the home forgot. */
        void sameGrant() {
            List<Leg> all = new ArrayList<>(legs.keySet());
            all.sort(java.util.Comparator.comparing(leg -> leg.grant.host()));
            if (!all.isEmpty()) {
                Leg leg = all.get(random.nextInt(all.size()));
                int sent = legs.size();
                String host = random.nextBoolean() ? leg.grant.host() : "h" + ++hosts;
                trip.granted(new Grant(leg.grant.askId(), host, "10.0.0.1:1", false), now);
                assertEquals(sent, legs.size(), "a grant that came twice was used twice");
                assertTrue(held.contains(leg.grant.askId()), "a place in use was given back");
            }
        }

        void host() {
            if (legs.isEmpty()) {
                return;
            }
            List<Leg> all = new ArrayList<>(legs.keySet());
            all.sort(java.util.Comparator.comparing(leg -> leg.grant.host()));
            Leg leg = all.get(random.nextInt(all.size()));
            if (!leg.sent()) {
                if (random.nextInt(3) == 0) {
                    legs.remove(leg);
                    trip.unreached(leg, now);
                } else {
                    sent(leg);
                }
                return;
            }
            if (random.nextInt(8) == 0 && !legs.get(leg)) {
                settling = true;
                legs.put(leg, trip.flowing(leg, now));
                settling = false;
                return;
            }
            boolean flows = legs.remove(leg);
            Fate fate = switch (random.nextInt(5)) {
                case 0 -> flows ? Fate.BROKEN : Fate.NOT_RUN;
                case 1 -> flows ? Fate.BROKEN : Fate.WRONG_HOST;
                case 2 -> flows ? Fate.SERVED : Fate.FAILED;
                case 3 -> Fate.BROKEN;
                default -> Fate.SERVED;
            };
            mayHaveRun -= fate == Fate.NOT_RUN || fate == Fate.WRONG_HOST ? 1 : 0;
            settling = fate == Fate.SERVED;
            trip.ended(leg, fate, random.nextBoolean(), now);
            settling = false;
        }

        private void sent(Leg leg) {
            assertTrue(plan.repeatable() || mayHaveRun == 0, "must not run twice (rule TWICE)");
            assertTrue(
                    sentTo.add(leg.grant.host()) && sentTo.size() <= plan.mostHosts(),
                    "to another host each time, as many as allowed");
            mayHaveRun++;
            trip.sent(leg, now);
        }

        void time(int ms) {
            long to = now + ms;
            while (trip.due() <= to) {
                now = Math.max(now, trip.due());
                trip.tick(now);
                assertTrue(trip.due() > now || trip.over(), "time stands still");
            }
            now = to;
        }

        void leave() {
            if (words == 0) {
                gone = true;
                trip.gone(now);
            }
        }
    }

    @Test
    void theRulesHoldWhateverHappens() {
        int answered = 0;
        for (long seed = 1; seed <= WALKS; seed++) {
            World world = new World(seed);
            try {
                walk(world);
            } catch (AssertionError | RuntimeException e) {
                throw new AssertionError("seed " + seed + ": " + e.getMessage(), e);
            }
            answered += world.words;
        }
        assertTrue(answered > WALKS / 2, "walks end with an answer");
    }

    private static void walk(World world) {
        world.trip.begin(world.now);
        for (int step = 0; step < STEPS && !world.trip.over(); step++) {
            switch (world.random.nextInt(12)) {
                case 0, 1, 2 -> world.broker();
                case 3, 4, 5, 6 -> world.host();
                case 7 -> {
                    world.lateGrant();
                    world.sameGrant();
                }
                case 8 -> {
                    if (world.random.nextInt(6) == 0) {
                        world.leave();
                    }
                }
                default -> world.time(world.random.nextInt(60));
            }
        }
        world.time(2_000);
        while (!world.forgotten.isEmpty()) {
            world.lateGrant();
        }
        assertTrue(world.trip.over(), "it ends");
        assertEquals(world.gone ? 0 : 1, world.words, "one answer, unless nobody waits");
        assertTrue(world.saidAt <= world.plan.end(), "in time");
        assertEquals(world.flowing, world.ended, "what flows ends");
        assertTrue(world.held.isEmpty() && world.legs.isEmpty() && world.asks.isEmpty(), "nothing is left over");
    }
}
