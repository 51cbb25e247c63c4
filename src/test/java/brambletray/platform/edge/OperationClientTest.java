package brambletray.platform.edge;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brambletray.platform.configuration.KeyDigest;
import brambletray.platform.operations.ClaimGranted;
import brambletray.platform.operations.ClaimHeld;
import brambletray.platform.operations.ClaimId;
import brambletray.platform.operations.ClaimRelease;
import brambletray.platform.operations.ClaimReleased;
import brambletray.platform.operations.ClaimRequest;
import brambletray.platform.operations.ClaimUnavailable;
import brambletray.platform.operations.ClaimWindow;
import brambletray.platform.operations.OperationBatch;
import brambletray.platform.operations.OperationCommand;
import brambletray.platform.operations.OperationIdentity;
import brambletray.platform.operations.OperationKey;
import brambletray.platform.operations.OperationRegistry;
import brambletray.platform.operations.OperationRegistry.Outcome;
import brambletray.platform.operations.OperationState;
import brambletray.platform.operations.ResultResponse;
import brambletray.platform.proxy.OperationClaim;
import brambletray.platform.proxy.OperationGate;
import brambletray.platform.proxy.RecordedAnswer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import org.junit.jupiter.api.Test;

/** Repeated attempts of one operation at several edges, with lost frames, restarts and pauses. Virtual time. */
class OperationClientTest {
    private static final int WINDOW_MS = 60_000;
    private static final int LINK_MS = 2;
    private static final OperationKey KEY = OperationKey.of("t", "k");

    private record Event(long atMs, long number, Runnable action) {}

    private final PriorityQueue<Event> events = new PriorityQueue<>(
            (a, b) -> a.atMs() != b.atMs() ? Long.compare(a.atMs(), b.atMs()) : Long.compare(a.number(), b.number()));
    private final OperationRegistry registry = new OperationRegistry(1, 0);
    private final Map<String, Edge> edges = new HashMap<>();
    private long now;
    private long eventCount;
    private long lastIncarnation;
    private boolean coordinatorUp = true;
    private boolean coordinatorBusy;

    private void after(long ms, Runnable action) {
        events.add(new Event(now + ms, ++eventCount, action));
    }

    private void runUntil(long ms) {
        while (!events.isEmpty() && events.peek().atMs() <= ms) {
            Event next = events.poll();
            now = next.atMs();
            next.action().run();
        }
        now = ms;
    }

    private Edge edge(String name) {
        return edges.computeIfAbsent(name, Edge::new);
    }

    /** An edge process; its attempts have names, under which their outcomes are recorded. */
    private final class Edge implements OperationTransport {
        private final String name;
        private long incarnation = ++lastIncarnation;
        private boolean alive = true;
        /** The earliest requested tick; later ones are not kept. */
        private long tickAtMs = Long.MAX_VALUE;

        private boolean linksUp = true;
        /** Its links to other edges are being established: frames are lost, but no edge counts as unreachable yet. */
        private boolean isConnecting;
        /** Events that arrive while the process is frozen; null while it runs. */
        private List<Runnable> deferredEvents;

        private OperationClient client;
        private final Map<String, OperationGate.Listener> listeners = new HashMap<>();
        private final Map<String, OperationClaim> claims = new HashMap<>();
        private final Map<String, String> outcomes = new HashMap<>();

        Edge(String name) {
            this.name = name;
            client = new OperationClient(incarnation, WINDOW_MS, this, () -> now);
        }

        void claim(String attempt) {
            claim(attempt, KEY);
        }

        void claim(String attempt, OperationKey key) {
            claim(attempt, OperationIdentity.withoutCredential(key));
        }

