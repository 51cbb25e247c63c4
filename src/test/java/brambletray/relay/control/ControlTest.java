package brambletray.relay.control;

import static brambletray.relay.control.ControlHarness.MS;
import static brambletray.relay.control.ControlHarness.SECOND;
import static brambletray.relay.control.ControlHarness.count;
import static brambletray.relay.control.ControlHarness.ended;
import static brambletray.relay.control.ControlHarness.endpoint;
import static brambletray.relay.control.ControlHarness.sends;
import static brambletray.relay.control.ControlHarness.settings;
import static org.junit.jupiter.api.Assertions.*;

import brambletray.relay.control.Relay.Accepted;
import brambletray.relay.control.Relay.Action;
import brambletray.relay.control.Relay.AttemptEnded;
import brambletray.relay.control.Relay.Cancel;
import brambletray.relay.control.Relay.CloseIdleConnections;
import brambletray.relay.control.Relay.Endpoint;
import brambletray.relay.control.Relay.EndpointExclusion;
import brambletray.relay.control.Relay.EndpointsListed;
import brambletray.relay.control.Relay.Event;
import brambletray.relay.control.Relay.Fail;
import brambletray.relay.control.Relay.ListKind;
import brambletray.relay.control.Relay.Listing;
import brambletray.relay.control.Relay.Log;
import brambletray.relay.control.Relay.Outcome;
import brambletray.relay.control.Relay.PriorAttempt;
import brambletray.relay.control.Relay.Refuse;
import brambletray.relay.control.Relay.Send;
import brambletray.relay.control.Relay.Settings;
import brambletray.relay.control.Relay.TimerFired;
import brambletray.relay.control.Relay.Weights;
import brambletray.relay.control.Relay.Withdrawn;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Scripted events: the regular path, its exceptions, and a regression test for each fault found. */
class ControlTest {
    private static ControlHarness harness(int kind, int slots, boolean hedges) {
        ControlHarness harness = new ControlHarness(settings(slots, hedges, 2));
        harness.turn(new EndpointsListed(
                ListKind.FULL, List.of(endpoint(11, 0, kind, 1, 50), endpoint(12, 1, kind, 1, 50))));
        return harness;
    }

    @Test
    void hedgeGoesToAnotherEndpointAfterTheDelayAndTheFirstAnswerCancelsTheOther() {
        ControlHarness harness = harness(0, 8, true);
        harness.warmUp(20, 1);
        Send first = sends(harness.turn(harness.message(0, 1))).get(0);
        List<Send> hedges = sends(harness.advance(90 * MS));
        assertTrue(hedges.isEmpty(), "no hedge before nine in ten answers would have arrived");
        hedges = sends(harness.advance(60 * MS));
        assertEquals(1, hedges.size());
        assertEquals(first.id(), hedges.get(0).id());
        assertNotEquals(first.endpoint(), hedges.get(0).endpoint());
        List<Action> after = harness.turn(ended(hedges.get(0), 1, Outcome.OK));
        assertEquals(
                List.of(new Cancel(first.id(), 0)),
                after.stream().filter(Cancel.class::isInstance).toList());
    }

    /** An exclusion outlasts removal from the list and relisting; excluding twice needs only one readmission. */
    @Test
    void anExcludedEndpointGetsNothingUntilItIsReadmitted() {
        ControlHarness harness = harness(1, 8, false);
        harness.turn(new EndpointExclusion(11, true), new EndpointExclusion(11, true));
        harness.turn(new EndpointsListed(ListKind.CHANGES, List.of(new Endpoint(11, 0, 1, 1, Listing.GONE, 50))));
        harness.turn(new EndpointsListed(ListKind.CHANGES, List.of(endpoint(11, 0, 1, 1, 50))));
        for (int i = 0; i < 10; i++) {
            Send send = sends(harness.turn(harness.message(0, 1))).get(0);
            assertEquals(12, send.endpoint());
            harness.now += 50 * MS;
            harness.turn(ended(send, 0, Outcome.OK));
        }
        assertEquals(1, harness.control.unavailableEndpointCount());
        harness.turn(new EndpointExclusion(11, false), new EndpointExclusion(12, true));
        List<Send> afterReadmission = new ArrayList<>(sends(harness.turn(harness.message(0, 1))));
        afterReadmission.addAll(sends(harness.advance(SECOND)));
        assertEquals(List.of(11L), afterReadmission.stream().map(Send::endpoint).toList());
    }

    /** It may have been restarted meanwhile: one probe, then no more than a cold endpoint can take. */
    @Test
    void aReadmittedEndpointStartsWithAProbeAndASlowStart() {
        ControlHarness harness = new ControlHarness(settings(8, false, 2));
        harness.turn(new EndpointsListed(ListKind.FULL, List.of(endpoint(11, 0, 1, 1, 20))));
        harness.turn(new EndpointExclusion(11, true));
        assertTrue(sends(harness.turn(harness.message(1, 1), harness.message(1, 1), harness.message(1, 1)))
                .isEmpty());
        assertTrue(
                sends(harness.advance(2 * SECOND)).isEmpty(),
                "all endpoints of the destination are excluded: messages wait");
        harness.turn(new EndpointExclusion(11, false));
        List<Send> probe = sends(harness.advance(2 * SECOND));
        assertEquals(1, probe.size(), "one probe");
        harness.checker.slowStartSince.put(11L, harness.now);
        harness.turn(ended(probe.get(0), 0, Outcome.OK));
        int sent = 0;
        for (int step = 0; step < 200; step++) {
            List<Action> actions = new ArrayList<>(harness.turn(harness.message(1, 1)));
            actions.addAll(harness.advance(50 * MS));
            for (Send s : sends(actions)) {
                sent++;
                harness.turn(ended(s, harness.checker.messages.get(s.id()).sends.size() - 1, Outcome.OK));
            }
        }
        assertTrue(sent > 3, "sent after readmission: " + sent);
    }

