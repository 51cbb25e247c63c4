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
    private static final int RUNS = 30_000;
    private static final int STEPS_PER_RUN = 60;
    private static final Tenant LIMITED = new Tenant("t", List.of(), 1, 10, 5);
    private static final Tenant UNLIMITED = new Tenant("u", List.of(), 1, 0, 0);

    /** The world of one walk: the broker, hosts and the client. */
    static final class Environment implements RequestActions {
        final SplittableRandom random;
        final RequestPlan plan;
        final RequestLifecycle lifecycle;
        final ScriptedPreparation preparation;
        final List<SlotRequest> slotRequests = new ArrayList<>();
        final List<SlotRequest> cancelledRequests = new ArrayList<>();
        final Set<Long> heldSlots = new HashSet<>();
        final Map<Attempt, Boolean> activeAttempts = new HashMap<>();
        final Set<String> sentTo = new HashSet<>();
        int mayHaveRun;
        int lostConnections;
        int responses;
        int hostCount;
        long now = 1_000;
        long lastRequestId;
        long respondedAtMs = -1;
        boolean clientGone;
        boolean streamingStarted;
        boolean streamingEnded;
        boolean settling;

        Environment(long seed) {
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
            lifecycle = new RequestLifecycle(plan, this, () -> 1 + random.nextInt(200), () -> ++lastRequestId, "e", "z", now);
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
            recordResponse();
        }

        @Override
        public void requestSlot(SlotRequest ask) {
            assertTrue(slotRequests.isEmpty(), "one ask at a time");
            preparation.assertPrepared();
            assertTrue(
                    !ask.hedge() || plan.idempotent() && !activeAttempts.isEmpty(),
                    "a copy only of what is out and may be repeated");
            assertEquals(!sentTo.isEmpty(), ask.retry(), "again: it has reached a host");
            assertTrue(ask.remainingMs() > 0, "time is left");
            slotRequests.add(ask);
            if (random.nextInt(4) == 0) {
                answerSlotRequest();
            }
        }

        @Override
        public void cancelSlotRequest(long askId) {
            if (slotRequests.removeIf(ask -> ask.id() == askId && cancelledRequests.add(ask))) {
                return;
            }
            assertTrue(heldSlots.remove(askId), "a place given back twice, or never had");
        }

        @Override
        public void sendToInstance(Attempt attempt, long hostEnd) {
            assertTrue(
                    hostEnd < plan.deadlineMs() && activeAttempts.size() < plan.maxInstances(),
                    "sent to more hosts than allowed");
            activeAttempts.put(attempt, false);
        }

        @Override
        public void cancel(Attempt attempt) {
            assertTrue(activeAttempts.remove(attempt) != null, "cancelled twice");
            assertTrue(
                    settling || now >= plan.deadlineMs() || !attempt.isSent(),
                    "work broken off that nobody had to break off");
        }

        @Override
        public void releaseSlot(SlotGrant grant, AttemptOutcome fate, int tookMs) {
            assertTrue(heldSlots.remove(grant.requestId()), "a place given back twice, or never had");
            assertTrue(tookMs >= 0, "a time");
        }

        @Override
        public void recordResponseTime(int ms) {
            assertTrue(ms >= 0, "a time");
        }

        private void recordResponse() {
            assertEquals(0, responses++, "one answer");
            assertTrue(!clientGone, "nobody to answer");
            respondedAtMs = now;
        }

        @Override
        public void passResponse(Attempt attempt) {
            recordResponse();
        }

        @Override
        public void startStreaming(Attempt attempt) {
            recordResponse();
            streamingStarted = true;
        }

        @Override
        public void finishStreaming() {
            streamingEnded = true;
        }

        @Override
        public void abortClient() {
            streamingEnded = true;
        }

        @Override
        public void respond(int status, int comeBackMs) {
            recordResponse();
            assertTrue(status != 503 || mayHaveRun == 0, "503 promises that it never ran (rule REFUSED)");
            assertTrue(status != 429 || mayHaveRun == 0, "429 promises that it never ran (rule REFUSED)");
            if (preparation.expectedStatus != 0) {
                assertEquals(preparation.expectedStatus, status, "what the preparation or the send was refused with");
                assertEquals(0, mayHaveRun, "refused before it was sent");
                return;
            }
            assertTrue(status == 503 || mayHaveRun > 0, "a request that provably never ran is refused: " + status);
        }

        // ---- What may happen ----
        void answerSlotRequest() {
            if (slotRequests.isEmpty()) {
                return;
            }
            SlotRequest ask = slotRequests.remove(0);
            if (random.nextInt(4) == 0) {
                lifecycle.onRefused(ask.id(), random.nextInt(300) - 1, now);
            } else {
                grant(ask);
            }
        }

        private void grant(SlotRequest ask) {
            heldSlots.add(ask.id());
            lifecycle.onGranted(new SlotGrant(ask.id(), "h" + ++hostCount, "10.0.0.1:1", random.nextBoolean()), now);
        }

        /** A grant that was under way while its ask was forgotten. */
        void lateGrant() {
            if (!cancelledRequests.isEmpty()) {
                grant(cancelledRequests.remove(0));
            }
        }

        /** One that is in use comes once more; at another host, if the home forgot. */
        void duplicateGrant() {
            List<Attempt> all = new ArrayList<>(activeAttempts.keySet());
            all.sort(java.util.Comparator.comparing(attempt -> attempt.grant.instanceId()));
            if (!all.isEmpty()) {
                Attempt attempt = all.get(random.nextInt(all.size()));
                int sent = activeAttempts.size();
                String host = random.nextBoolean() ? attempt.grant.instanceId() : "h" + ++hostCount;
                lifecycle.onGranted(new SlotGrant(attempt.grant.requestId(), host, "10.0.0.1:1", false), now);
                assertEquals(sent, activeAttempts.size(), "a grant that came twice was used twice");
                assertTrue(heldSlots.contains(attempt.grant.requestId()), "a place in use was given back");
            }
        }

        void hostEvent() {
            if (activeAttempts.isEmpty()) {
                return;
            }
            List<Attempt> all = new ArrayList<>(activeAttempts.keySet());
            all.sort(java.util.Comparator.comparing(attempt -> attempt.grant.instanceId()));
            Attempt attempt = all.get(random.nextInt(all.size()));
            if (!attempt.isSent()) {
                int chance = random.nextInt(6);
                if (chance < 2) {
                    activeAttempts.remove(attempt);
                    lifecycle.onUnreachable(attempt, now);
                } else if (chance == 2 && plan.isLimited()) {
                    rejectSend(attempt);
                } else if (!preparation.allowsSending()) {
                    lifecycle.answerNow(now);
                    assertTrue(!attempt.active, "sent under a claim that is too old (rule TWICE)");
                } else {
                    sendFirstByte(attempt);
                }
                return;
            }
            if (random.nextInt(8) == 0 && !activeAttempts.get(attempt)) {
                settling = true;
                activeAttempts.put(attempt, lifecycle.onStreaming(attempt, now));
                settling = false;
                return;
            }
            boolean flows = activeAttempts.remove(attempt);
            AttemptOutcome fate = switch (random.nextInt(5)) {
                case 0 -> flows ? AttemptOutcome.BROKEN : AttemptOutcome.NOT_RUN;
                case 1 -> flows ? AttemptOutcome.BROKEN : AttemptOutcome.WRONG_HOST;
                case 2 -> flows ? AttemptOutcome.SERVED : AttemptOutcome.FAILED;
                case 3 -> AttemptOutcome.BROKEN;
                default -> AttemptOutcome.SERVED;
            };
            mayHaveRun -= fate == AttemptOutcome.NOT_RUN || fate == AttemptOutcome.WRONG_HOST ? 1 : 0;
            lostConnections += fate == AttemptOutcome.BROKEN ? 1 : 0;
            boolean withheld = random.nextBoolean();
            if (!flows && (fate == AttemptOutcome.SERVED || fate == AttemptOutcome.FAILED && !withheld)) {
                preparation.onHostAnswer();
            }
            settling = fate == AttemptOutcome.SERVED;
            lifecycle.onEnded(attempt, fate, withheld, now);
            settling = false;
        }

        /** The tenant's quota has no right for this attempt any more, or nobody can tell. */
        private void rejectSend(Attempt attempt) {
            activeAttempts.remove(attempt);
            boolean ranNowhere = mayHaveRun == 0;
            boolean lastOne = activeAttempts.isEmpty() && slotRequests.isEmpty();
            int status = random.nextBoolean() ? 429 : 503;
            preparation.expectedStatus = ranNowhere && lastOne ? status : 0;
            lifecycle.onSendRejected(attempt, status, random.nextInt(300) - 1, now);
            assertTrue(!heldSlots.contains(attempt.grant.requestId()), "a place for nothing is kept");
            assertTrue(!lastOne || lifecycle.isSettled(), "answered, as nothing else is out");
        }

        private void sendFirstByte(Attempt attempt) {
            assertTrue(plan.idempotent() || mayHaveRun == 0, "must not run twice (rule TWICE)");
            assertTrue(
                    sentTo.add(attempt.grant.instanceId()) && sentTo.size() <= plan.maxInstances(),
                    "to another host each time, as many as allowed");
            preparation.assertPrepared();
            mayHaveRun++;
            lifecycle.onSent(attempt, now);
        }

        void advance(int ms) {
            long to = now + ms;
            while (lifecycle.nextDueMs() <= to) {
                now = Math.max(now, lifecycle.nextDueMs());
                lifecycle.tick(now);
                assertTrue(lifecycle.nextDueMs() > now || lifecycle.isOver(), "time stands still");
            }
            now = to;
        }

        void disconnectClient() {
            if (responses == 0) {
                clientGone = true;
                lifecycle.onClientGone(now);
            }
        }
    }

    @Test
    void theRulesHoldForRandomEvents() {
        int answered = 0;
        int claimed = 0;
        int repeats = 0;
        for (long seed = 1; seed <= RUNS; seed++) {
            Environment world = new Environment(seed);
            try {
                run(world);
            } catch (AssertionError | RuntimeException e) {
                throw new AssertionError("seed " + seed + ": " + e.getMessage(), e);
            }
            answered += world.responses;
            claimed += world.preparation.endedClaims;
            repeats += world.preparation.isRepeatAnswered ? 1 : 0;
        }
        assertTrue(answered > RUNS / 2, "walks end with an answer");
        assertTrue(claimed > RUNS / 20, "walks claim their operation: " + claimed);
        assertTrue(repeats > RUNS / 100, "walks are repeats: " + repeats);
    }

    private static void run(Environment world) {
        world.lifecycle.start(world.now);
        world.preparation.endIfOver();
        for (int step = 0; step < STEPS_PER_RUN && !world.lifecycle.isOver(); step++) {
            switch (world.random.nextInt(12)) {
                case 0, 1, 2 -> {
                    world.preparation.step();
                    world.answerSlotRequest();
                }
                case 3, 4, 5, 6 -> world.hostEvent();
                case 7 -> {
                    world.lateGrant();
                    world.duplicateGrant();
                }
                case 8 -> {
                    if (world.random.nextInt(6) == 0) {
                        world.disconnectClient();
                    }
                }
                default -> world.advance(world.random.nextInt(60));
            }
            world.preparation.endIfOver();
        }
        world.advance(2_000);
        while (!world.cancelledRequests.isEmpty()) {
            world.lateGrant();
        }
        assertTrue(world.lifecycle.isOver(), "it ends");
        assertEquals(world.clientGone ? 0 : 1, world.responses, "one answer, unless nobody waits");
        assertTrue(world.respondedAtMs <= world.plan.deadlineMs(), "in time");
        assertEquals(world.streamingStarted, world.streamingEnded, "what flows ends");
        world.preparation.endIfOver();
        world.preparation.assertNothingLeft();
        assertTrue(world.heldSlots.isEmpty() && world.activeAttempts.isEmpty() && world.slotRequests.isEmpty(), "nothing is left over");
    }
}
