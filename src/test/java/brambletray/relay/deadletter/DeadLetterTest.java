package brambletray.relay.deadletter;

import static org.junit.jupiter.api.Assertions.*;

import brambletray.relay.deadletter.ClassRules.Effect;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** What may be sent again, when, and how many: by the table of cases that docs/kept.md names. */
class DeadLetterTest {
    private static final long NOW = 1_790_000_000_000L;
    private static final long WINDOW = 15_000;
    private static final Send RAN = new Send(NOW - 5_000, 0, true);
    private static final Send NEVER = new Send(NOW - 6_000, 0, false);

    private static KeptMessage message(Effect effect, String key, Send... sends) {
        return new KeptMessage(
                1,
                "m",
                "bill",
                new ClassRules(effect, WINDOW, false),
                0,
                null,
                key,
                7,
                NOW - 3_000,
                NOW - 2_000,
                "out of time",
                0,
                List.of(sends),
                0,
                10,
                false);
    }

    private static KeptMessage doubtful(KeptMessage m) {
        return new KeptMessage(
                m.number(),
                m.id(),
                m.messageClass(),
                m.rules(),
                0,
                null,
                m.key(),
                7,
                m.deadline(),
                m.ended(),
                m.reason(),
                0,
                m.sends(),
                0,
                10,
                true);
    }

    private static String judged(KeptMessage m, long now) {
        return judged(m, 7, null, now, 0);
    }

    private static String judged(KeptMessage m, long to, Judge.NotDone proof, long now, int epoch) {
        Judgement j = Judge.judge(m, to, proof, now, epoch);
        return j instanceof Judgement.May may ? "may, bound by " + may.history().size() : "proof";
    }

    @Test
    void whatNeverRanMayGoAtAnyTimeAndAnywhere() {
        for (Effect effect : Effect.values()) {
            KeptMessage m = message(effect, "k", NEVER, NEVER);
            assertEquals("may, bound by 0", judged(m, NOW + 86_400_000));
            assertEquals("may, bound by 0", judged(m, 8, null, NOW, 3));
            assertEquals(
                    effect == Effect.SAFE ? "may, bound by 0" : "proof",
                    judged(doubtful(m), NOW),
                    "records may be missing");
        }
    }

    @Test
    void unsafeThatMayHaveRunNeedsProof() {
        assertEquals("proof", judged(message(Effect.UNSAFE, "k", RAN), NOW));
        assertEquals("may, bound by 1", judged(message(Effect.SAFE, null, RAN, NEVER), NOW));
    }

    /** The window is reckoned from the earliest send, and a margin of it must be left. */
    @Test
    void keyedGoesOnlyInsideItsWindowAtItsOwnDestination() {
        KeptMessage m = message(Effect.KEYED, "k", RAN, new Send(NOW - 1_000, 0, true), NEVER);
        assertEquals("may, bound by 2", judged(m, NOW));
        long last = RAN.sent() + WINDOW - Judge.MARGIN;
        assertEquals("may, bound by 2", judged(m, last));
        assertEquals("proof", judged(m, last + 1));
        assertEquals("proof", judged(m, 8, null, NOW, 0), "another destination does not know the key");
        assertEquals("proof", judged(message(Effect.KEYED, null, RAN), NOW), "no key");
    }

    /** A clock that went back makes a key look younger than it is. */
    @Test
    void aClockThatWentBackLeavesNoWindow() {
        KeptMessage m = message(Effect.KEYED, "k", RAN);
        assertEquals("proof", judged(m, 7, null, NOW, 1), "another epoch");
        assertEquals("proof", judged(m, NOW - 3_600_000), "before its own end");
        assertEquals("proof", judged(m, NOW + 3_600_000), "an hour forward: the window is over");
    }

    @Test
    void aWordThatItWasNotDoneCountsForSendsBeforeIt() {
        KeptMessage m = message(Effect.UNSAFE, null, RAN);
        assertEquals("may, bound by 0", judged(m, 7, new Judge.NotDone("ann", "asked them", NOW - 1_000), NOW, 0));
        assertEquals(
                "proof",
                judged(m, 7, new Judge.NotDone("ann", "asked them", NOW - 2_500), NOW, 0),
                "older than its end");
        KeptMessage later = m.again(List.of(RAN, new Send(NOW, 0, true)), NOW + 1, "out of time", 0);
        assertEquals("proof", judged(later, 7, new Judge.NotDone("ann", "asked them", NOW - 1_000), NOW + 2, 0));
        assertEquals(1, later.redrives());
    }

    private static Rule rule(String name, int times, double perSecond, long olderThan) {
        return new Rule(
                name, Set.of(), Set.of(), Set.of(), olderThan, times, new Rule.SendAgain(4_000, perSecond, 0, 0, 0));
    }

