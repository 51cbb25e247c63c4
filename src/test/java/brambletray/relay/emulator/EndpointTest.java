package brambletray.relay.emulator;

import static brambletray.relay.emulator.Rig.ms;
import static brambletray.relay.emulator.Rig.plain;
import static brambletray.relay.emulator.Rig.step;
import static brambletray.relay.emulator.Rig.with;
import static org.junit.jupiter.api.Assertions.*;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** What a scripted partner does at the worst moments. */
class EndpointTest {
    private static Answer.Reason reason(Rig.Got got) {
        return ((Answer.Refused) got.answer()).reason();
    }

    @Test
    void callsAreServedInOrderAndAboveTheQueueRefused() {
        Rig rig = new Rig(plain(), List.of());
        for (int i = 0; i < 6; i++) {
            rig.send(0);
        }
        rig.run(1_000);
        assertEquals(
                List.of(
                        "0 m6 Refused",
                        "100 m1 Delivered",
                        "100 m2 Delivered",
                        "200 m3 Delivered",
                        "200 m4 Delivered",
                        "300 m5 Delivered"),
                rig.answers());
        assertEquals(Answer.Reason.QUEUE_FULL, reason(rig.got.get(0)));
    }

    /** At one instant: ends first, then the script in the file's order, then arrivals. */
    @Test
    void whatHappensAtOneInstantHasAnOrder() {
        Rig rig = new Rig(
                plain(),
                List.of(
                        step(100, 200, new Step.Shut(false)),
                        step(100, 300, new Step.Slow(4)),
                        step(100, 100, new Step.Drain(true))));
        rig.send(0);
        rig.send(100);
        rig.run(100);
        // The call that ends at 100 is delivered although it is shut at 100; the one that comes at 100 finds it shut.
        assertEquals(List.of("100 m1 Delivered", "100 m2 Refused"), rig.answers());
        assertEquals(Answer.Reason.SHUT, reason(rig.got.get(1)));
    }

    /** A beginning at the instant of another's end comes after it: shut twice in a row is shut all the time. */
    @Test
    void anEndComesBeforeABeginningAtTheSameInstant() {
        Rig rig = new Rig(plain(), List.of(step(200, 300, new Step.Shut(false)), step(100, 200, new Step.Shut(false))));
        rig.send(150);
        rig.send(200);
        rig.send(250);
        assertTrue(
                rig.got.stream().allMatch(g -> g.answer() instanceof Answer.Refused),
                rig.answers().toString());
    }

    /** 20 calls a second warm, 0.2 of it cold, twice that over 3 s: the 25th call at once is too much, not the 24th. */
    @Test
    void aColdPartnerThatIsPushedFallsAtTheScriptedInstantAndStaysDown() {
        Rig rig = new Rig(
                with(plain(), 2, new Law.Constant(ms(100)), 1_000, new Limit.None()),
                List.of(step(0, 1_000, new Step.Down())));
        rig.run(1_000);
        assertEquals(0.2, rig.endpoint.warmth(ms(1_000)), 1e-9);
        for (int i = 0; i < 24; i++) {
            rig.send(1_000);
        }
        assertFalse(rig.endpoint.fallen());
        rig.send(1_000);
        assertTrue(rig.endpoint.fallen());
        assertEquals(ms(1_000), rig.endpoint.tally().fellAt);
        assertEquals(Endpoint.Reach.REFUSED, rig.endpoint.reach());
        rig.run(100_000);
        assertTrue(rig.endpoint.fallen());
    }

    /** The same partner under a load that grows with its warmth never falls, and serves all of it. */
    @Test
    void aColdPartnerThatIsLetWarmDoesNotFall() {
        Rig rig = new Rig(
                with(plain(), 2, new Law.Constant(ms(100)), 1_000, new Limit.None()),
                List.of(step(0, 1_000, new Step.Down())));
        double at = 1_000;
        int sent = 0;
        while (at < 15_000) {
            rig.send(at);
            sent++;
            at += 1_000 / (20 * rig.endpoint.warmth(ms(at)) * 0.9);
        }
        rig.run(20_000);
        assertFalse(rig.endpoint.fallen());
        assertEquals(sent, rig.endpoint.tally().delivered());
        assertTrue(rig.endpoint.tally().heaviest < 0.75, "heaviest " + rig.endpoint.tally().heaviest);
    }

    @Test
    void warmthGrowsEvenlyAndServiceTimesWithIt() {
        Rig rig = new Rig(plain(), List.of(step(0, 1_000, new Step.Down())));
        rig.run(1_000);
        for (int i = 0; i <= 10; i++) {
            assertEquals(0.2 + 0.08 * i, rig.endpoint.warmth(ms(1_000 + 1_000 * i)), 1e-9);
        }
        rig.send(1_000);
        rig.send(6_000);
        rig.send(11_000);
        rig.run(20_000);
        assertEquals(List.of("1500 m1 Delivered", "6167 m2 Delivered", "11100 m3 Delivered"), rig.answers());
    }

