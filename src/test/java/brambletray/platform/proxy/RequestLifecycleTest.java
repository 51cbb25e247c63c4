package brambletray.platform.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brambletray.platform.admission.AttemptOutcome;
import brambletray.platform.admission.SlotGrant;
import brambletray.platform.admission.SlotOwner;
import brambletray.platform.admission.SlotRequest;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Walks at random through what may happen to a request, and holds the rules at each step. A failure names its seed. */
class RequestLifecycleTest {
    private static final int WALKS = 30_000;
    private static final int STEPS = 60;

    /** The world of one walk: the broker, hosts and the client. */
    private static final class World implements RequestActions {
        final SplittableRandom random;
        final RequestPlan plan;
        final RequestLifecycle lifecycle;
        final List<SlotRequest> asks = new ArrayList<>();
        final List<SlotRequest> forgotten = new ArrayList<>();
        final Set<Long> held = new HashSet<>();
        final Map<Attempt, Boolean> attempts = new HashMap<>();
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
            plan = new RequestPlan(
                    "s",
                    random.nextBoolean(),
                    1 + random.nextInt(3),
                    SlotOwner.nobody(1),
                    400,
                    false,
                    null,
                    null,
                    false,
                    now + 1 + random.nextInt(600));
            lifecycle = new RequestLifecycle(plan, this, () -> 1 + random.nextInt(200), () -> ++ids, "e", "z", now);
        }

        @Override
        public void prepare() {
            throw new AssertionError("nothing to prepare without a tenant");
        }

        @Override
        public int cancelPreparation() {
            throw new AssertionError("nothing to prepare without a tenant");
        }

        @Override
        public void passRecordedAnswer() {
            throw new AssertionError("nothing is recorded without an operation");
        }

        @Override
        public void requestSlot(SlotRequest ask) {
            assertTrue(asks.isEmpty(), "one ask at a time");
            assertTrue(
                    !ask.hedge() || plan.idempotent() && !attempts.isEmpty(),
                    "a copy only of what is out and may be repeated");
            assertEquals(!sentTo.isEmpty(), ask.retry(), "again: it has reached a host");
            assertTrue(ask.remainingMs() > 0, "time is left");
            asks.add(ask);
            if (random.nextInt(4) == 0) {
                broker();
            }
        }

        @Override
        public void cancelSlotRequest(long askId) {
            if (asks.removeIf(ask -> ask.id() == askId && forgotten.add(ask))) {
                return;
            }
            assertTrue(held.remove(askId), "a place given back twice, or never had");
        }

        @Override
        public void sendToInstance(Attempt attempt, long hostEnd) {
            assertTrue(
                    hostEnd < plan.deadlineMs() && attempts.size() < plan.maxInstances(),
                    "sent to more hosts than allowed");
            attempts.put(attempt, false);
        }

        @Override
        public void cancel(Attempt attempt) {
            assertTrue(attempts.remove(attempt) != null, "cancelled twice");
            assertTrue(
                    settling || now >= plan.deadlineMs() || !attempt.onSent(),
                    "work broken off that nobody had to break off");
        }

        @Override
        public void releaseSlot(SlotGrant grant, AttemptOutcome fate, int tookMs) {
            assertTrue(held.remove(grant.requestId()), "a place given back twice, or never had");
            assertTrue(tookMs >= 0, "a time");
        }

        @Override
        public void recordResponseTime(int ms) {
            assertTrue(ms >= 0, "a time");
        }

        private void word() {
            assertEquals(0, words++, "one answer");
            assertTrue(!gone, "nobody to answer");
            saidAt = now;
        }

        @Override
        public void passResponse(Attempt attempt) {
            word();
        }

        @Override
        public void startStreaming(Attempt attempt) {
            word();
            flowing = true;
        }

        @Override
        public void finishStreaming() {
            ended = true;
        }

        @Override
        public void abortClient() {
            ended = true;
        }

        @Override
        public void respond(int status, int comeBackMs) {
            word();
            assertTrue(status != 503 || mayHaveRun == 0, "503 promises that it never ran (rule REFUSED)");
            assertTrue(status == 503 || mayHaveRun > 0, "a request that provably never ran is refused: " + status);
        }

        // ---- What may happen ----
        void broker() {
            if (asks.isEmpty()) {
                return;
            }
            SlotRequest ask = asks.remove(0);
            if (random.nextInt(4) == 0) {
                lifecycle.onRefused(ask.id(), random.nextInt(300) - 1, now);
            } else {
                grant(ask);
            }
        }

