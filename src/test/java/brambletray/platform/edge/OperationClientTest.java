package brambletray.platform.edge;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brambletray.platform.operations.ClaimGranted;
import brambletray.platform.operations.ClaimHeld;
import brambletray.platform.operations.ClaimRelease;
import brambletray.platform.operations.ClaimReleased;
import brambletray.platform.operations.ClaimRequest;
import brambletray.platform.operations.ClaimUnavailable;
import brambletray.platform.operations.ClaimWindow;
import brambletray.platform.operations.OperationBatch;
import brambletray.platform.operations.OperationCommand;
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

/** Edges and a coordinator in virtual time: repeats of one operation here and at other edges, through losses. */
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

    private void until(long ms) {
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

    /** One edge process; requests here are named, and what they hear is noted under their name. */
    private final class Edge implements OperationTransport {
        private final String name;
        private long incarnation = ++lastIncarnation;
        private boolean alive = true;
        /** The earliest tick that was asked for: no other is remembered. */
        private long tickAtMs = Long.MAX_VALUE;

        private boolean linksUp = true;
        /** Its links to other edges are being made: frames are lost, and nobody is unreachable yet. */
        private boolean linksAreMade;
        /** What comes while it stands still; null while it runs. */
        private List<Runnable> missed;

        private OperationClient client;
        private final Map<String, OperationGate.Listener> listeners = new HashMap<>();
        private final Map<String, OperationClaim> claims = new HashMap<>();
        private final Map<String, String> heard = new HashMap<>();

        Edge(String name) {
            this.name = name;
            client = new OperationClient(incarnation, WINDOW_MS, this, () -> now);
        }

        void claim(String attempt) {
            claim(attempt, KEY);
        }

        void claim(String attempt, OperationKey key) {
            OperationGate.Listener listener = new OperationGate.Listener() {
                @Override
                public void onClaimed(OperationClaim claim) {
                    claims.put(attempt, claim);
                    hears("claimed");
                }

                @Override
                public void onAnswered(RecordedAnswer answer) {
                    hears("answered " + new String(answer.body(), StandardCharsets.UTF_8));
                }

                @Override
                public void onUnknown() {
                    hears("unknown");
                }

                @Override
                public void onUnavailable(int retryAfterMs) {
                    hears("unavailable " + retryAfterMs);
                }

                private void hears(String what) {
                    heard.merge(attempt, what, (before, next) -> before + ", " + next);
                }
            };
            listeners.put(attempt, listener);
            client.claim(key, 100, listener);
        }

        OperationGate.Progress cancel(String attempt) {
            return client.cancel(listeners.get(attempt));
        }

        void completes(String attempt, String body) {
            claims.get(attempt).complete(answer(body));
        }

        String hears(String attempt) {
            return heard.getOrDefault(attempt, "nothing");
        }

        /** The process stands still; its links stay up. */
        void freezes() {
            missed = new ArrayList<>();
        }

        void thaws() {
            List<Runnable> late = missed;
            missed = null;
            late.forEach(Runnable::run);
        }

        private void happens(Runnable event) {
            if (missed != null) {
                missed.add(event);
            } else if (alive) {
                event.run();
            }
        }

        void dies() {
            alive = false;
        }

        void restarts() {
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
            if (to.linksUp && linksUp && !to.linksAreMade && !linksAreMade) {
                after(LINK_MS, () -> to.happens(() -> to.client.onEdgeFrame(name, frame)));
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
                    () -> happens(() -> {
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

    /** A coordinator whose batches are one command each. */
    private void coordinate(Edge edge, Object frame) {
        if (!coordinatorUp) {
            return;
        }
        if (frame instanceof ClaimRequest request && coordinatorBusy) {
            answer(edge, new ClaimUnavailable(request.claim(), 300));
        } else if (frame instanceof ClaimRequest request) {
            Outcome outcome = apply(new OperationCommand.Claim(request.claim(), request.key(), edge.name));
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
                edge.happens(() -> edge.client.onCoordinatorFrame(frame));
            }
        });
    }

    // ---- Timelines --------------------------------------------------------------------------------
    @Test
    void repeatsAtTheSameEdgeWaitForTheFirstOneAndHaveItsAnswer() {
        Edge a = edge("a");
        a.claim("r1");
        until(10);
        assertEquals("claimed", a.hears("r1"));
        a.claim("r2");
        until(200);
        assertEquals("nothing", a.hears("r2"));
        a.completes("r1", "first");
        assertEquals("answered first", a.hears("r2"));
        a.claim("r3");
        assertEquals("answered first", a.hears("r3"));
    }

    @Test
    void aClaimIsNotUsedLaterThanItsWindowAtTheCoreCovers() {
        Edge a = edge("a");
        a.claim("r1");
        until(ClaimWindow.MAX_SEND_DELAY_MS - 1);
        assertTrue(a.claims.get("r1").isUsable());
        until(ClaimWindow.MAX_SEND_DELAY_MS);
        assertFalse(a.claims.get("r1").isUsable());
    }

    @Test
    void twoAttemptsInTheSameMomentAreOne() {
        Edge a = edge("a");
        a.claim("r1");
        a.claim("r2");
        edge("b").claim("r3");
        until(20);
        assertEquals(
                "claimed nothing nothing",
                a.hears("r1") + " " + a.hears("r2") + " " + edge("b").hears("r3"));
        a.completes("r1", "first");
        until(30);
        assertEquals("answered first", a.hears("r2"));
        assertEquals("answered first", edge("b").hears("r3"));
    }

    @Test
    void aRepeatAtAnotherEdgeWaitsForTheFirstOne() {
        edge("a").claim("r1");
        until(10);
        Edge b = edge("b");
        b.claim("r2");
        until(300);
        assertEquals("nothing", b.hears("r2"));
        edge("a").completes("r1", "first");
        until(310);
        assertEquals("answered first", b.hears("r2"));
        b.claim("r3");
        until(330);
        assertEquals("answered first", b.hears("r3"));
    }

    @Test
    void aFirstOneThatHasNoClaimYetIsNotInWork() {
        coordinatorUp = false;
        Edge a = edge("a");
        a.claim("r1");
        a.claim("r2");
        until(50);
        assertEquals(OperationGate.Progress.NOT_CLAIMED, a.cancel("r2"));
    }

    @Test
    void atTheEndOfItsTimeARepeatKnowsThatTheFirstOneIsInWork() {
        edge("a").claim("r1");
        until(10);
        edge("a").claim("r2");
        edge("b").claim("r3");
        until(500);
        assertEquals(OperationGate.Progress.IN_WORK, edge("a").cancel("r2"));
        assertEquals(OperationGate.Progress.IN_WORK, edge("b").cancel("r3"));
        edge("a").completes("r1", "first");
        until(600);
        assertEquals("nothing nothing", edge("a").hears("r2") + " " + edge("b").hears("r3"));
    }

    @Test
    void whatHasNotRunIsReleasedAndRunsAtAnotherEdge() {
        edge("a").claim("r1");
        until(10);
        edge("b").claim("r2");
        until(50);
        edge("a").claims.get("r1").release();
        until(120);
        assertEquals("claimed", edge("b").hears("r2"));
    }

    @Test
    void whatMayHaveRunIsUnknownEverywhere() {
        edge("a").claim("r1");
        until(10);
        edge("b").claim("r2");
        until(50);
        edge("a").claims.get("r1").abandon();
        edge("a").claim("r3");
        until(60);
        assertEquals("unknown unknown", edge("b").hears("r2") + " " + edge("a").hears("r3"));
    }

    @Test
    void theEndOfAnEdgeLeavesItsOperationsUnknown() {
        edge("a").claim("r1");
        until(10);
        edge("b").claim("r2");
        until(30);
        edge("a").dies();
        until(100);
        assertEquals("unknown", edge("b").hears("r2"));
        edge("a").restarts();
        edge("a").claim("r3");
        edge("b").claim("r4");
        until(120);
        assertEquals("unknown unknown", edge("a").hears("r3") + " " + edge("b").hears("r4"));
    }

    @Test
    void aClaimWhoseClientGaveUpIsReleased() {
        edge("a").claim("r1");
        assertEquals(OperationGate.Progress.NOT_CLAIMED, edge("a").cancel("r1"));
        until(20);
        assertEquals("nothing", edge("a").hears("r1"));
        edge("b").claim("r2");
        until(40);
        assertEquals("claimed", edge("b").hears("r2"));
    }

    @Test
    void withoutACoordinatorAClaimIsRefusedInTime() {
        coordinatorUp = false;
        edge("a").claim("r1");
        until(99);
        assertEquals("nothing", edge("a").hears("r1"));
        until(101);
        assertEquals("unavailable 800", edge("a").hears("r1"));
    }

    @Test
    void theNextCoordinatorHearsWhatTheFormerHasNotAnswered() {
        Edge a = edge("a");
        a.claim("r1");
        coordinatorUp = false;
        until(50);
        coordinatorUp = true;
        a.client.onAttached();
        until(60);
        assertEquals("claimed", a.hears("r1"));
        coordinatorUp = false;
        a.claims.get("r1").release();
        until(80);
        coordinatorUp = true;
        a.client.onAttached();
        until(90);
        edge("b").claim("r2");
        until(100);
        assertEquals("claimed", edge("b").hears("r2"));
    }

    @Test
    void aClaimThatCannotBeCommittedIsRefusedAndReleased() {
        coordinatorBusy = true;
        edge("a").claim("r1");
        until(20);
        assertEquals("unavailable 300", edge("a").hears("r1"));
        coordinatorBusy = false;
        edge("a").claim("r2");
        until(40);
        assertEquals("claimed", edge("a").hears("r2"));
    }

    @Test
    void aKeyIsFreeAfterItsWindowAndNotBefore() {
        edge("a").claim("r1");
        until(10);
        edge("a").completes("r1", "first");
        until(WINDOW_MS - 100);
        edge("b").claim("r2");
        edge("a").claim("r3");
        until(WINDOW_MS - 50);
        assertEquals("answered first", edge("b").hears("r2"));
        assertEquals("answered first", edge("a").hears("r3"));
        until(WINDOW_MS + 100);
        edge("a").claim("r4");
        until(WINDOW_MS + 200);
        assertEquals("claimed", edge("a").hears("r4"));
    }

    @Test
    void anAnswerThatWasLostOnABrokenLinkComesAgain() {
        edge("a").claim("r1");
        until(10);
        edge("b").claim("r2");
        until(30);
        List<String> heard = new ArrayList<>();
        edge("b").linksUp = false;
        edge("a").completes("r1", "first");
        until(40);
        heard.add(edge("b").hears("r2"));
        edge("b").linksUp = true;
        edge("b").client.onLinkUp("a");
        until(50);
        heard.add(edge("b").hears("r2"));
        assertEquals(List.of("nothing", "answered first"), heard);
    }

    // ---- Holders that stand still, links that are made, answers that are dropped ----------------------
    @Test
    void aHolderThatStandsStillIsWaitedForAndNobodyCanTell() {
        edge("a").claim("r1");
        until(10);
        edge("a").freezes();
        edge("b").claim("r2");
        edge("b").claim("r3");
        until(600);
        assertEquals("nothing", edge("b").hears("r2"));
        assertEquals(OperationGate.Progress.UNKNOWN, edge("b").cancel("r2"));
        edge("a").thaws();
        until(620);
        edge("a").completes("r1", "first");
        until(630);
        assertEquals(
                "nothing answered first",
                edge("b").hears("r2") + " " + edge("b").hears("r3"));
    }

    @Test
    void aClaimOfAnEdgeThatStoodStillIsNotUsedLate() {
        edge("a").claim("r1");
        until(10);
        assertTrue(edge("a").claims.get("r1").isUsable());
        edge("a").freezes();
        until(WINDOW_MS);
        edge("a").thaws();
        assertFalse(edge("a").claims.get("r1").isUsable());
    }

    @Test
    void aGrantThatCameWhileTheEdgeStoodStillIsAsOldAsItsRequest() {
        edge("a").claim("r1");
        edge("a").freezes();
        until(WINDOW_MS);
        edge("a").thaws();
        OperationClaim late = edge("a").claims.get("r1");
        assertTrue(late == null || !late.isUsable());
    }

    @Test
    void anAnswerThatWasDroppedIsUnknownEverywhere() {
        Edge a = edge("a");
        a.claim("r1");
        until(10);
        a.completes("r1", "first");
        for (int i = 0; i < 80; i++) {
            a.claim("more" + i, OperationKey.of("t", "more" + i));
        }
        until(20);
        for (int i = 0; i < 80; i++) {
            a.completes("more" + i, "x".repeat(250_000));
        }
        a.claim("r2");
        edge("b").claim("r3");
        until(40);
        assertEquals("unknown unknown", a.hears("r2") + " " + edge("b").hears("r3"));
        a.claim("r4", OperationKey.of("t", "more79"));
        assertEquals("answered x", a.hears("r4").substring(0, 10));
    }

    @Test
    void whatIsForgottenIsUnknown() {
        Edge a = edge("a");
        a.claim("r1");
        until(10);
        a.completes("r1", "first");
        edge("b").claim("r2");
        edge("b").linksAreMade = true;
        until(WINDOW_MS + 20_000);
        a.client.forgetOld();
        edge("b").linksAreMade = false;
        edge("b").client.onLinkUp("a");
        until(WINDOW_MS + 20_100);
        assertEquals("unknown", edge("b").hears("r2"));
    }

    @Test
    void queriesWaitUntilTheLinkIsUp() {
        edge("a").claim("r1");
        until(10);
        Edge b = edge("b");
        b.linksAreMade = true;
        b.claim("r2");
        b.claim("r3");
        until(200);
        assertEquals("nothing", b.hears("r2"));
        assertEquals(OperationGate.Progress.UNKNOWN, b.cancel("r3"));
        b.linksAreMade = false;
        b.client.onLinkUp("a");
        until(210);
        edge("a").completes("r1", "first");
        until(220);
        assertEquals("answered first nothing", b.hears("r2") + " " + b.hears("r3"));
    }

    @Test
    void eachOperationHasItsOwnAnswer() {
        OperationKey other = OperationKey.of("t", "other");
        edge("a").claim("r1");
        edge("a").claim("r2", other);
        until(10);
        assertEquals("claimed claimed", edge("a").hears("r1") + " " + edge("a").hears("r2"));
        edge("a").completes("r1", "first");
        edge("a").completes("r2", "second");
        edge("b").claim("r3");
        edge("b").claim("r4", other);
        edge("a").claim("r5");
        edge("a").claim("r6", other);
        until(30);
        assertEquals("answered first", edge("b").hears("r3"));
        assertEquals("answered second", edge("b").hears("r4"));
        assertEquals("answered first", edge("a").hears("r5"));
        assertEquals("answered second", edge("a").hears("r6"));
    }

    @Test
    void onlyTheEdgeThatWasAskedAnswers() {
        edge("a").claim("r1");
        until(10);
        edge("b").claim("r2");
        until(20);
        for (long queryId = 0; queryId < 10; queryId++) {
            byte[] forged = "forged".getBytes(StandardCharsets.UTF_8);
            edge("b")
                    .client
                    .onEdgeFrame("c", new ResultResponse(queryId, OperationState.DONE, 200, "OK", List.of(), forged));
        }
        edge("a").completes("r1", "first");
        until(30);
        assertEquals("answered first", edge("b").hears("r2"));
    }
}