    private static KeptMessage numbered(int number) {
        KeptMessage m = message(Effect.SAFE, null);
        return new KeptMessage(
                number,
                "m" + number,
                m.messageClass(),
                m.rules(),
                0,
                null,
                null,
                7,
                m.deadline(),
                m.ended(),
                m.reason(),
                0,
                m.sends(),
                0,
                10,
                false);
    }

    /** A partner that returns cold gets one redrive, then more with each that it takes; none once it fails again. */
    @Test
    void redrivesOpenByDeliveriesAndStopByFailures() {
        Redrives r = new Redrives(List.of(rule("all", 9, 1_000, 0)), null);
        long now = NOW;
        List<Integer> widths = new ArrayList<>();
        for (int round = 0; round < 10; round++) {
            now += 1_000;
            int out = 0;
            while (r.decide(numbered(out), null, now, 0) instanceof Redrives.Go go) {
                r.begun(go, now);
                out++;
            }
            widths.add(out);
            for (int i = 0; i < out; i++) {
                r.delivered(7);
            }
        }
        assertEquals(List.of(1, 2, 4, 8, 8, 8, 8, 8, 8, 8), widths);
        long rest = Redrives.REST;
        for (int failure = 0; failure < 12; failure++) {
            Redrives.Go go = (Redrives.Go) r.decide(numbered(1), null, now, 0);
            r.begun(go, now);
            r.failed(7, 0, now);
            assertTrue(r.decide(numbered(1), null, now + rest - 1, 0) instanceof Redrives.Wait);
            now += rest;
            rest = Math.min(Redrives.REST_MOST, rest * 2);
        }
        assertEquals(0, r.outTo(7));
        // A wait that was told is longer than any rest.
        r.begun((Redrives.Go) r.decide(numbered(1), null, now, 0), now);
        r.failed(7, 2 * Redrives.REST_MOST, now);
        assertTrue(r.decide(numbered(1), null, now + 2 * Redrives.REST_MOST - 1, 0) instanceof Redrives.Wait);
    }

    /** A hundred thousand messages of one rule leave at its rate, over many destinations. */
    @Test
    void aRuleKeepsItsRate() {
        Redrives r = new Redrives(List.of(rule("all", 9, 20, 0)), null);
        int gone = 0;
        for (long now = NOW; now < NOW + 60_000; now += 50) {
            for (int d = 0; d < 40; d++) {
                KeptMessage m = numbered(d);
                m = new KeptMessage(
                        d,
                        m.id(),
                        m.messageClass(),
                        m.rules(),
                        0,
                        null,
                        null,
                        gone,
                        m.deadline(),
                        m.ended(),
                        m.reason(),
                        0,
                        m.sends(),
                        0,
                        10,
                        false);
                if (r.decide(m, null, now, 0) instanceof Redrives.Go go) {
                    r.begun(go, now);
                    gone++;
                }
            }
        }
        assertTrue(gone >= 1_190 && gone <= 1_221, "in a minute at 20 a second: " + gone);
    }

    @Test
    void theFirstRuleThatMatchesDecidesAndSaysWhy() {
        Rule hold = new Rule("hold", Set.of("bill"), Set.of(7L), Set.of(), 0, 3, new Rule.Hold());
        Rule late = rule("late", 1, 10, 3_000);
        assertEquals(
                "hold: holds it for a person",
                ((Redrives.Wait) new Redrives(List.of(hold, late), null).decide(numbered(1), null, NOW, 0)).why());
        Redrives r = new Redrives(List.of(late), null);
        assertEquals("late: not old enough", ((Redrives.Wait) r.decide(numbered(1), null, NOW, 0)).why());
        assertTrue(r.decide(numbered(1), null, NOW + 1_000, 0) instanceof Redrives.Go);
        KeptMessage again = numbered(1).again(List.of(), NOW, "refused", 0);
        assertEquals("late: sent again 1 times already", ((Redrives.Wait) r.decide(again, null, NOW + 5_000, 0)).why());
        Rule given = new Rule("over", Set.of(), Set.of(), Set.of("out of"), 0, 3, new Rule.GiveUp());
        assertTrue(new Redrives(List.of(given), null).decide(numbered(1), null, NOW, 0) instanceof Redrives.End);
        assertTrue(new Redrives(List.of(given), null).decide(again, null, NOW, 0) instanceof Redrives.Wait);
    }

    @Test
    void hoursGoOverMidnight() {
        Rule.SendAgain night = new Rule.SendAgain(1, 1, 22, 5, 0);
        Rule.SendAgain day = new Rule.SendAgain(1, 1, 5, 22, 0);
        for (int hour = 0; hour < 24; hour++) {
            assertEquals(hour >= 22 || hour < 5, night.open(hour * 3_600_000L), "hour " + hour);
            assertEquals(hour >= 5 && hour < 22, day.open(hour * 3_600_000L), "hour " + hour);
        }
    }
}