        void claim(String attempt, OperationIdentity operation) {
            OperationGate.Listener listener = new OperationGate.Listener() {
                @Override
                public void onClaimed(OperationClaim claim) {
                    claims.put(attempt, claim);
                    recordOutcome("claimed");
                }

                @Override
                public void onAnswered(RecordedAnswer answer) {
                    recordOutcome("answered " + new String(answer.body(), StandardCharsets.UTF_8));
                }

                @Override
                public void onUnknown() {
                    recordOutcome("unknown");
                }

                @Override
                public void onUnavailable(int retryAfterMs) {
                    recordOutcome("unavailable " + retryAfterMs);
                }

                private void recordOutcome(String what) {
                    outcomes.merge(attempt, what, (before, next) -> before + ", " + next);
                }
            };
            listeners.put(attempt, listener);
            client.claim(operation, 100, listener);
        }

        OperationGate.Progress cancel(String attempt) {
            return client.cancel(listeners.get(attempt));
        }

        void complete(String attempt, String body) {
            claims.get(attempt).complete(answer(body));
        }

        String outcome(String attempt) {
            return outcomes.getOrDefault(attempt, "nothing");
        }

        /** Freezes the process; its links stay up. */
        void freeze() {
            deferredEvents = new ArrayList<>();
        }

        void resume() {
            List<Runnable> late = deferredEvents;
            deferredEvents = null;
            late.forEach(Runnable::run);
        }

        private void runOrDefer(Runnable event) {
            if (deferredEvents != null) {
                deferredEvents.add(event);
            } else if (alive) {
                event.run();
            }
        }

        void kill() {
            alive = false;
        }

        void restart() {
            alive = true;
            tickAtMs = Long.MAX_VALUE;
            incarnation = ++lastIncarnation;
            client = new OperationClient(incarnation, WINDOW_MS, this, () -> now);
            client.onAttached();
        }

        @Override
        public String self() {
            return name;
        }

        @Override
        public boolean sendToCoordinator(Object frame) {
            if (coordinatorUp) {
                after(LINK_MS, () -> coordinate(this, frame));
            }
            return coordinatorUp;
        }

        @Override
        public boolean isReachable(String other, long ofIncarnation) {
            return edge(other).alive && edge(other).incarnation == ofIncarnation && edge(other).linksUp;
        }

        @Override
        public void sendToEdge(String other, Object frame) {
            deliver(edge(other), frame);
        }

        @Override
        public void respondToEdge(String other, ResultResponse response) {
            deliver(edge(other), response);
        }

        private void deliver(Edge to, Object frame) {
            if (to.linksUp && linksUp && !to.isConnecting && !isConnecting) {
                after(LINK_MS, () -> to.runOrDefer(() -> to.client.onEdgeFrame(name, frame)));
            }
        }

        @Override
        public void scheduleTick(long atMs) {
            if (atMs >= tickAtMs) {
                return;
            }
            tickAtMs = atMs;
            OperationClient ticked = client;
            after(
                    Math.max(1, atMs - now),
                    () -> runOrDefer(() -> {
                        if (client == ticked && tickAtMs == atMs) {
                            tickAtMs = Long.MAX_VALUE;
                            client.tick();
                        }
                    }));
        }
    }

    private static RecordedAnswer answer(String body) {
        return new RecordedAnswer(
                200, "OK", List.of("Brambletray-Response-Seal", "s"), body.getBytes(StandardCharsets.UTF_8));
    }

    /** A coordinator that applies one command per batch. */
    private void coordinate(Edge edge, Object frame) {
        if (!coordinatorUp) {
            return;
        }
        if (frame instanceof ClaimRequest request && coordinatorBusy) {
            answer(edge, new ClaimUnavailable(request.claim(), 300));
        } else if (frame instanceof ClaimRequest request) {
            Outcome outcome = apply(new OperationCommand.Claim(
                    request.claim(), request.operation().names(), edge.name));
            answer(
                    edge,
                    outcome.holder().id().equals(request.claim())
                            ? new ClaimGranted(request.claim())
                            : new ClaimHeld(
                                    request.claim(),
                                    outcome.holder().id(),
                                    outcome.holder().edge()));
        } else if (frame instanceof ClaimRelease release) {
            apply(new OperationCommand.Release(release.claim(), release.key()));
            answer(edge, new ClaimReleased(release.claim()));
        }
    }