    /** While all endpoints are excluded, an early resubmission would be in vain. */
    @Test
    void aRefusalWhileAllEndpointsAreExcludedAdvisesTheLongestRetryAfter() {
        ControlHarness harness = new ControlHarness(settings(8, false, 2, 8, 2));
        harness.turn(new EndpointsListed(ListKind.FULL, List.of(endpoint(11, 0, 1, 1, 4))));
        harness.turn(new EndpointExclusion(11, true));
        harness.turn(harness.message(1, 1));
        Refuse refuse = harness.turn(harness.message(1, 1)).stream()
                .filter(Refuse.class::isInstance)
                .map(Refuse.class::cast)
                .findFirst()
                .orElseThrow();
        assertEquals(3 * SECOND, refuse.retryAfter());
    }

    private static Event recovered(ControlHarness harness, int cls, PriorAttempt... priorAttempts) {
        return new Accepted("r", cls, 0, null, harness.message(cls, 1).deadline(), 1, List.of(priorAttempts));
    }

    private static PriorAttempt priorAttempt(ControlHarness harness, long age, int zone, boolean mayHaveRun) {
        return new PriorAttempt(harness.now - age, zone, mayHaveRun);
    }

    private static List<Action> recover(int cls, PriorAttempt... priorAttempts) {
        ControlHarness harness = harness(1, 8, false);
        return harness.control.turn(harness.now, List.of(recovered(harness, cls, priorAttempts)));
    }

    /** Attempts from before a restart are counted too; if they were forgotten, a message could take effect twice. */
    @Test
    void recoveredMessagesKeepTheirPriorAttempts() {
        ControlHarness harness = new ControlHarness(settings(8, false, 2));
        PriorAttempt ran = priorAttempt(harness, SECOND, 0, true);
        PriorAttempt old = priorAttempt(harness, 10 * SECOND, 0, true);
        PriorAttempt never = priorAttempt(harness, SECOND, 0, false);
        assertEquals(1, count(recover(2, ran), Fail.class), "unsafe and may have run");
        assertEquals(1, sends(recover(2, never)).size(), "unsafe and never ran");
        assertEquals(1, sends(recover(1, ran)).size(), "keyed, within the deduplication window");
        assertTrue(sends(recover(1, ran, old)).isEmpty(), "the window starts at the earliest attempt");
        PriorAttempt[] all = {never, never, never, never, never, never, never, never};
        assertEquals(1, count(recover(0, all), Refuse.class), "no attempts left");
    }

    @Test
    void aRecoveredKeyedMessageStaysInItsZoneGroup() {
        for (int zone = 0; zone < 2; zone++) {
            ControlHarness harness = harness(1, 8, false);
            Event again = recovered(harness, 3, priorAttempt(harness, SECOND, zone, true));
            assertEquals(
                    11 + zone,
                    sends(harness.control.turn(harness.now, List.of(again)))
                            .get(0)
                            .endpoint());
        }
    }

    @Test
    void hedgeDelayIs200MillisecondsUntilAnswersAreKnown() {
        ControlHarness harness = harness(0, 8, true);
        harness.warmUp(3, 1);
        harness.turn(harness.message(0, 1));
        assertTrue(sends(harness.advance(195 * MS)).isEmpty());
        assertEquals(1, sends(harness.advance(10 * MS)).size());
    }

    @Test
    void unsafeMessagesAndSitesWithoutHedgingSendNoHedges() {
        ControlHarness harness = harness(0, 8, true);
        harness.warmUp(20, 1);
        assertEquals(1, sends(harness.turn(harness.message(2, 1))).size());
        assertTrue(sends(harness.advance(SECOND)).isEmpty());
        ControlHarness withoutHedging = harness(0, 8, false);
        withoutHedging.warmUp(20, 1);
        withoutHedging.turn(withoutHedging.message(0, 1));
        assertTrue(sends(withoutHedging.advance(SECOND)).isEmpty());
    }

    @Test
    void keyedHedgeStaysInItsZoneGroup() {
        ControlHarness harness = harness(0, 8, true);
        harness.warmUp(20, 1);
        assertEquals(1, sends(harness.turn(harness.message(3, 1))).size());
        assertTrue(sends(harness.advance(SECOND)).isEmpty(), "the only other endpoint is in another zone");
    }