        private void grant(SlotRequest ask) {
            held.add(ask.id());
            lifecycle.onGranted(new SlotGrant(ask.id(), "h" + ++hosts, "10.0.0.1:1", random.nextBoolean()), now);
        }

        /** A grant that was under way while its ask was forgotten. */
        void lateGrant() {
            if (!forgotten.isEmpty()) {
                grant(forgotten.remove(0));
            }
        }

        /** One that is in use comes once more; at another host, if the home forgot. */
        void sameGrant() {
            List<Attempt> all = new ArrayList<>(attempts.keySet());
            all.sort(java.util.Comparator.comparing(attempt -> attempt.grant.instanceId()));
            if (!all.isEmpty()) {
                Attempt attempt = all.get(random.nextInt(all.size()));
                int sent = attempts.size();
                String host = random.nextBoolean() ? attempt.grant.instanceId() : "h" + ++hosts;
                lifecycle.onGranted(new SlotGrant(attempt.grant.requestId(), host, "10.0.0.1:1", false), now);
                assertEquals(sent, attempts.size(), "a grant that came twice was used twice");
                assertTrue(held.contains(attempt.grant.requestId()), "a place in use was given back");
            }
        }

        void host() {
            if (attempts.isEmpty()) {
                return;
            }
            List<Attempt> all = new ArrayList<>(attempts.keySet());
            all.sort(java.util.Comparator.comparing(attempt -> attempt.grant.instanceId()));
            Attempt attempt = all.get(random.nextInt(all.size()));
            if (!attempt.onSent()) {
                if (random.nextInt(3) == 0) {
                    attempts.remove(attempt);
                    lifecycle.onUnreachable(attempt, now);
                } else {
                    sent(attempt);
                }
                return;
            }
            if (random.nextInt(8) == 0 && !attempts.get(attempt)) {
                settling = true;
                attempts.put(attempt, lifecycle.onStreaming(attempt, now));
                settling = false;
                return;
            }
            boolean flows = attempts.remove(attempt);
            AttemptOutcome fate = switch (random.nextInt(5)) {
                case 0 -> flows ? AttemptOutcome.BROKEN : AttemptOutcome.NOT_RUN;
                case 1 -> flows ? AttemptOutcome.BROKEN : AttemptOutcome.WRONG_HOST;
                case 2 -> flows ? AttemptOutcome.SERVED : AttemptOutcome.FAILED;
                case 3 -> AttemptOutcome.BROKEN;
                default -> AttemptOutcome.SERVED;
            };
            mayHaveRun -= fate == AttemptOutcome.NOT_RUN || fate == AttemptOutcome.WRONG_HOST ? 1 : 0;
            settling = fate == AttemptOutcome.SERVED;
            lifecycle.onEnded(attempt, fate, random.nextBoolean(), now);
            settling = false;
        }

        private void sent(Attempt attempt) {
            assertTrue(plan.idempotent() || mayHaveRun == 0, "must not run twice (rule TWICE)");
            assertTrue(
                    sentTo.add(attempt.grant.instanceId()) && sentTo.size() <= plan.maxInstances(),
                    "to another host each time, as many as allowed");
            mayHaveRun++;
            lifecycle.onSent(attempt, now);
        }

        void time(int ms) {
            long to = now + ms;
            while (lifecycle.nextDueMs() <= to) {
                now = Math.max(now, lifecycle.nextDueMs());
                lifecycle.tick(now);
                assertTrue(lifecycle.nextDueMs() > now || lifecycle.isOver(), "time stands still");
            }
            now = to;
        }

        void leave() {
            if (words == 0) {
                gone = true;
                lifecycle.onClientGone(now);
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
        world.lifecycle.start(world.now);
        for (int step = 0; step < STEPS && !world.lifecycle.isOver(); step++) {
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
        assertTrue(world.lifecycle.isOver(), "it ends");
        assertEquals(world.gone ? 0 : 1, world.words, "one answer, unless nobody waits");
        assertTrue(world.saidAt <= world.plan.deadlineMs(), "in time");
        assertEquals(world.flowing, world.ended, "what flows ends");
        assertTrue(world.held.isEmpty() && world.attempts.isEmpty() && world.asks.isEmpty(), "nothing is left over");
    }
}