    private Outcome apply(OperationCommand command) {
        return registry.apply(new OperationBatch(registry.stamp(now), WINDOW_MS, List.of(command)), now)
                .get(0);
    }

    private void answer(Edge edge, Object frame) {
        after(LINK_MS, () -> {
            if (coordinatorUp) {
                edge.runOrDefer(() -> edge.client.onCoordinatorFrame(frame));
            }
        });
    }

    // ---- Timelines --------------------------------------------------------------------------------
    @Test
    void repeatsAtTheSameEdgeReceiveTheFirstAnswer() {
        Edge a = edge("a");
        a.claim("r1");
        runUntil(10);
        assertEquals("claimed", a.outcome("r1"));
        a.claim("r2");
        runUntil(200);
        assertEquals("nothing", a.outcome("r2"));
        a.complete("r1", "first");
        assertEquals("answered first", a.outcome("r2"));
        a.claim("r3");
        assertEquals("answered first", a.outcome("r3"));
    }

    /** Guards against a second run where the credential's tenant has changed between two attempts. */
    @Test
    void repeatWithTheSameCredentialOfAnotherTenantReceivesTheFirstAnswer() {
        OperationIdentity first = OperationIdentity.of("household", KeyDigest.of("secret"), "k");
        OperationIdentity passedOn = OperationIdentity.of("village", KeyDigest.of("secret"), "k");
        Edge a = edge("a");
        a.claim("r1", first);
        runUntil(10);
        a.claim("r2", passedOn);
        edge("b").claim("r3", passedOn);
        runUntil(100);
        assertEquals("nothing", a.outcome("r2"));
        a.complete("r1", "first");
        runUntil(200);
        assertEquals("answered first", a.outcome("r2"));
        assertEquals("answered first", edge("b").outcome("r3"));
    }

    @Test
    void attemptsWithDifferentCredentialsOfOneTenantAreOneOperation() {
        Edge a = edge("a");
        a.claim("r1", OperationIdentity.of("village", KeyDigest.of("one"), "k"));
        runUntil(10);
        a.claim("r2", OperationIdentity.of("village", KeyDigest.of("two"), "k"));
        edge("b").claim("r3", OperationIdentity.of("village", KeyDigest.of("two"), "k"));
        edge("b").claim("r4", OperationIdentity.of("household", KeyDigest.of("two"), "k"));
        runUntil(100);
        a.complete("r1", "first");
        runUntil(200);
        assertEquals("answered first", a.outcome("r2"));
        assertEquals("answered first", edge("b").outcome("r3"));
        assertEquals("claimed", edge("b").outcome("r4"));
    }

    /**
     * Guards against another operation's answer: the former process of b has asked under the same query id.
     *
     * <pre>
     *   ms    a                     b
     *    0    r1 of k, r2 of other
     *   20                          r3 of k: asks a
     *   50                          restarts
     *   60                          r4 of other: asks a
     *  200    r1 is answered
     *  300    r2 is answered
     * </pre>
     */
    @Test
    void restartedEdgeDoesNotTakeTheAnswerToAQueryOfItsFormerProcess() {
        OperationKey other = OperationKey.of("t", "other");
        Edge a = edge("a");
        Edge b = edge("b");
        a.claim("r1");
        a.claim("r2", other);
        runUntil(20);
        b.claim("r3");
        runUntil(50);
        b.restart();
        runUntil(60);
        b.claim("r4", other);
        runUntil(200);
        a.complete("r1", "first");
        runUntil(300);
        assertEquals("nothing", b.outcome("r4"));
        a.complete("r2", "second");
        runUntil(400);
        assertEquals("answered second", b.outcome("r4"));
    }

