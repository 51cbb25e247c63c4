package brambletray.tray.creed;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/**
 * What members agree on: one of two changes on one base, the same answer for a change sent again, the same state
 * everywhere.
 */
class CharterTest {
    private final Charter charter = new Charter();

    private static byte[] move(long revision, String service) {
        String route = Sample.route("r1", "h.example", "/one/", service);
        return Sample.bytes("{'revision':" + revision + ",'upsert':{'routes':[" + route + "]}}");
    }

    private byte[] fine(Verb verb, long base, byte[] body) {
        return assertInstanceOf(Verdict.Fine.class, charter.judge(verb, base, body))
                .change();
    }

    private void take(Verb verb, long base, byte[] body) {
        assertInstanceOf(Verdict.Taken.class, charter.deliver(fine(verb, base, body)));
    }

    @Test
    void theFirstBuildsOnNothing() {
        assertEquals(new Verdict.Stale(0), charter.judge(Verb.REPLACE, 5, Sample.bytes(Sample.two(7))));
        byte[] change = fine(Verb.REPLACE, 0, Sample.bytes(Sample.two(7)));
        assertEquals(0, charter.creed().revision(), "judged only");
        assertEquals(
                7,
                assertInstanceOf(Verdict.Taken.class, charter.deliver(change))
                        .creed()
                        .revision());
        assertEquals(7, charter.creed().revision());
    }

    @Test
    void oneOfTwoOnTheSameBasePrevails() {
        take(Verb.REPLACE, 0, Sample.bytes(Sample.two(7)));
        byte[] one = fine(Verb.MODIFY, 7, move(9, "b"));
        byte[] other = fine(Verb.REPLACE, 7, Sample.bytes(Sample.two(12)));
        assertInstanceOf(Verdict.Taken.class, charter.deliver(one));
        assertEquals(new Verdict.Stale(9), charter.deliver(other));
        assertEquals(9, charter.creed().revision());
        assertEquals(new Verdict.Stale(9), charter.judge(Verb.REPLACE, 7, Sample.bytes(Sample.two(12))));
    }

    @Test
    void sentAgainAfterItWasTaken() {
        byte[] first = Sample.bytes(Sample.two(7));
        take(Verb.REPLACE, 0, first);
        byte[] twice = fine(Verb.MODIFY, 7, move(9, "b"));
        assertInstanceOf(Verdict.Taken.class, charter.deliver(twice));
        assertEquals(new Verdict.TakenBefore(9), charter.deliver(twice), "put into the order by two members");
        take(Verb.MODIFY, 9, move(11, "a"));
        assertEquals(new Verdict.TakenBefore(7), charter.judge(Verb.REPLACE, 0, first));
        assertEquals(new Verdict.TakenBefore(9), charter.judge(Verb.MODIFY, 7, move(9, "b")));
        assertEquals(new Verdict.Stale(11), charter.judge(Verb.REPLACE, 7, first), "the same body on another base");
        assertEquals(new Verdict.Stale(11), charter.judge(Verb.REPLACE, 9, move(11, "a")), "by another verb");
        assertEquals(11, charter.creed().revision());
    }

    @Test
    void invalidOnesChangeNothing() {
        take(Verb.REPLACE, 0, Sample.bytes(Sample.two(7)));
        byte[] before = charter.snapshot();
        Verdict.Invalid invalid = assertInstanceOf(Verdict.Invalid.class, charter.judge(Verb.MODIFY, 7, move(9, "z")));
        assertEquals("creed.unknown-service", invalid.fault().code());
        assertInstanceOf(Verdict.Invalid.class, charter.judge(Verb.REPLACE, 7, Sample.bytes(Sample.two(7))));
        assertInstanceOf(Verdict.Invalid.class, charter.judge(Verb.REPLACE, 7, new byte[CreedJson.LARGEST + 1]));
        assertInstanceOf(Verdict.Invalid.class, charter.deliver(new Change(Verb.MODIFY, 7, move(9, "z")).bytes()));
        assertInstanceOf(Verdict.Invalid.class, charter.deliver(new byte[] {9, 9, 9}));
        assertArrayEquals(before, charter.snapshot());
        take(Verb.MODIFY, 7, move(9, "b"));
    }