    /** Only relays that had seen the outage break the rule; two thirds of the load must be theirs. */
    @ParameterizedTest
    @ValueSource(ints = {16, 17})
    void whoPushedItOverIsToldByWhatTheyHadSeen(int knowing) {
        Rig rig = new Rig(
                with(plain(), 2, new Law.Constant(ms(100)), 1_000, new Limit.None()),
                List.of(step(0, 1_000, new Step.Shut(false))));
        rig.send(500, "knows", "x", null);
        for (int i = 0; i < 25; i++) {
            rig.send(1_000, i < knowing ? "knows" : "new", "m" + i, null);
        }
        assertTrue(rig.endpoint.fallen());
        assertEquals(
                knowing * 3 >= 25 * 2,
                rig.ledger.breachCount() == 1,
                rig.ledger.breaches().toString());
    }

    /** A full queue is lost with its process: none of it runs, later or at all, and it is empty when it is back. */
    @Test
    void aQueueThatIsFullAtTheMomentOfRestartIsLostAndNeverRuns() {
        Rig rig = new Rig(plain(), List.of(step(50, 60, new Step.Down())));
        for (int i = 0; i < 6; i++) {
            rig.send(0);
        }
        rig.run(10_000);
        assertEquals(6, rig.got.size());
        assertEquals(
                5,
                rig.got.stream().filter(g -> g.answer() instanceof Answer.Reset).count());
        for (int i = 1; i <= 6; i++) {
            assertEquals(0, rig.ledger.effects("m" + i));
        }
        rig.send(10_100);
        rig.run(11_000);
        assertEquals(1, rig.ledger.effects("m7"));
    }

    /** The wait was told before the return; it binds until its own end, whether the partner is open again or not. */
    @Test
    void aToldWaitThatCrossesTheReturnStillBinds() {
        Rig rig = new Rig(plain(), List.of(step(100, 2_000, new Step.Shut(true)), step(900, 900, new Step.Return())));
        rig.send(200, "relay", "a", null);
        assertEquals(ms(1_800), ((Answer.Refused) rig.got.get(0).answer()).told());
        rig.send(250, "relay", "b", null);
        assertEquals(0, rig.ledger.breachCount(), "on its way when the wait was told");
        rig.send(1_000, "relay", "c", null);
        assertEquals(Ledger.Rule.WAIT_IGNORED, rig.ledger.breaches().get(0).rule());
        rig.send(1_000, "another", "d", null);
        rig.send(2_001, "relay", "e", null);
        assertEquals(1, rig.ledger.breachCount());
    }

    /** A pause longer than a deadline: the caller has gone, the call runs all the same, once. */
    @Test
    void aPauseAnswersLateAndRunsWhatWasGivenUp() {
        Rig rig = new Rig(plain(), List.of(step(50, 3_050, new Step.Pause(false))));
        Call given = rig.send(0);
        rig.run(2_000);
        rig.endpoint.abandon(ms(2_000), given);
        assertEquals(0, rig.ledger.effects("m1"));
        rig.run(4_000);
        assertEquals(List.of("3100 m1 Delivered"), rig.answers());
        assertEquals(1, rig.ledger.effects("m1"));
        assertEquals(-1, rig.ledger.deliveredAt("m1"), "nobody was there to hear of it");
    }

    @Test
    void aPauseMayAlsoForget() {
        Rig rig = new Rig(plain(), List.of(step(50, 3_050, new Step.Pause(true))));
        rig.send(0);
        rig.send(1_000);
        rig.run(9_000);
        assertEquals(List.of(), rig.got);
        rig.send(9_000);
        rig.run(9_500);
        assertEquals(List.of("9100 m3 Delivered"), rig.answers());
    }

    /** Draining finishes what it has; with "refuses" it turns new calls away. */
    @Test
    void aDrainWhileCallsAreOutFinishesThem() {
        Rig rig = new Rig(plain(), List.of(step(50, 50, new Step.Drain(true))));
        rig.send(0);
        rig.send(60);
        rig.run(500);
        assertEquals(List.of("60 m2 Refused", "100 m1 Delivered"), rig.answers());
        rig.ledger.listed(ms(50), "relay", "p", false);
        rig.send(300 + 50, "relay", "late", null);
        assertEquals(0, rig.ledger.breachCount());
        rig.send(351, "relay", "later", null);
        assertEquals(Ledger.Rule.SENT_TO_DRAINING, rig.ledger.breaches().get(0).rule());
    }

    @Test
    void slownessAlsoMeetsWhatIsInService() {
        Rig rig = new Rig(plain(), List.of(step(50, 150, new Step.Slow(10))));
        rig.send(0);
        rig.run(1_000);
        // Half is left at 50; 100 ms at a tenth of the pace do a fifth of that half; the rest at full pace.
        assertEquals(List.of("190 m1 Delivered"), rig.answers());
    }

    /** A key is remembered by its group for its window, from the first call that ran. */
    @Test
    void aRepeatWithARememberedKeyHasNoEffect() {
        Rig rig = new Rig(plain(), List.of());
        rig.send(0, "relay", "a", "key");
        rig.send(1_000, "relay", "a", "key");
        rig.send(15_050, "relay", "a", "key");
        rig.run(16_000);
        assertEquals(2, rig.ledger.effects("a"));
        assertTrue(((Answer.Delivered) rig.got.get(1).answer()).again());
        assertEquals(Ledger.Rule.EFFECT_TWICE, rig.ledger.breaches().get(0).rule());
    }