    @Test
    void claimIsNotUsableAfterTheSendDeadline() {
        Edge a = edge("a");
        a.claim("r1");
        runUntil(ClaimWindow.MAX_SEND_DELAY_MS - 1);
        assertTrue(a.claims.get("r1").isUsable());
        runUntil(ClaimWindow.MAX_SEND_DELAY_MS);
        assertFalse(a.claims.get("r1").isUsable());
    }

    @Test
    void concurrentAttemptsRunOnce() {
        Edge a = edge("a");
        a.claim("r1");
        a.claim("r2");
        edge("b").claim("r3");
        runUntil(20);
        assertEquals(
                "claimed nothing nothing",
                a.outcome("r1") + " " + a.outcome("r2") + " " + edge("b").outcome("r3"));
        a.complete("r1", "first");
        runUntil(30);
        assertEquals("answered first", a.outcome("r2"));
        assertEquals("answered first", edge("b").outcome("r3"));
    }

    @Test
    void repeatAtAnotherEdgeReceivesTheFirstAnswer() {
        edge("a").claim("r1");
        runUntil(10);
        Edge b = edge("b");
        b.claim("r2");
        runUntil(300);
        assertEquals("nothing", b.outcome("r2"));
        edge("a").complete("r1", "first");
        runUntil(310);
        assertEquals("answered first", b.outcome("r2"));
        b.claim("r3");
        runUntil(330);
        assertEquals("answered first", b.outcome("r3"));
    }

    @Test
    void firstAttemptWithoutAClaimIsNotInProgress() {
        coordinatorUp = false;
        Edge a = edge("a");
        a.claim("r1");
        a.claim("r2");
        runUntil(50);
        assertEquals(OperationGate.Progress.NOT_CLAIMED, a.cancel("r2"));
    }

    @Test
    void cancelledRepeatReportsThatTheFirstAttemptIsInProgress() {
        edge("a").claim("r1");
        runUntil(10);
        edge("a").claim("r2");
        edge("b").claim("r3");
        runUntil(500);
        assertEquals(OperationGate.Progress.IN_PROGRESS, edge("a").cancel("r2"));
        assertEquals(OperationGate.Progress.IN_PROGRESS, edge("b").cancel("r3"));
        edge("a").complete("r1", "first");
        runUntil(600);
        assertEquals(
                "nothing nothing", edge("a").outcome("r2") + " " + edge("b").outcome("r3"));
    }

    @Test
    void releasedOperationRunsAtAnotherEdge() {
        edge("a").claim("r1");
        runUntil(10);
        edge("b").claim("r2");
        runUntil(50);
        edge("a").claims.get("r1").release();
        runUntil(120);
        assertEquals("claimed", edge("b").outcome("r2"));
    }

    @Test
    void abandonedOperationIsUnknownAtAllEdges() {
        edge("a").claim("r1");
        runUntil(10);
        edge("b").claim("r2");
        runUntil(50);
        edge("a").claims.get("r1").abandon();
        edge("a").claim("r3");
        runUntil(60);
        assertEquals(
                "unknown unknown", edge("b").outcome("r2") + " " + edge("a").outcome("r3"));
    }

    @Test
    void operationsOfARestartedEdgeAreUnknown() {
        edge("a").claim("r1");
        runUntil(10);
        edge("b").claim("r2");
        runUntil(30);
        edge("a").kill();
        runUntil(100);
        assertEquals("unknown", edge("b").outcome("r2"));
        edge("a").restart();
        edge("a").claim("r3");
        edge("b").claim("r4");
        runUntil(120);
        assertEquals(
                "unknown unknown", edge("a").outcome("r3") + " " + edge("b").outcome("r4"));
    }

    @Test
    void cancelledClaimIsReleased() {
        edge("a").claim("r1");
        assertEquals(OperationGate.Progress.NOT_CLAIMED, edge("a").cancel("r1"));
        runUntil(20);
        assertEquals("nothing", edge("a").outcome("r1"));
        edge("b").claim("r2");
        runUntil(40);
        assertEquals("claimed", edge("b").outcome("r2"));
    }