    /**
     * Drawn changes, half of them misfits, at three members: one that judges, one that follows, one that joins by a
     * snapshot midway.
     */
    @Test
    void allMembersComeToTheSameState() {
        long seed = 20_260_417;
        Random random = new Random(seed);
        Charter follower = new Charter();
        Charter joiner = null;
        List<byte[]> changes = new ArrayList<>();
        take(Verb.REPLACE, 0, Sample.bytes(Sample.two(1)));
        follower.deliver(new Change(Verb.REPLACE, 0, Sample.bytes(Sample.two(1))).bytes());
        for (int i = 0; i < 300; i++) {
            long current = charter.creed().revision();
            long base = current - random.nextInt(2);
            long revision = current + random.nextInt(4);
            Verb verb = random.nextInt(20) == 0 ? Verb.REPLACE : Verb.MODIFY;
            byte[] body = verb == Verb.REPLACE
                    ? Sample.bytes(Sample.two(revision))
                    : move(revision, List.of("a", "b", "z").get(random.nextInt(3)));
            boolean again = random.nextInt(5) == 0 && !changes.isEmpty();
            byte[] change = again ? changes.get(random.nextInt(changes.size())) : new Change(verb, base, body).bytes();
            changes.add(change);
            if (i == 150) {
                joiner = new Charter();
                joiner.restore(charter.snapshot());
            }
            charter.judge(verb, base, body);
            charter.deliver(change);
            follower.deliver(change);
            if (joiner != null) {
                joiner.deliver(change);
                assertArrayEquals(charter.snapshot(), joiner.snapshot(), "seed " + seed + ", change " + i);
            }
            assertArrayEquals(charter.snapshot(), follower.snapshot(), "seed " + seed + ", change " + i);
        }
        assertTrue(charter.creed().revision() > 50, "too few were taken");
    }

    /** Whatever number a configuration may have, the next can name it as its base. */
    @Test
    void theHighestNumbersAreBasesToo() {
        long high = Long.MAX_VALUE - 1;
        take(Verb.REPLACE, 0, Sample.bytes(Sample.two(high)));
        take(Verb.MODIFY, Charter.base(Long.toString(high)), move(Long.MAX_VALUE, "b"));
        assertEquals(Long.MAX_VALUE, charter.creed().revision());
    }

    @Test
    void aSnapshotRemembersWhatWasTaken() {
        Charter empty = new Charter();
        empty.restore(charter.snapshot());
        assertEquals(0, empty.creed().revision());
        take(Verb.REPLACE, 0, Sample.bytes(Sample.two(7)));
        take(Verb.MODIFY, 7, move(9, "b"));
        byte[] snapshot = charter.snapshot();
        Charter other = new Charter();
        other.restore(snapshot);
        assertEquals(new Verdict.TakenBefore(9), other.judge(Verb.MODIFY, 7, move(9, "b")));
        assertEquals("b", other.creed().match("h.example", "/one/").pick(0));
        byte[] judged = fine(Verb.MODIFY, 9, Sample.bytes("{'revision':11}"));
        take(Verb.MODIFY, 9, Sample.bytes("{'revision':12}"));
        Charter apart = new Charter();
        apart.deliver(new Change(Verb.REPLACE, 0, Sample.bytes(Sample.two(9).replace("/one/", "/uno/"))).bytes());
        apart.judge(Verb.MODIFY, 9, Sample.bytes("{'revision':11}"));
        apart.restore(snapshot);
        assertArrayEquals(snapshot, apart.snapshot(), "nothing of the former state stays");
        apart.deliver(judged);
        assertEquals(
                "r1", apart.creed().match("h.example", "/one/").name(), "what was judged before was of another state");
        other.restore(new byte[0]);
        assertEquals(0, other.creed().revision(), "empty bytes are the state before the first change");
        assertEquals(new Verdict.Stale(0), other.judge(Verb.MODIFY, 7, move(9, "b")));
        other.restore(snapshot);
        for (int length : new int[] {3, 20, snapshot.length - 1}) {
            assertThrows(
                    CreedFault.class,
                    () -> other.restore(Arrays.copyOf(snapshot, length)),
                    () -> "taken with " + length + " bytes");
        }
        snapshot[0] = 77;
        assertEquals(
                "creed.bad-snapshot",
                assertThrows(CreedFault.class, () -> other.restore(snapshot)).code());
        assertEquals(9, other.creed().revision(), "a bad snapshot changes nothing");
    }

    @Test
    void onlySoManyAreRemembered() {
        take(Verb.REPLACE, 0, Sample.bytes(Sample.two(1)));
        for (int i = 1; i <= Charter.REMEMBERED; i++) {
            take(Verb.MODIFY, i, move(i + 1, "a"));
        }
        assertEquals(
                new Verdict.Forgotten(2),
                charter.judge(Verb.REPLACE, 0, Sample.bytes(Sample.two(1))),
                "it was taken: not refused");
        assertEquals(
                new Verdict.Forgotten(2),
                charter.deliver(new Change(Verb.REPLACE, 0, Sample.bytes(Sample.two(1))).bytes()));
        assertEquals(
                new Verdict.Stale(Charter.REMEMBERED + 1),
                charter.judge(Verb.MODIFY, 2, move(3, "b")),
                "that base is remembered");
        assertEquals(new Verdict.TakenBefore(2), charter.judge(Verb.MODIFY, 1, move(2, "a")));
        Charter other = new Charter();
        other.restore(charter.snapshot());
        assertArrayEquals(charter.snapshot(), other.snapshot());
        assertEquals(new Verdict.TakenBefore(2), other.judge(Verb.MODIFY, 1, move(2, "a")));
        assertEquals(new Verdict.Forgotten(2), other.judge(Verb.MODIFY, 0, move(2, "a")));
    }
}