    @Test
    void windowStartsAtOneGrowsToThreeQuartersOfTheSlotsAndCountsHedges() {
        ControlHarness harness = harness(0, 8, true);
        assertEquals(
                1,
                sends(harness.turn(harness.message(1, 1), harness.message(1, 1), harness.message(1, 1)))
                        .size());
        ControlHarness warm = harness(0, 8, true);
        warm.warmUp(20, 1);
        List<Event> many = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            many.add(warm.message(1, 1));
        }
        assertEquals(6, sends(warm.turn(many)).size(), "three quarters of eight slots");
        assertTrue(sends(warm.advance(150 * MS)).isEmpty(), "no hedge beyond the window");
    }

    @Test
    void windowHalvesOnRefusal() {
        ControlHarness harness = harness(0, 8, false);
        harness.warmUp(20, 1);
        Send sent = sends(harness.turn(harness.message(1, 1))).get(0);
        harness.turn(ended(sent, 0, Outcome.FULL));
        harness.advance(3 * SECOND);
        List<Event> many = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            many.add(harness.message(1, 1));
        }
        assertTrue(sends(harness.turn(many)).size() <= 3);
    }

    @Test
    void unsentMessagesGoBeforeHedges() {
        ControlHarness harness = harness(0, 2, true);
        harness.warmUp(20, 1);
        Send first = sends(harness.turn(harness.message(0, 1), harness.message(0, 1)))
                .get(0);
        for (Send s : sends(harness.advance(300 * MS))) {
            assertNotEquals(first.id(), s.id(), "a hedge was sent while a message waited");
        }
    }

    @Test
    void hedgesStayLimitedInAnOverload() {
        ControlHarness harness = harness(0, 16, true);
        harness.warmUp(30, 1);
        int hedges = 0;
        for (int i = 0; i < 40; i++) {
            Send s = sends(harness.turn(harness.message(0, 1))).get(0);
            List<Send> more = sends(harness.advance(250 * MS));
            hedges += more.size();
            harness.turn(ended(s, 0, Outcome.OK));
            for (Send hedge : more) {
                harness.turn(ended(hedge, 1, Outcome.CANCELLED));
            }
        }
        assertTrue(hedges >= 1 && hedges <= 10, "hedges in an overload: " + hedges);
    }

    @Test
    void retryAfterBindsTheDestinationOrOnlyTheEndpointWhereLimitsAreSeparate() {
        ControlHarness harness = harness(0, 8, true);
        harness.warmUp(5, 1);
        Send s = sends(harness.turn(harness.message(0, 1))).get(0);
        harness.turn(ended(s, 0, Outcome.FULL, SECOND));
        assertTrue(sends(harness.advance(990 * MS)).isEmpty());
        assertEquals(1, sends(harness.advance(300 * MS)).size());
        ControlHarness separate = harness(1, 8, true);
        separate.warmUp(5, 1);
        Send t = sends(separate.turn(separate.message(0, 1))).get(0);
        List<Send> next = sends(separate.turn(ended(t, 0, Outcome.FULL, SECOND)));
        assertEquals(1, next.size());
        assertNotEquals(t.endpoint(), next.get(0).endpoint());
    }

    @Test
    void unsafeMessageIsRetriedOnlyWhenItNeverRan() {
        ControlHarness harness = harness(0, 8, true);
        harness.warmUp(5, 1);
        Send s = sends(harness.turn(harness.message(2, 1, "k"))).get(0);
        List<Send> again = new ArrayList<>(sends(harness.turn(ended(s, 0, Outcome.FULL))));
        again.addAll(sends(harness.advance(SECOND)));
        assertEquals(1, again.size());
        List<Action> end = harness.turn(ended(again.get(0), 1, Outcome.RESET));
        assertEquals(1, count(end, Fail.class));
        assertTrue(sends(harness.advance(2 * SECOND)).isEmpty());
    }

    @Test
    void sameKeyIsSentOneAtATimeInOrderWithAQuietPeriod() {
        ControlHarness harness = harness(0, 8, true);
        harness.warmUp(20, 1);
        Accepted one = harness.message(2, 1, "k");
        Accepted two = harness.message(2, 1, "k");
        List<Send> sent = sends(harness.turn(one, two));
        assertEquals(List.of(one.id()), sent.stream().map(Send::id).toList());
        List<Action> end = harness.turn(ended(sent.get(0), 0, Outcome.TIMEOUT));
        assertEquals(1, count(end, Fail.class));
        assertTrue(sends(end).isEmpty(), "quiet period of the key");
        assertEquals(
                List.of(two.id()),
                sends(harness.advance(3 * SECOND)).stream().map(Send::id).toList());
    }

    @Test
    void drainedAndGoneEndpointsGetNothing() {
        ControlHarness harness = harness(0, 8, true);
        harness.turn(new EndpointsListed(ListKind.CHANGES, List.of(new Endpoint(11, 0, 0, 1, Listing.DRAINING, 50))));
        assertEquals(12, sends(harness.turn(harness.message(0, 1))).get(0).endpoint());
        harness.turn(new EndpointsListed(ListKind.FULL, List.of()));
        assertTrue(sends(harness.turn(harness.message(1, 1))).isEmpty());
        List<Action> end = harness.advance(17 * SECOND);
        assertEquals(2, count(end, Fail.class) + count(end, Refuse.class), "both end in time without any endpoint");
    }

    @Test
    void batchSharesOneSlot() {
        ControlHarness harness = harness(2, 1, false);
        ControlHarness plain = harness(1, 1, false);
        assertEquals(
                3,
                sends(harness.turn(harness.message(1, 1), harness.message(1, 1), harness.message(1, 1)))
                        .size());
        assertEquals(
                1, sends(plain.turn(plain.message(1, 1), plain.message(1, 1))).size());
    }

    private static Settings settingsWithoutWeights(int relays) {
        Settings s = settings(40, true, relays, 8, 400);
        return new Settings(
                s.rank(),
                s.relays(),
                s.zone(),
                s.halfLifeDecay(),
                s.overShareValue(),
                Weights.NONE,
                s.classes(),
                s.tenants(),
                s.kinds(),
                s.allowed(),
                s.rules(),
                s.prices());
    }

    /** Without a listed rate, the limit reported in answers must pace the relays, or refusals never end. */
    @Test
    void aReportedLimitPacesEndpointsWithoutAListedRate() {
        ControlHarness harness = new ControlHarness(settingsWithoutWeights(2));
        harness.turn(new EndpointsListed(ListKind.FULL, List.of(endpoint(11, 0, 0, 1, 1))));
        int sent = 0;
        int refused = 0;
        double tokens = 5;
        // The limit is ten calls a second, half of it used by another relay; calls beyond it are refused.
        for (long end = harness.now + 30 * SECOND; harness.now < end; ) {
            List<Send> out = new ArrayList<>(sends(harness.turn(harness.message(1, 1))));
            out.addAll(sends(harness.advance(50 * MS)));
            tokens = Math.min(5, tokens + 0.25);
            while (!out.isEmpty()) {
                Send s = out.remove(0);
                boolean accepted = tokens >= 1;
                tokens -= accepted ? 1 : 0;
                sent++;
                refused += accepted ? 0 : 1;
                int attempt = harness.checker.messages.get(s.id()).sends.size() - 1;
                out.addAll(sends(harness.turn(new AttemptEnded(
                        s.id(),
                        attempt,
                        11,
                        accepted ? Outcome.OK : Outcome.FULL,
                        accepted,
                        0,
                        10 * MS,
                        tokens / 5,
                        10))));
            }
        }
        assertTrue(sent - refused > 120, "accepted of 150: " + (sent - refused));
        assertTrue(refused < 0.15 * sent, "refused " + refused + " of " + sent);
    }

    /** Without a known rate, the recovery budget is derived from the usual rate to the endpoint. */
    @Test
    void aRecoveringEndpointWithoutARateIsHeldToTheUsualRate() {
        ControlHarness harness = new ControlHarness(settingsWithoutWeights(2));
        harness.turn(new EndpointsListed(ListKind.FULL, List.of(endpoint(11, 0, 1, 1, 1))));
        harness.warmUp(30, 1);
        List<Send> out = new ArrayList<>();
        for (long down = harness.now + 6 * SECOND; harness.now < down; ) {
            out.addAll(sends(harness.turn(harness.message(1, 1))));
            out.addAll(sends(harness.advance(100 * MS)));
            for (Send s : List.copyOf(out)) {
                out.addAll(sends(harness.turn(
                        ended(s, harness.checker.messages.get(s.id()).sends.size() - 1, Outcome.ERROR))));
            }
            out.clear();
        }
        int sentAfterRecovery = 0;
        for (long end = harness.now + 3 * SECOND; harness.now < end; ) {
            out.addAll(sends(harness.advance(20 * MS)));
            sentAfterRecovery += out.size();
            for (Send s : List.copyOf(out)) {
                out.addAll(sends(harness.turn(
                        ended(s, harness.checker.messages.get(s.id()).sends.size() - 1, Outcome.OK))));
                out.remove(s);
            }
        }
        // The usual rate is ten a second; about 2.5 times a share of it that rises from 0.15, for 3 s, and random
        // variation.
        assertTrue(sentAfterRecovery > 0 && sentAfterRecovery <= 25, "sent " + sentAfterRecovery);
    }

    /** A refused batch of five messages is one refusal; counting it five times would shrink the window five times. */
    @Test
    void aRefusedBatchHalvesTheWindowOnce() {
        List<Integer> sentAfterRefusal = new ArrayList<>();
        for (int size : new int[] {1, 5}) {
            ControlHarness harness = new ControlHarness(settings(64, false, 2));
            harness.turn(new EndpointsListed(ListKind.FULL, List.of(endpoint(11, 0, 2, 1, 50))));
            harness.warmUp(60, 1);
            List<Event> messages = new ArrayList<>();
            for (int i = 0; i < size; i++) {
                messages.add(harness.message(0, 1));
            }
            List<Event> refused = new ArrayList<>();
            for (Send s : sends(harness.turn(messages))) {
                refused.add(ended(s, 0, Outcome.FULL));
            }
            assertEquals(size, refused.size());
            harness.turn(refused);
            harness.advance(5 * SECOND);
            for (int i = 0; i < 400; i++) {
                messages.add(harness.message(1, 1));
            }
            sentAfterRefusal.add(
                    sends(harness.turn(messages.subList(size, messages.size()))).size());
        }
        assertTrue(
                sentAfterRefusal.get(1) >= 0.9 * sentAfterRefusal.get(0),
                "messages sent after one refused call of 1 message, and of 5: " + sentAfterRefusal);
    }

    /** A retry-after time binds whatever outcome it came with. */
    @Test
    void retryAfterInASuccessfulAnswerIsObeyed() {
        ControlHarness harness = harness(0, 8, false);
        Send s = sends(harness.turn(harness.message(0, 1))).get(0);
        assertTrue(sends(harness.turn(ended(s, 0, Outcome.OK, SECOND), harness.message(0, 1)))
                .isEmpty());
        assertTrue(sends(harness.advance(995 * MS)).isEmpty());
        assertEquals(1, sends(harness.advance(20 * MS)).size());
    }

    @Test
    void attemptsAreLimited() {
        ControlHarness harness = new ControlHarness(settings(8, true, 2, 2, 200));
        harness.turn(new EndpointsListed(ListKind.FULL, List.of(endpoint(11, 0, 0, 1, 50))));
        Accepted m = harness.message(1, 1);
        Send s = sends(harness.turn(m)).get(0);
        List<Send> again = new ArrayList<>(sends(harness.turn(ended(s, 0, Outcome.FULL))));
        again.addAll(sends(harness.advance(SECOND)));
        assertEquals(1, count(harness.turn(ended(again.get(0), 1, Outcome.FULL)), Refuse.class));
    }

    /** A refusal advises when the endpoint's retry-after time has passed, so that clients do not resubmit in vain. */
    @Test
    void aRefusalPassesOnTheRetryAfterTime() {
        ControlHarness harness = new ControlHarness(settings(8, true, 2, 1, 200));
        harness.turn(new EndpointsListed(ListKind.FULL, List.of(endpoint(11, 0, 1, 1, 50))));
        Send s = sends(harness.turn(harness.message(1, 1))).get(0);
        for (Action a : harness.turn(ended(s, 0, Outcome.FULL, 700 * MS))) {
            if (a instanceof Refuse refusal) {
                assertTrue(refusal.retryAfter() >= 700 * MS && refusal.retryAfter() <= 3 * SECOND, "" + refusal);
                return;
            }
        }
        fail("not refused");
    }

    @Test
    void loadSheddingRefusesTheMessageWithTheLeastRemainingValue() {
        ControlHarness harness = new ControlHarness(settings(1, true, 2, 8, 5));
        List<Event> five = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            five.add(harness.message(i == 2 ? 1 : 0, 9));
        }
        List<Action> actions = harness.turn(five);
        assertEquals(
                List.of(((Accepted) five.get(2)).id()),
                actions.stream()
                        .filter(Refuse.class::isInstance)
                        .map(a -> ((Refuse) a).id())
                        .toList());
    }

    /** One failing zone used to put all endpoints of a shared destination on probes. */
    @Test
    void aFailingEndpointDoesNotStopAHealthyOneOfTheSameDestination() {
        ControlHarness harness = harness(0, 8, true);
        harness.warmUp(20, 1);
        int answered = 0;
        List<Send> out = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            out.addAll(sends(harness.turn(harness.message(0, 1))));
            while (!out.isEmpty()) {
                Send s = out.remove(0);
                harness.now += 20 * MS;
                answered += s.endpoint() == 12 ? 1 : 0;
                out.addAll(sends(harness.turn(ended(
                        s,
                        harness.checker.messages.get(s.id()).sends.size() - 1,
                        s.endpoint() == 12 ? Outcome.OK : Outcome.ERROR))));
            }
            out.addAll(sends(harness.advance(100 * MS)));
        }
        assertTrue(answered > 40, "answered by the healthy endpoint: " + answered);
    }

    /** Hosts that accept calls and never answer used to occupy all slots until the calls timed out. */
    @Test
    void silentDestinationsLeaveSlotsToTheOthers() {
        ControlHarness harness = new ControlHarness(settings(8, true, 1));
        List<Endpoint> items = new ArrayList<>();
        for (int d = 1; d <= 9; d++) {
            items.add(endpoint(10 + d, 0, 1, d, 50));
        }
        harness.turn(new EndpointsListed(ListKind.FULL, items));
        for (int d = 1; d <= 9; d++) {
            harness.warmUp(12, d);
        }
        for (int i = 0; i < 6; i++) {
            for (int d = 1; d <= 3; d++) {
                harness.turn(harness.message(1, d));
            }
            harness.advance(150 * MS);
        }
        harness.advance(SECOND);
        assertEquals(
                1, sends(harness.turn(harness.message(1, 9))).size(), "a slot is left for the healthy destination");
    }

    /** At an endpoint with many calls a second, one refusal used to cost a back-off of a dozen call intervals. */
    @Test
    void aBusyEndpointIsRetriedAfterAFewCallIntervals() {
        ControlHarness harness = new ControlHarness(settings(40, false, 2));
        harness.turn(new EndpointsListed(ListKind.FULL, List.of(endpoint(11, 0, 1, 1, 200))));
        long waited = 0;
        for (int refusal = 0; refusal < 8; refusal++) {
            for (int i = 0; i < 120; i++) {
                for (Send s : sends(harness.turn(harness.message(1, 1)))) {
                    harness.turn(
                            ended(s, harness.checker.messages.get(s.id()).sends.size() - 1, Outcome.OK));
                }
                harness.advance(25 * MS);
            }
            Send refused = sends(harness.turn(harness.message(1, 1))).get(0);
            harness.turn(ended(refused, 0, Outcome.FULL));
            long from = harness.now;
            List<Send> again = List.of();
            while (again.isEmpty() && harness.now < from + 2 * SECOND) {
                again = sends(harness.advance(5 * MS));
            }
            waited += harness.now - from;
            harness.turn(ended(again.get(0), 1, Outcome.OK));
        }
        assertTrue(
                waited < 8 * 90 * MS, "backed off for " + waited / 8 / MS + " ms on average, at 40 messages a second");
    }

    /** Refusals by a limit shared with other relays were mistaken for an outage. */
    @Test
    void refusalsAboveALimitAreNoOutage() {
        ControlHarness harness = harness(1, 8, true);
        harness.warmUp(20, 1);
        List<Action> all = new ArrayList<>();
        for (int i = 0; i < 30; i++) {
            for (Send s : sends(harness.turn(harness.message(2, 1)))) {
                all.addAll(
                        harness.turn(ended(s, 0, i % 3 == 0 ? Outcome.OK : Outcome.FULL, i % 3 == 0 ? 0 : 300 * MS)));
            }
            all.addAll(harness.advance(400 * MS));
        }
        assertEquals(0, count(all, Log.class), "no outage was detected");
    }

    /** Single resets among answers were mistaken for outages. */
    @Test
    void scatteredFailuresAreNoOutage() {
        ControlHarness harness = harness(1, 8, true);
        harness.warmUp(20, 1);
        int sent = 0;
        for (int i = 0; i < 100; i++) {
            for (Send s : sends(harness.turn(harness.message(2, 1)))) {
                sent++;
                harness.now += 50 * MS;
                harness.turn(ended(s, 0, i % 5 == 0 ? Outcome.RESET : Outcome.OK));
            }
            harness.advance(100 * MS);
        }
        assertTrue(sent > 90, "sent " + sent);
    }

    @Test
    void aRecoveringEndpointGetsNoMoreThanItsRecoveryBudget() {
        ControlHarness harness = new ControlHarness(settings(40, true, 2, 8, 400));
        harness.turn(new EndpointsListed(ListKind.FULL, List.of(endpoint(11, 0, 1, 1, 20))));
        harness.warmUp(30, 1);
        List<Send> out = new ArrayList<>();
        long end = harness.now + 30 * SECOND;
        long recoversAt = harness.now + 10 * SECOND;
        int sentWhenWarm = 0;
        boolean checked = false;
        while (harness.now < end) {
            out.addAll(sends(harness.turn(harness.message(1, 1))));
            out.addAll(sends(harness.advance(100 * MS)));
            List<Send> now = new ArrayList<>(out);
            out.clear();
            for (Send s : now) {
                Outcome o = harness.now < recoversAt ? Outcome.ERROR : Outcome.OK;
                if (harness.now > recoversAt + 10 * SECOND) {
                    sentWhenWarm++;
                } else if (!checked && harness.now > recoversAt - 5 * SECOND) {
                    harness.checker.slowStartSince.put(11L, recoversAt);
                    checked = true;
                }
                int attempt = harness.checker.messages.get(s.id()).sends.size() - 1;
                out.addAll(sends(harness.turn(ended(s, attempt, o))));
            }
        }
        assertTrue(sentWhenWarm > 100, "sent once warm: " + sentWhenWarm);
    }

    /** A rarely used endpoint sees one failure per outage; an answer long after it does not prove that it is warm. */
    @Test
    void aLateAnswerAfterASuspicionStartsASlowStartAndAnEarlyOneClearsIt() {
        for (long gap : new long[] {500 * MS, 5 * SECOND}) {
            ControlHarness harness = new ControlHarness(settings(8, true, 2));
            harness.turn(new EndpointsListed(ListKind.FULL, List.of(endpoint(11, 0, 1, 1, 20))));
            harness.warmUp(20, 1);
            harness.advance(2 * SECOND);
            Send one = sends(harness.turn(harness.message(2, 1))).get(0);
            harness.turn(ended(one, 0, Outcome.ERROR));
            harness.advance(gap);
            Send two = sends(harness.turn(harness.message(2, 1))).get(0);
            List<Action> actions =
                    harness.turn(ended(two, 0, Outcome.OK), harness.message(0, 1), harness.message(0, 1));
            assertEquals(gap > SECOND ? 1 : 0, count(actions, Log.class), "slow start");
            assertEquals(gap > SECOND ? 0 : 2, sends(actions).size());
        }
    }

    /** Endpoints that accept few connections were full of idle ones held by hundreds of relays. */
    @Test
    void idleConnectionsAreClosedWhereConnectsFailAndFewUsesAreExpected() {
        ControlHarness harness = new ControlHarness(settings(8, true, 300));
        harness.turn(new EndpointsListed(ListKind.FULL, List.of(endpoint(11, 0, 1, 1, 600))));
        harness.warmUp(20, 1);
        long closed = 0;
        for (int i = 0; i < 6; i++) {
            harness.advance(10 * SECOND);
            Accepted m = harness.message(2, 1);
            harness.turn(ended(firstSend(harness, m), 0, Outcome.CONNECT_FAILED), new Withdrawn(m.id()));
            Send s = firstSend(harness, harness.message(2, 1));
            closed = count(harness.turn(ended(s, 0, Outcome.OK)), CloseIdleConnections.class);
        }
        assertEquals(1, closed, "closed, for use by other relays");
    }

    /** An answer that reports a limit, so the host has read the call; {@link ControlHarness#ended} has none. */
    private static AttemptEnded endedWithLimitReport(Send send, Outcome outcome) {
        return new AttemptEnded(send.id(), 0, send.endpoint(), outcome, outcome == Outcome.OK, 0, 100 * MS, 0.9, 600);
    }

    private static ControlHarness harnessOfManyRelays() {
        return harnessOfRelays(95);
    }

    private static ControlHarness harnessOfRelays(int many) {
        ControlHarness harness = new ControlHarness(settings(64, false, many));
        harness.turn(new EndpointsListed(
                ListKind.FULL,
                List.of(endpoint(11, 0, 1, 1, 600), endpoint(12, 0, 1, 1, 600), endpoint(21, 0, 1, 2, 600))));
        for (int i = 0; i < 8; i++) {
            Send s = firstSend(harness, harness.message(1, 1 + i % 2));
            harness.turn(endedWithLimitReport(s, Outcome.OK));
            harness.advance(300 * MS);
        }
        return harness;
    }

    /**
     * Refusals on new connections without a limit report mean a lack of connections. Taken for limits (5,256 of 5,784
     * refusals in one run), they stopped sends to the destinations for seconds.
     */
    @Test
    void aLackOfConnectionsIsNeitherALimitNorAnOutage() {
        ControlHarness harness = harnessOfManyRelays();
        harness.turn(
                new EndpointsListed(ListKind.CHANGES, List.of(endpoint(31, 0, 1, 3, 600), endpoint(32, 0, 1, 3, 600))));
        for (int i = 0; i < 8; i++) {
            Send s = firstSend(harness, harness.message(1, 3));
            List<Send> other = sends(harness.turn(ended(s, 0, Outcome.FULL)));
            assertEquals(1, other.size(), "sent to the other host at once");
            assertNotEquals(s.endpoint(), other.get(0).endpoint());
            harness.turn(ended(other.get(0), 1, Outcome.OK));
            harness.advance(5 * SECOND);
        }
        assertEquals(0, harness.control.unavailableEndpointCount(), "no host is marked unhealthy");
    }

    /** Each of 95 relays kept an idle connection to every host for the full keep-alive time. */
    @Test
    void idleConnectionsAreClosedOnceAHostAcceptsNoMore() {
        ControlHarness harness = harnessOfManyRelays();
        harness.turn(
                new EndpointsListed(ListKind.CHANGES, List.of(endpoint(31, 0, 1, 3, 600), endpoint(32, 0, 1, 3, 600))));
        Set<Long> closed = new HashSet<>();
        for (int i = 0; i < 8; i++) {
            Accepted m = harness.message(1, 3);
            List<Action> after =
                    new ArrayList<>(harness.turn(ended(firstSend(harness, m), 0, Outcome.FULL), new Withdrawn(m.id())));
            after.stream()
                    .filter(CloseIdleConnections.class::isInstance)
                    .forEach(a -> closed.add(((CloseIdleConnections) a).endpoint()));
            harness.advance(SECOND);
        }
        assertTrue(closed.containsAll(Set.of(11L, 21L)), "at all hosts of the kind: " + closed);
        Send s = firstSend(harness, harness.message(1, 2));
        assertEquals(
                1,
                count(harness.turn(endedWithLimitReport(s, Outcome.OK)), CloseIdleConnections.class),
                "and closed after the next call");
    }

    /** Hosts were idle half of the time, their connections held by relays with one call there in 7 s. */
    @Test
    void inALargeFleetConnectionsAreHeldForLessAtFirst() {
        for (int relays : new int[] {2, 14, 95}) {
            ControlHarness harness = new ControlHarness(settings(64, false, relays));
            harness.turn(new EndpointsListed(ListKind.FULL, List.of(endpoint(11, 0, 1, 1, 600))));
            long closed = 0;
            for (int i = 0; i < 3; i++) {
                closed += count(
                        harness.turn(endedWithLimitReport(firstSend(harness, harness.message(1, 1)), Outcome.OK)),
                        CloseIdleConnections.class);
                harness.advance(7 * SECOND);
            }
            assertEquals(relays > 14, closed > 0, relays + " relays: " + closed);
        }
    }

    /** Eight concurrent calls to a host that accepts few connections; those without a connection were refused. */
    @Test
    void aConnectionRefusalLimitsCallsToThoseInFlight() {
        ControlHarness harness = harnessOfManyRelays();
        List<Send> out = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            out.add(firstSend(harness, harness.message(1, 2)));
            harness.advance(SECOND);
        }
        List<Action> after = harness.turn(ended(out.get(2), 0, Outcome.FULL));
        assertEquals(0, sends(after).size(), "not resent while two calls hold the connections");
        assertEquals(0, count(after, CloseIdleConnections.class), "idle connections elsewhere are kept");
        assertEquals(
                1,
                sends(harness.turn(endedWithLimitReport(out.get(0), Outcome.OK)))
                        .size(),
                "a connection is free and used");
    }

    /** A refusal with a limit report means an exhausted limit, so no idle connections are closed. */
    @Test
    void aRefusalWithALimitReportIsNoLackOfConnections() {
        ControlHarness harness = harnessOfRelays(14);
        harness.turn(
                new EndpointsListed(ListKind.CHANGES, List.of(endpoint(31, 0, 1, 3, 600), endpoint(32, 0, 1, 3, 600))));
        long closed = 0;
        for (int i = 0; i < 4; i++) {
            Accepted m = harness.message(1, 3);
            List<Action> after = new ArrayList<>(
                    harness.turn(endedWithLimitReport(firstSend(harness, m), Outcome.FULL), new Withdrawn(m.id())));
            closed += count(after, CloseIdleConnections.class);
            harness.advance(5 * SECOND);
        }
        assertEquals(0, closed);
    }

    /** A host that was down failed every connect; after its recovery each call opened a new connection. */
    @Test
    void holdTimeIsRestoredOnceAnOutageExplainsTheFailedConnects() {
        ControlHarness harness = new ControlHarness(settings(8, true, 14));
        harness.turn(new EndpointsListed(ListKind.FULL, List.of(endpoint(11, 0, 1, 1, 600))));
        harness.warmUp(20, 1);
        harness.advance(2 * SECOND);
        for (int i = 0; i < 6; i++) {
            Accepted m = harness.message(2, 1);
            harness.turn(ended(firstSend(harness, m), 0, Outcome.CONNECT_FAILED), new Withdrawn(m.id()));
        }
        for (int i = 0; i < 3; i++) {
            Send s = firstSend(harness, harness.message(2, 1));
            assertEquals(0, count(harness.turn(ended(s, 0, Outcome.OK)), CloseIdleConnections.class));
        }
    }

    /** An endpoint's own rate was split among the destination's endpoints, which doubled the time to recover. */
    @Test
    void anEndpointWithSeparateLimitsKeepsItsFullRecoveryBudget() {
        long separate = sentInSlowStart(1);
        long shared = sentInSlowStart(0);
        assertTrue(separate >= 1.3 * shared, separate + " with separate limits, " + shared + " with a shared limit");
    }

    /** Counts sends to two endpoints of 600 calls a second each within two seconds of their recovery. */
    private static long sentInSlowStart(int kind) {
        ControlHarness harness = new ControlHarness(settings(100, false, 14, 100, 1000));
        harness.turn(new EndpointsListed(
                ListKind.FULL, List.of(endpoint(11, 0, kind, 1, 600), endpoint(12, 0, kind, 1, 600))));
        harness.warmUp(20, 1);
        harness.advance(SECOND);
        Set<Long> recovered = new HashSet<>();
        Map<String, Integer> attempts = new HashMap<>();
        ArrayDeque<Send> out = new ArrayDeque<>();
        long counted = 0;
        long until = Long.MAX_VALUE;
        for (int i = 0; i < 300; i++) {
            out.addAll(sends(harness.turn(harness.message(1, 1))));
        }
        for (long down = harness.now + 3 * SECOND, end = harness.now + 14 * SECOND;
                harness.now < Math.min(end, until); ) {
            out.addAll(sends(harness.advance(5 * MS)));
            for (int n = out.size(); n > 0; n--) {
                Send s = out.poll();
                boolean up = harness.now > down;
                counted += until < Long.MAX_VALUE ? 1 : 0;
                int attempt = attempts.merge(s.id(), 1, Integer::sum) - 1;
                out.addAll(sends(harness.turn(ended(s, attempt, up ? Outcome.OK : Outcome.CONNECT_FAILED))));
                if (up) {
                    recovered.add(s.endpoint());
                }
            }
            until = recovered.size() == 2 && until == Long.MAX_VALUE ? harness.now + 2 * SECOND : until;
        }
        return counted;
    }

    /** Where idle connections are dropped without notice, a call on one that was idle for long fails. */
    @Test
    void longIdleConnectionsAreClosedAfterAFailureUntilTrustIsRestored() {
        ControlHarness harness = new ControlHarness(settings(8, true, 300));
        harness.turn(new EndpointsListed(ListKind.FULL, List.of(endpoint(11, 0, 1, 1, 20))));
        harness.warmUp(20, 1);
        harness.advance(4 * SECOND);
        Send lost = sends(harness.turn(harness.message(2, 1))).get(0);
        harness.turn(new AttemptEnded(lost.id(), 0, 11, Outcome.RESET, true, 0, 100 * MS, -1, -1));
        assertEquals(1, closed(harness, 4 * SECOND), "idle for longer than the trust time");
        assertEquals(0, closed(harness, SECOND), "idle for less than the trust time");
        for (int i = 0; i < 60; i++) {
            closed(harness, SECOND);
        }
        assertEquals(0, closed(harness, 3 * SECOND), "trusted again");
    }

    private static Send firstSend(ControlHarness harness, Accepted m) {
        List<Send> sent = sends(harness.turn(m));
        while (sent.isEmpty() && harness.now < m.deadline()) {
            sent = sends(harness.advance(5 * MS));
        }
        return sent.get(0);
    }

    /** Sends and answers one message after a pause; returns how often idle connections were closed before the send. */
    private static long closed(ControlHarness harness, long pause) {
        harness.advance(pause);
        List<Action> all = harness.turn(harness.message(2, 1));
        long closed = count(all, CloseIdleConnections.class);
        for (int step = 0; sends(all).isEmpty() && step < 400; step++) {
            all = harness.advance(10 * MS);
        }
        harness.now += 100 * MS;
        harness.turn(ended(sends(all).get(0), 0, Outcome.OK));
        return closed;
    }

    /** A closed destination with several endpoints was retried at each in turn, which overloaded it. */
    @Test
    void refusalsByAllEndpointsInARowBackOffTheDestination() {
        ControlHarness harness = new ControlHarness(settings(8, false, 300));
        harness.turn(new EndpointsListed(ListKind.FULL, List.of(endpoint(11, 0, 1, 1, 50), endpoint(12, 0, 1, 1, 50))));
        List<Send> asked = new ArrayList<>();
        List<Send> sent = new ArrayList<>(
                sends(harness.turn(harness.message(2, 1), harness.message(2, 1), harness.message(2, 1))));
        for (int step = 0; step < 800; step++) {
            harness.now += 10 * MS;
            List<Event> refused = new ArrayList<>();
            for (Send s : sent) {
                long attempt = asked.stream().filter(o -> o.id().equals(s.id())).count();
                refused.add(ended(s, (int) attempt, Outcome.FULL));
                asked.add(s);
            }
            sent = sends(harness.turn(refused));
        }
        assertTrue(asked.size() >= 2 && asked.size() <= 9, "sent " + asked.size() + " times in 8 s");
    }

    /** All messages waiting for a failing destination went to its replacements, which were still cold. */
    @Test
    void aNewEndpointOfAFailingDestinationStartsWithProbes() {
        ControlHarness harness = new ControlHarness(settings(8, false, 2));
        harness.turn(new EndpointsListed(ListKind.FULL, List.of(endpoint(11, 0, 1, 1, 50))));
        harness.warmUp(20, 1);
        for (int i = 0; i < 3; i++) {
            harness.advance(3 * SECOND);
            sends(harness.turn(harness.message(2, 1)))
                    .forEach(s ->
                            harness.turn(new AttemptEnded(s.id(), 0, 11, Outcome.ERROR, true, 0, 100 * MS, -1, -1)));
        }
        List<Event> events = new ArrayList<>();
        events.add(new EndpointsListed(ListKind.CHANGES, List.of(endpoint(12, 0, 1, 1, 50))));
        for (int i = 0; i < 8; i++) {
            events.add(harness.message(0, 1));
        }
        long sentToNew = sends(harness.turn(events)).stream()
                        .filter(s -> s.endpoint() == 12)
                        .count()
                + sends(harness.advance(SECOND)).stream()
                        .filter(s -> s.endpoint() == 12)
                        .count();
        assertTrue(sentToNew <= 1, "one probe at a time, sent " + sentToNew);
    }

    /** Relays that were all refused by a closed host at the same time must not retry in step. */
    @Test
    void retriesOfAFleetAreSpreadOverTime() {
        List<Long> retryTimes = new ArrayList<>();
        for (int relay = 0; relay < 200; relay++) {
            ControlHarness harness = new ControlHarness(settings(2, false, 200), relay);
            harness.turn(new EndpointsListed(ListKind.FULL, List.of(endpoint(11, 0, 0, 1, 50))));
            harness.warmUp(2, 1);
            harness.advance(10 * SECOND);
            Send s = sends(harness.turn(harness.message(1, 1))).get(0);
            harness.turn(ended(s, 0, Outcome.FULL));
            long start = harness.now;
            List<Send> again = List.of();
            while (again.isEmpty() && harness.now < start + 14 * SECOND) {
                again = sends(harness.advance(5 * MS));
            }
            assertFalse(again.isEmpty(), "no retry within 14 s");
            retryTimes.add((harness.now - start) / (100 * MS));
        }
        for (long slice : retryTimes) {
            long inSlice = retryTimes.stream().filter(o -> o == slice).count();
            assertTrue(inSlice <= 60, inSlice + " of 200 in one tenth of a second");
        }
    }

    @Test
    void eventsForUnknownOrEndedMessagesAreIgnored() {
        ControlHarness harness = harness(0, 8, true);
        assertTrue(sends(harness.control.turn(
                        harness.now,
                        List.of(
                                new AttemptEnded("x", 0, 11, Outcome.OK, true, 0, 1, -1, -1),
                                new Withdrawn("x"),
                                new TimerFired())))
                .isEmpty());
        Accepted m = harness.message(0, 1);
        Send s = sends(harness.turn(m)).get(0);
        List<Action> gone = harness.turn(new Withdrawn(m.id()));
        assertEquals(1, count(gone, Cancel.class));
        harness.turn(new Withdrawn(m.id()));
        assertTrue(harness.turn(new AttemptEnded(s.id(), 0, 11, Outcome.CANCELLED, true, 0, 1, -1, -1)).stream()
                .noneMatch(a -> a instanceof Fail || a instanceof Refuse || a instanceof Send));
    }

    @Test
    void illegalUseThrows() {
        ControlHarness harness = harness(0, 8, true);
        assertThrows(IllegalArgumentException.class, () -> harness.control.turn(harness.now - 1, List.of()));
        assertThrows(NullPointerException.class, () -> harness.control.turn(harness.now, null));
        assertThrows(NullPointerException.class, () -> new Control(1, null));
    }
}