    @Test
    void claimWithoutACoordinatorIsRefusedAtItsDeadline() {
        coordinatorUp = false;
        edge("a").claim("r1");
        runUntil(99);
        assertEquals("nothing", edge("a").outcome("r1"));
        runUntil(101);
        assertEquals("unavailable 800", edge("a").outcome("r1"));
    }

    @Test
    void unansweredFramesAreResentToTheNextCoordinator() {
        Edge a = edge("a");
        a.claim("r1");
        coordinatorUp = false;
        runUntil(50);
        coordinatorUp = true;
        a.client.onAttached();
        runUntil(60);
        assertEquals("claimed", a.outcome("r1"));
        coordinatorUp = false;
        a.claims.get("r1").release();
        runUntil(80);
        coordinatorUp = true;
        a.client.onAttached();
        runUntil(90);
        edge("b").claim("r2");
        runUntil(100);
        assertEquals("claimed", edge("b").outcome("r2"));
    }

    @Test
    void claimThatCannotBeCommittedIsRefusedAndReleased() {
        coordinatorBusy = true;
        edge("a").claim("r1");
        runUntil(20);
        assertEquals("unavailable 300", edge("a").outcome("r1"));
        coordinatorBusy = false;
        edge("a").claim("r2");
        runUntil(40);
        assertEquals("claimed", edge("a").outcome("r2"));
    }

    @Test
    void keyIsFreeAfterItsWindowAndNotBefore() {
        edge("a").claim("r1");
        runUntil(10);
        edge("a").complete("r1", "first");
        runUntil(WINDOW_MS - 100);
        edge("b").claim("r2");
        edge("a").claim("r3");
        runUntil(WINDOW_MS - 50);
        assertEquals("answered first", edge("b").outcome("r2"));
        assertEquals("answered first", edge("a").outcome("r3"));
        runUntil(WINDOW_MS + 100);
        edge("a").claim("r4");
        runUntil(WINDOW_MS + 200);
        assertEquals("claimed", edge("a").outcome("r4"));
    }

    @Test
    void queryIsRepeatedAfterABrokenLink() {
        edge("a").claim("r1");
        runUntil(10);
        edge("b").claim("r2");
        runUntil(30);
        List<String> outcomes = new ArrayList<>();
        edge("b").linksUp = false;
        edge("a").complete("r1", "first");
        runUntil(40);
        outcomes.add(edge("b").outcome("r2"));
        edge("b").linksUp = true;
        edge("b").client.onLinkUp("a");
        runUntil(50);
        outcomes.add(edge("b").outcome("r2"));
        assertEquals(List.of("nothing", "answered first"), outcomes);
    }

    // ---- Frozen holders, links being established, evicted answers ------------------------------------
    @Test
    void progressIsUnknownWhileTheHolderIsFrozen() {
        edge("a").claim("r1");
        runUntil(10);
        edge("a").freeze();
        edge("b").claim("r2");
        edge("b").claim("r3");
        runUntil(600);
        assertEquals("nothing", edge("b").outcome("r2"));
        assertEquals(OperationGate.Progress.UNKNOWN, edge("b").cancel("r2"));
        edge("a").resume();
        runUntil(620);
        edge("a").complete("r1", "first");
        runUntil(630);
        assertEquals(
                "nothing answered first",
                edge("b").outcome("r2") + " " + edge("b").outcome("r3"));
    }

    @Test
    void claimIsNotUsableAfterALongFreeze() {
        edge("a").claim("r1");
        runUntil(10);
        assertTrue(edge("a").claims.get("r1").isUsable());
        edge("a").freeze();
        runUntil(WINDOW_MS);
        edge("a").resume();
        assertFalse(edge("a").claims.get("r1").isUsable());
    }

