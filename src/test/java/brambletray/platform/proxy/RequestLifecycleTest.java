package brambletray.platform.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brambletray.platform.admission.AttemptOutcome;
import brambletray.platform.admission.SlotGrant;
import brambletray.platform.admission.SlotOwner;
import brambletray.platform.admission.SlotRequest;
import brambletray.platform.configuration.Tenant;
import brambletray.platform.operations.OperationIdentity;
import brambletray.platform.operations.OperationKey;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Drives a request with random events and checks the rules at each step. A failure message names the seed. */
class RequestLifecycleTest {
    private static final int RUNS = 30_000;
    private static final int STEPS_PER_RUN = 60;
    private static final Tenant LIMITED = new Tenant("t", List.of(), 1, 10, 5);
    private static final Tenant UNLIMITED = new Tenant("u", List.of(), 1, 0, 0);

    /** Environment of one run: the broker, the instances and the client. */
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
                    keyed ? OperationIdentity.withoutCredential(OperationKey.of("t", "k")) : null,
                    random.nextBoolean(),
                    now + 1 + random.nextInt(600));
            preparation = new ScriptedPreparation(this);
            lifecycle = new RequestLifecycle(
                    plan, this, () -> 1 + random.nextInt(200), () -> ++lastRequestId, "e", "z", now);
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
            assertTrue(mayHaveRun == 0 && sentTo.isEmpty(), "a repeat that was sent to an instance");
            recordResponse();
        }

        @Override
        public void requestSlot(SlotRequest request) {
            assertTrue(slotRequests.isEmpty(), "more than one slot request at a time");
            preparation.assertPrepared();
            assertTrue(
                    !request.hedge() || plan.idempotent() && !activeAttempts.isEmpty(),
                    "hedged without an active attempt, or not repeatable");
            assertEquals(!sentTo.isEmpty(), request.retry(), "retry flag: whether it was sent to an instance");
            assertTrue(request.remainingMs() > 0, "no time left for the request");
            slotRequests.add(request);
            if (random.nextInt(4) == 0) {
                answerSlotRequest();
            }
        }

        @Override
        public void cancelSlotRequest(long requestId) {
            if (slotRequests.removeIf(request -> request.id() == requestId && cancelledRequests.add(request))) {
                return;
            }
            assertTrue(heldSlots.remove(requestId), "slot released twice or never held");
        }

        @Override
        public void sendToInstance(Attempt attempt, long hostDeadlineMs) {
            assertTrue(
                    hostDeadlineMs < plan.deadlineMs() && activeAttempts.size() < plan.maxInstances(),
                    "sent to more instances than allowed");
            activeAttempts.put(attempt, false);
        }

        @Override
        public void cancel(Attempt attempt) {
            assertTrue(activeAttempts.remove(attempt) != null, "cancelled twice");
            assertTrue(
                    settling || now >= plan.deadlineMs() || !attempt.isSent() || clientGone && plan.idempotent(),
                    "a sent attempt was cancelled without need");
        }

        @Override
        public void releaseSlot(SlotGrant grant, AttemptOutcome outcome, int durationMs) {
            assertTrue(heldSlots.remove(grant.requestId()), "slot released twice or never held");
            assertTrue(durationMs >= 0, "negative duration");
        }

        @Override
        public void recordResponseTime(int ms) {
            assertTrue(ms >= 0, "negative response time");
        }

        private void recordResponse() {
            assertEquals(0, responses++, "more than one response");
            assertTrue(!clientGone, "response to a disconnected client");
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
        public void respond(int status, int retryAfterMs) {
            recordResponse();
            assertTrue(status != 503 || mayHaveRun == 0, "503 although it may have run (rule REFUSED)");
            assertTrue(status != 429 || mayHaveRun == 0, "429 although it may have run (rule REFUSED)");
            if (preparation.expectedStatus != 0) {
                assertEquals(preparation.expectedStatus, status, "status of the rejected preparation or send");
                assertEquals(0, mayHaveRun, "rejected although it may have run");
                return;
            }
            assertTrue(
                    status == 503 || mayHaveRun > 0, "not refused with 503 although it provably never ran: " + status);
        }

        // ---- Random events ----
        void answerSlotRequest() {
            if (slotRequests.isEmpty()) {
                return;
            }
            SlotRequest request = slotRequests.remove(0);
            if (random.nextInt(4) == 0) {
                lifecycle.onRefused(request.id(), random.nextInt(300) - 1, now);
            } else {
                grant(request);
            }
        }

        private void grant(SlotRequest request) {
            heldSlots.add(request.id());
            lifecycle.onGranted(
                    new SlotGrant(request.id(), "h" + ++hostCount, "10.0.0.1:1", random.nextBoolean()), now);
        }

        /** A grant that was in transit when its slot request was cancelled. */
        void lateGrant() {
            if (!cancelledRequests.isEmpty()) {
                grant(cancelledRequests.remove(0));
            }
        }

        /** A duplicate of a grant in use; for another instance if the home edge lost its state. */
        void duplicateGrant() {
            List<Attempt> all = new ArrayList<>(activeAttempts.keySet());
            all.sort(java.util.Comparator.comparing(attempt -> attempt.grant.instanceId()));
            if (!all.isEmpty()) {
                Attempt attempt = all.get(random.nextInt(all.size()));
                int sent = activeAttempts.size();
                String host = random.nextBoolean() ? attempt.grant.instanceId() : "h" + ++hostCount;
                lifecycle.onGranted(new SlotGrant(attempt.grant.requestId(), host, "10.0.0.1:1", false), now);
                assertEquals(sent, activeAttempts.size(), "a duplicate grant was used");
                assertTrue(heldSlots.contains(attempt.grant.requestId()), "a slot in use was released");
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
                    assertTrue(!attempt.active, "sent under an outdated claim (rule TWICE)");
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
            boolean isStreaming = activeAttempts.remove(attempt);
            AttemptOutcome outcome = switch (random.nextInt(5)) {
                case 0 -> isStreaming ? AttemptOutcome.BROKEN : AttemptOutcome.NOT_RUN;
                case 1 -> isStreaming ? AttemptOutcome.BROKEN : AttemptOutcome.WRONG_HOST;
                case 2 -> isStreaming ? AttemptOutcome.SERVED : AttemptOutcome.FAILED;
                case 3 -> AttemptOutcome.BROKEN;
                default -> AttemptOutcome.SERVED;
            };
            mayHaveRun -= outcome == AttemptOutcome.NOT_RUN || outcome == AttemptOutcome.WRONG_HOST ? 1 : 0;
            lostConnections += outcome == AttemptOutcome.BROKEN ? 1 : 0;
            boolean withheld = random.nextBoolean();
            if (!isStreaming && (outcome == AttemptOutcome.SERVED || outcome == AttemptOutcome.FAILED && !withheld)) {
                preparation.onHostAnswer();
            }
            settling = outcome == AttemptOutcome.SERVED;
            lifecycle.onEnded(attempt, outcome, withheld, now);
            settling = false;
        }

        /** The tenant's quota is exceeded when the attempt is sent, or cannot be checked. */
        private void rejectSend(Attempt attempt) {
            activeAttempts.remove(attempt);
            boolean neverRan = mayHaveRun == 0;
            boolean isLast = activeAttempts.isEmpty() && slotRequests.isEmpty();
            int status = random.nextBoolean() ? 429 : 503;
            preparation.expectedStatus = neverRan && isLast ? status : 0;
            lifecycle.onSendRejected(attempt, status, random.nextInt(300) - 1, now);
            assertTrue(!heldSlots.contains(attempt.grant.requestId()), "the slot of an unsent attempt is still held");
            assertTrue(!isLast || lifecycle.isSettled(), "not settled although nothing else is active");
        }

        private void sendFirstByte(Attempt attempt) {
            assertTrue(plan.idempotent() || mayHaveRun == 0, "sent again although it may have run (rule TWICE)");
            assertTrue(
                    sentTo.add(attempt.grant.instanceId()) && sentTo.size() <= plan.maxInstances(),
                    "sent to the same instance again, or to too many");
            preparation.assertPrepared();
            mayHaveRun++;
            lifecycle.onSent(attempt, now);
        }

        void advance(int ms) {
            long to = now + ms;
            while (lifecycle.nextDueMs() <= to) {
                now = Math.max(now, lifecycle.nextDueMs());
                lifecycle.tick(now);
                assertTrue(lifecycle.nextDueMs() > now || lifecycle.isOver(), "the next due time does not advance");
            }
            now = to;
        }

        void disconnectClient() {
            boolean isStreaming = streamingStarted && !streamingEnded;
            if (responses > 0 && !isStreaming) {
                return;
            }
            clientGone = true;
            long sent = activeAttempts.keySet().stream().filter(Attempt::isSent).count();
            lifecycle.onClientGone(now);
            assertTrue(slotRequests.isEmpty(), "a slot request is pending although the client disconnected");
            assertEquals(
                    plan.idempotent() ? 0 : sent, activeAttempts.size(), "attempts left after the client disconnected");
            assertTrue(!plan.idempotent() || lifecycle.isOver(), "a repeatable request outlives its client (GONE)");
        }
    }

    @Test
    void theRulesHoldForRandomEvents() {
        int answered = 0;
        int claimed = 0;
        int repeats = 0;
        for (long seed = 1; seed <= RUNS; seed++) {
            Environment environment = new Environment(seed);
            try {
                run(environment);
            } catch (AssertionError | RuntimeException e) {
                throw new AssertionError("seed " + seed + ": " + e.getMessage(), e);
            }
            answered += environment.responses;
            claimed += environment.preparation.endedClaims;
            repeats += environment.preparation.isRepeatAnswered ? 1 : 0;
        }
        assertTrue(answered > RUNS / 2, "too few runs end with a response: " + answered);
        assertTrue(claimed > RUNS / 20, "too few runs claim their operation: " + claimed);
        assertTrue(repeats > RUNS / 100, "too few runs are repeats: " + repeats);
    }

    private static void run(Environment environment) {
        environment.lifecycle.start(environment.now);
        environment.preparation.endIfOver();
        for (int step = 0; step < STEPS_PER_RUN && !environment.lifecycle.isOver(); step++) {
            switch (environment.random.nextInt(12)) {
                case 0, 1, 2 -> {
                    environment.preparation.step();
                    environment.answerSlotRequest();
                }
                case 3, 4, 5, 6 -> environment.hostEvent();
                case 7 -> {
                    environment.lateGrant();
                    environment.duplicateGrant();
                }
                case 8 -> {
                    if (environment.random.nextInt(6) == 0 && !environment.clientGone) {
                        environment.disconnectClient();
                    }
                }
                default -> environment.advance(environment.random.nextInt(60));
            }
            environment.preparation.endIfOver();
        }
        environment.advance(2_000);
        while (!environment.cancelledRequests.isEmpty()) {
            environment.lateGrant();
        }
        assertTrue(environment.lifecycle.isOver(), "the request did not end");
        assertEquals(
                environment.clientGone && !environment.streamingStarted ? 0 : 1,
                environment.responses,
                "responses to the client");
        assertTrue(environment.respondedAtMs <= environment.plan.deadlineMs(), "responded after the deadline");
        assertEquals(environment.streamingStarted, environment.streamingEnded, "streaming that started must end");
        environment.preparation.endIfOver();
        environment.preparation.assertNothingLeft();
        assertTrue(
                environment.heldSlots.isEmpty()
                        && environment.activeAttempts.isEmpty()
                        && environment.slotRequests.isEmpty(),
                "slots, attempts or slot requests are left");
    }
}
