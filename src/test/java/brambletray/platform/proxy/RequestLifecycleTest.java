package brambletray.platform.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brambletray.platform.admission.AttemptOutcome;
import brambletray.platform.admission.SlotGrant;
import brambletray.platform.admission.SlotOwner;
import brambletray.platform.admission.SlotRequest;
import brambletray.platform.configuration.Tenant;
import brambletray.platform.operations.OperationKey;
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
    private static final Tenant LIMITED = new Tenant("t", List.of(), 1, 10, 5);
    private static final Tenant UNLIMITED = new Tenant("u", List.of(), 1, 0, 0);

    /** The world of one walk: the broker, hosts and the client. */
    static final class World implements RequestActions {
        final SplittableRandom random;
        final RequestPlan plan;
        final RequestLifecycle lifecycle;
        final ScriptedPreparation preparation;
        final List<SlotRequest> asks = new ArrayList<>();
        final List<SlotRequest> forgotten = new ArrayList<>();
        final Set<Long> held = new HashSet<>();
        final Map<Attempt, Boolean> attempts = new HashMap<>();
        final Set<String> sentTo = new HashSet<>();
        int mayHaveRun;
        int brokenOff;
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
            boolean keyed = random.nextInt(3) == 0;
            plan = new RequestPlan(
                    "s",
                    !keyed && random.nextBoolean(),
                    1 + random.nextInt(3),
                    SlotOwner.withoutTenant(1),
                    400,
                    false,
                    random.nextBoolean() ? null : random.nextBoolean() ? LIMITED : UNLIMITED,
                    keyed ? OperationKey.of("t", "k") : null,
                    random.nextBoolean(),
                    now + 1 + random.nextInt(600));
            preparation = new ScriptedPreparation(this);
            lifecycle = new RequestLifecycle(plan, this, () -> 1 + random.nextInt(200), () -> ++ids, "e", "z", now);
        }

        @Override
        public void prepare() {
            assertTrue(plan.isLimited() || plan.operation() != null, "nothing to prepare");
            preparation.start();
        }

        @Override
        public int cancelPreparation() {
            return preparation.cancel();
        }

        @Override
        public void passRecordedAnswer() {
            assertTrue(preparation.isRepeatAnswered, "nothing is recorded");
            assertTrue(mayHaveRun == 0 && sentTo.isEmpty(), "a repeat that ran");
            word();
        }

        @Override
        public void requestSlot(SlotRequest ask) {
            assertTrue(asks.isEmpty(), "one ask at a time");
            preparation.assertPrepared();
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
                    settling || now >= plan.deadlineMs() || !attempt.isSent(),
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
            assertTrue(status != 429 || mayHaveRun == 0, "429 promises that it never ran (rule REFUSED)");
            if (preparation.ownStatus != 0) {
                assertEquals(preparation.ownStatus, status, "what the preparation or the send was refused with");
                assertEquals(0, mayHaveRun, "refused before it was sent");
                return;
            }
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
            if (!attempt.isSent()) {
                int chance = random.nextInt(6);
                if (chance < 2) {
                    attempts.remove(attempt);
                    lifecycle.onUnreachable(attempt, now);
                } else if (chance == 2 && plan.isLimited()) {
                    sendRejected(attempt);
                } else if (!preparation.allowsSending()) {
                    lifecycle.answerNow(now);
                    assertTrue(!attempt.active, "sent under a claim that is too old (rule TWICE)");
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
            brokenOff += fate == AttemptOutcome.BROKEN ? 1 : 0;
            boolean withheld = random.nextBoolean();
            if (!flows && (fate == AttemptOutcome.SERVED || fate == AttemptOutcome.FAILED && !withheld)) {
                preparation.onHostAnswer();
            }
            settling = fate == AttemptOutcome.SERVED;
            lifecycle.onEnded(attempt, fate, withheld, now);
            settling = false;
        }

        /** The tenant's quota has no right for this attempt any more, or nobody can tell. */
        private void sendRejected(Attempt attempt) {
            attempts.remove(attempt);
            boolean ranNowhere = mayHaveRun == 0;
            boolean lastOne = attempts.isEmpty() && asks.isEmpty();
            int status = random.nextBoolean() ? 429 : 503;
            preparation.ownStatus = ranNowhere && lastOne ? status : 0;
            lifecycle.onSendRejected(attempt, status, random.nextInt(300) - 1, now);
            assertTrue(!held.contains(attempt.grant.requestId()), "a place for nothing is kept");
            assertTrue(!lastOne || lifecycle.isSettled(), "answered, as nothing else is out");
        }

        private void sent(Attempt attempt) {
            assertTrue(plan.idempotent() || mayHaveRun == 0, "must not run twice (rule TWICE)");
            assertTrue(
                    sentTo.add(attempt.grant.instanceId()) && sentTo.size() <= plan.maxInstances(),
                    "to another host each time, as many as allowed");
            preparation.assertPrepared();
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
        int claimed = 0;
        int repeats = 0;
        for (long seed = 1; seed <= WALKS; seed++) {
            World world = new World(seed);
            try {
                walk(world);
            } catch (AssertionError | RuntimeException e) {
                throw new AssertionError("seed " + seed + ": " + e.getMessage(), e);
            }
            answered += world.words;
            claimed += world.preparation.claimEnds;
            repeats += world.preparation.isRepeatAnswered ? 1 : 0;
        }
        assertTrue(answered > WALKS / 2, "walks end with an answer");
        assertTrue(claimed > WALKS / 20, "walks claim their operation: " + claimed);
        assertTrue(repeats > WALKS / 100, "walks are repeats: " + repeats);
    }

    private static void walk(World world) {
        world.lifecycle.start(world.now);
        world.preparation.endIfOver();
        for (int step = 0; step < STEPS && !world.lifecycle.isOver(); step++) {
            switch (world.random.nextInt(12)) {
                case 0, 1, 2 -> {
                    world.preparation.act();
                    world.broker();
                }
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
            world.preparation.endIfOver();
        }
        world.time(2_000);
        while (!world.forgotten.isEmpty()) {
            world.lateGrant();
        }
        assertTrue(world.lifecycle.isOver(), "it ends");
        assertEquals(world.gone ? 0 : 1, world.words, "one answer, unless nobody waits");
        assertTrue(world.saidAt <= world.plan.deadlineMs(), "in time");
        assertEquals(world.flowing, world.ended, "what flows ends");
        world.preparation.endIfOver();
        world.preparation.assertNothingLeft();
        assertTrue(world.held.isEmpty() && world.attempts.isEmpty() && world.asks.isEmpty(), "nothing is left over");
    }
}