    @Test
    void grantReadAfterAFreezeIsAsOldAsItsRequest() {
        edge("a").claim("r1");
        edge("a").freeze();
        runUntil(WINDOW_MS);
        edge("a").resume();
        OperationClaim late = edge("a").claims.get("r1");
        assertTrue(late == null || !late.isUsable());
    }

    @Test
    void evictedAnswerIsUnknownAtAllEdges() {
        Edge a = edge("a");
        a.claim("r1");
        runUntil(10);
        a.complete("r1", "first");
        for (int i = 0; i < 80; i++) {
            a.claim("more" + i, OperationKey.of("t", "more" + i));
        }
        runUntil(20);
        for (int i = 0; i < 80; i++) {
            a.complete("more" + i, "x".repeat(250_000));
        }
        a.claim("r2");
        edge("b").claim("r3");
        runUntil(40);
        assertEquals("unknown unknown", a.outcome("r2") + " " + edge("b").outcome("r3"));
        a.claim("r4", OperationKey.of("t", "more79"));
        assertEquals("answered x", a.outcome("r4").substring(0, 10));
    }

    @Test
    void removedResultIsUnknown() {
        Edge a = edge("a");
        a.claim("r1");
        runUntil(10);
        a.complete("r1", "first");
        edge("b").claim("r2");
        edge("b").isConnecting = true;
        runUntil(WINDOW_MS + 20_000);
        a.client.removeExpired();
        edge("b").isConnecting = false;
        edge("b").client.onLinkUp("a");
        runUntil(WINDOW_MS + 20_100);
        assertEquals("unknown", edge("b").outcome("r2"));
    }

    @Test
    void queriesAreResentWhenTheLinkIsUp() {
        edge("a").claim("r1");
        runUntil(10);
        Edge b = edge("b");
        b.isConnecting = true;
        b.claim("r2");
        b.claim("r3");
        runUntil(200);
        assertEquals("nothing", b.outcome("r2"));
        assertEquals(OperationGate.Progress.UNKNOWN, b.cancel("r3"));
        b.isConnecting = false;
        b.client.onLinkUp("a");
        runUntil(210);
        edge("a").complete("r1", "first");
        runUntil(220);
        assertEquals("answered first nothing", b.outcome("r2") + " " + b.outcome("r3"));
    }

    @Test
    void eachOperationHasItsOwnAnswer() {
        OperationKey other = OperationKey.of("t", "other");
        edge("a").claim("r1");
        edge("a").claim("r2", other);
        runUntil(10);
        assertEquals(
                "claimed claimed", edge("a").outcome("r1") + " " + edge("a").outcome("r2"));
        edge("a").complete("r1", "first");
        edge("a").complete("r2", "second");
        edge("b").claim("r3");
        edge("b").claim("r4", other);
        edge("a").claim("r5");
        edge("a").claim("r6", other);
        runUntil(30);
        assertEquals("answered first", edge("b").outcome("r3"));
        assertEquals("answered second", edge("b").outcome("r4"));
        assertEquals("answered first", edge("a").outcome("r5"));
        assertEquals("answered second", edge("a").outcome("r6"));
    }

    @Test
    void responsesOfOtherEdgesAreIgnored() {
        edge("a").claim("r1");
        runUntil(10);
        edge("b").claim("r2");
        runUntil(20);
        ClaimId holder = new ClaimId(edge("a").incarnation, 1);
        for (long queryId = 0; queryId < 10; queryId++) {
            byte[] forged = "forged".getBytes(StandardCharsets.UTF_8);
            edge("b")
                    .client
                    .onEdgeFrame(
                            "c",
                            new ResultResponse(queryId, holder, OperationState.DONE, 200, "OK", List.of(), forged));
        }
        edge("a").complete("r1", "first");
        runUntil(30);
        assertEquals("answered first", edge("b").outcome("r2"));
    }
}