    @Test
    void connectionsHaveACapIdleOnesCounted() {
        Rig rig = new Rig(plain(), List.of());
        for (int i = 0; i < 100; i++) {
            assertTrue(rig.endpoint.connect(0));
        }
        assertFalse(rig.endpoint.connect(0));
        rig.endpoint.disconnect();
        assertTrue(rig.endpoint.connect(0));
        assertEquals(1, rig.endpoint.tally().connectionsRefused);
    }

    /** Over every window of whatever length, no more than the burst and the rate times its length get in. */
    @Test
    void aRateHoldsOverEveryWindowAndATokenIsThereWhenTold() {
        SplittableRandom random = new SplittableRandom(3);
        Limit.Rate rate = new Limit.Rate(7, 3, false);
        Meter meter = new Meter(rate, 0);
        long now = 0;
        List<Long> in = new ArrayList<>();
        for (int i = 0; i < 20_000; i++) {
            now += random.nextInt(10) == 0 ? random.nextLong(ms(3_000)) : random.nextLong(ms(60));
            if (meter.take(now)) {
                in.add(now);
            } else {
                long opens = meter.opensAt(now);
                assertTrue(opens > now);
                if (random.nextInt(3) == 0) {
                    now = opens;
                    assertTrue(meter.take(now), "no room at the end of the told wait");
                    in.add(now);
                }
            }
        }
        double least = Double.MAX_VALUE;
        for (int i = 0; i < in.size(); i++) {
            // Calls i..j within t: j - i + 1 <= 3 + 7 t, for all pairs at once by the least of i - 7 t_i.
            least = Math.min(least, i - 7 * in.get(i) / 1e9);
            assertTrue(i + 1 - 7 * in.get(i) / 1e9 - least <= 3 + 1e-6, "window that ends at call " + i);
        }
        assertTrue(in.size() > 5_000);
    }

    /** Each span takes exactly its count, and refused calls use it up where the script says so. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void aSpanHoldsItsCountExactly(boolean refusedUse) {
        SplittableRandom random = new SplittableRandom(4);
        Meter meter = new Meter(new Limit.Span(5, ms(1_000), refusedUse), 0);
        int[] in = new int[200];
        for (long now = 0; now < ms(200_000); now += random.nextLong(ms(100))) {
            if (random.nextInt(4) == 0) {
                meter.refused(now);
            }
            if (meter.take(now)) {
                in[(int) (now / ms(1_000))]++;
            } else {
                assertEquals(ms(1_000) * (now / ms(1_000) + 1), meter.opensAt(now));
            }
        }
        for (int count : in) {
            assertTrue(refusedUse ? count <= 5 : count == 5, count + " in a span");
        }
        assertEquals(refusedUse, java.util.Arrays.stream(in).sum() < 5 * in.length);
    }

    /** Several messages in one call use one place of the limit and one server, and each of them takes effect once. */
    @Test
    void aCallOfSeveralMessagesCountsOnceAndEachTakesEffect() {
        Rig rig = new Rig(
                with(plain(), 1, new Law.Constant(ms(100)), 0, new Limit.Span(1, ms(10_000), false)), List.of());
        Call first = new Call("relay", "a", "key-a", false);
        first.together(List.of(new Call("relay", "b", "key-b", false), new Call("relay", "c", null, false)));
        rig.endpoint.arrive(0, first);
        rig.run(200);
        assertEquals(List.of("100 a Delivered"), rig.answers());
        for (String id : List.of("a", "b", "c")) {
            assertEquals(1, rig.ledger.effects(id), id);
            assertEquals(ms(100), rig.ledger.deliveredAt(id), id);
        }
        rig.send(300);
        assertEquals("300 m1 Refused", rig.answers().get(1));
    }

    /** Reports show the value of an instant a refresh apart, so much later, whatever came between. */
    @Test
    void loadReportsAreOldByTheirDelay() {
        PartnerSpec s = with(plain(), 50, new Law.Constant(ms(10)), 50, new Limit.Span(10, ms(10_000), false));
        s = new PartnerSpec(
                s.name(),
                1,
                "kind",
                1,
                true,
                50,
                s.service(),
                50,
                s.limit(),
                s.waits(),
                new PartnerSpec.Reports(ms(500), ms(100)),
                s.connections(),
                s.keys(),
                s.cold(),
                s.abandoned(),
                1,
                1,
                s.endpoints());
        Rig rig = new Rig(s, List.of());
        rig.send(1);
        rig.send(2);
        rig.send(550);
        rig.send(620);
        rig.run(1_000);
        List<Double> left = rig.got.stream()
                .map(g -> ((Answer.Delivered) g.answer()).load())
                .map(l -> l == null ? -1 : l.left())
                .toList();
        // At 11 and 12 ms nothing is old enough; at 560 ms the value of 0 is shown; at 630 ms that of 500.
        assertEquals(List.of(-1.0, -1.0, 1.0, 0.8), left);
    }
}
