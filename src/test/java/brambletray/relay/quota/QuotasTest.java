package brambletray.relay.quota;

import static org.junit.jupiter.api.Assertions.*;

import brambletray.relay.admission.QuotaFile;
import brambletray.relay.quota.Crowd.Source;
import brambletray.relay.quota.Member.Asked;
import brambletray.relay.quota.Member.Dimension;
import brambletray.relay.quota.Member.Limit;
import brambletray.relay.quota.Member.Match;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Limits, shares and loans, in virtual time. */
class QuotasTest {
    private static final long MS = Crowd.MS;
    private static final long SECOND = Crowd.SECOND;
    private static final int TREES = Integer.getInteger("trees", 15);

    private static String org(String name, int share, String more) {
        return "  - {name: " + name + ", share: {messages: " + share + "}, match: {tenant: " + name + "}" + more
                + "}\n";
    }

    private static String two(int limit, int a, int b) {
        return "name: all\nlimits: [{messages: " + limit + ", in_s: 1}]\nmembers:\n" + org("a", a, "")
                + org("b", b, "");
    }

    private static Member random(SplittableRandom random, String above, int depth, long parentSecond) {
        String name = depth == 1 ? "all" : "n" + random.nextInt(1_000_000);
        String path = above.isEmpty() ? name : above + "/" + name;
        List<Limit> limits = new ArrayList<>();
        if (depth == 1 || random.nextInt(3) > 0) {
            for (long window : new long[] {SECOND, 10 * SECOND, 60 * SECOND}) {
                if (window == SECOND || random.nextInt(3) == 0) {
                    limits.add(new Limit(
                            Dimension.MESSAGES, window, Math.max(1, random.nextInt(60) * window / SECOND / 2)));
                }
                if (random.nextInt(4) == 0) {
                    limits.add(new Limit(Dimension.BYTES, window, 500 + random.nextInt(20_000) * window / SECOND));
                }
            }
        }
        Member sketch = new Member(name, path, limits, Long.MAX_VALUE, Map.of(), 0, 1, 0, true, Match.ANY, List.of());
        long second = Math.min(parentSecond, sketch.aSecond(Dimension.MESSAGES));
        List<Member> below = new ArrayList<>();
        int many = depth < 4 ? random.nextInt(4) : 0;
        for (int i = 0; i < many; i++) {
            below.add(random(random, path, depth + 1, Math.max(1, second / Math.max(1, many))));
        }
        Map<Dimension, Long> share = new EnumMap<>(Dimension.class);
        if (depth > 1 && parentSecond != Long.MAX_VALUE && random.nextBoolean()) {
            share.put(Dimension.MESSAGES, Math.max(1, Math.min(second, parentSecond)));
        }
        return new Member(
                name,
                path,
                limits,
                random.nextInt(4) == 0 ? 1 + random.nextInt(50) : Long.MAX_VALUE,
                share,
                0,
                1 + random.nextInt(5),
                random.nextInt(3),
                random.nextInt(4) > 0,
                many == 0 && depth > 1 ? new Match(path, null, List.of()) : Match.ANY,
                below);
    }

    private static void leaves(Member m, List<String> paths) {
        if (m.members().isEmpty()) {
            paths.add(m.path());
        }
        m.members().forEach(b -> leaves(b, paths));
    }

    /**
     * Whatever the tree, and whoever asks when: every limit holds over every window. -Dtrees=100 for ten million
     * decisions.
     */
    @Test
    void everyLimitHoldsOverEveryWindow() {
        long decisions = 0;
        long taken = 0;
        for (int seed = 1; seed <= TREES; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            Crowd crowd = new Crowd(random(random, "", 1, Long.MAX_VALUE));
            List<String> paths = new ArrayList<>();
            leaves(crowd.tree, paths);
            for (int step = 0; step < 120; step++) {
                Source s = crowd.source(
                        paths.get(random.nextInt(paths.size())), random.nextInt(3) == 0 ? 0 : random.nextInt(120));
                s.bytes = 1 + random.nextInt(random.nextInt(5) == 0 ? 5_000 : 200);
                s.heldFor = random.nextInt(2) * random.nextInt(2_000_000);
                crowd.pass(1 + random.nextInt(1_000_000));
            }
            assertEquals(List.of(), crowd.violations(), "seed " + seed);
            decisions += crowd.sources.values().stream()
                    .mapToLong(s -> s.taken + s.refused)
                    .sum();
            taken += crowd.all.size();
        }
        System.out.println(decisions + " decisions, " + taken + " taken on, over " + TREES + " trees: no limit broken");
        assertTrue(taken > 1_000 && decisions > taken);
    }

    /**
     * A borrower at full speed when the lender's own peak begins: the lender has its share from the first second on.
     */
    @Test
    void aLenderHasItsShareWithinASecond() throws Exception {
        double[] parts = new double[60];
        for (int i = 0; i < parts.length; i++) {
            Crowd crowd = new Crowd(two(100, 30, 70));
            crowd.source("a", 37 + i * 20);
            crowd.pass(5 * SECOND + i * 13 * MS);
            long asks = crowd.now;
            crowd.source("b", 90);
            crowd.pass(3 * SECOND);
            parts[i] = crowd.taken("all/b", asks, asks + SECOND) / 70.0;
            assertTrue(crowd.taken("all/b", asks + SECOND, asks + 2 * SECOND) >= 69, "the second after");
            assertEquals(List.of(), crowd.violations());
        }
        Arrays.sort(parts);
        System.out.printf(
                "a lender's part of its share in the second after it asks: least %.2f, 1 %% %.2f, 50 %% %.2f%n",
                parts[0], parts[0], parts[30]);
        assertTrue(parts[0] >= 0.95, "least " + parts[0]);
    }

    @Test
    void whatIsIdleIsLent() throws Exception {
        Crowd crowd = new Crowd(two(100, 30, 70));
        crowd.source("a", 300);
        crowd.pass(10 * SECOND);
        long of = crowd.taken("all/a", crowd.now - 8 * SECOND, crowd.now);
        assertTrue(of >= 0.95 * 800, "of 800: " + of);
    }

    @Test
    void whatIsNotLentStaysIdle() throws Exception {
        Crowd crowd = new Crowd("name: all\nlimits: [{messages: 100, in_s: 1}]\nmembers:\n" + org("a", 30, "")
                + org("b", 60, ", lends: false"));
        crowd.source("a", 300);
        crowd.pass(10 * SECOND);
        long of = crowd.taken("all/a", crowd.now - 5 * SECOND, crowd.now);
        assertTrue(of <= 200 && of >= 190, "of 40 a second in 5 s: " + of);
        crowd.source("b", 60);
        crowd.pass(2 * SECOND);
        assertTrue(
                crowd.taken("all/b", crowd.now - 2 * SECOND, crowd.now) >= 118,
                "nobody else has its share at any time");
    }

    /** Ten lend to one, and all ask back at once. */
    @Test
    void allAskBackAtOnce() throws Exception {
        StringBuilder yaml =
                new StringBuilder("name: all\nlimits: [{messages: 110, in_s: 1}]\nmembers:\n" + org("big", 10, ""));
        for (int i = 0; i < 10; i++) {
            yaml.append(org("s" + i, 10, ""));
        }
        Crowd crowd = new Crowd(yaml.toString());
        crowd.source("big", 1_000);
        crowd.pass(4 * SECOND);
        long asks = crowd.now;
        for (int i = 0; i < 10; i++) {
            crowd.source("s" + i, 11);
        }
        crowd.pass(4 * SECOND);
        for (int i = 0; i < 10; i++) {
            long first = crowd.taken("all/s" + i, asks, asks + SECOND);
            long second = crowd.taken("all/s" + i, asks + SECOND, asks + 2 * SECOND);
            assertTrue(first >= 9 && second >= 9, "s" + i + ": " + first + ", " + second);
        }
        assertTrue(crowd.taken("all/big", asks + SECOND, asks + 4 * SECOND) >= 27, "and the borrower keeps its own");
        assertEquals(List.of(), crowd.violations());
    }

    @Test
    void aLenderThatFlaps() throws Exception {
        Crowd crowd = new Crowd(two(100, 20, 80));
        crowd.source("a", 300);
        crowd.pass(3 * SECOND);
        long begin = crowd.now;
        long own = 0;
        for (int i = 0; i < 10; i++) {
            long on = crowd.now;
            crowd.source("b", 80);
            crowd.pass(900 * MS);
            own += crowd.taken("all/b", on, crowd.now);
            crowd.source("b", 0);
            crowd.pass(900 * MS);
        }
        assertTrue(own >= 0.9 * 10 * 72, "of its own in 10 times 0.9 s: " + own);
        long all = crowd.taken("all", begin, crowd.now);
        assertTrue(all >= 0.85 * 100 * 18, "and the rest is in use: " + all + " of 1800");
    }

    /** A lends to B's organisation, B's peak begins inside it, then A's. */
    @Test
    void chainsOfLending() throws Exception {
        Crowd crowd = new Crowd("""
            name: all
            limits: [{messages: 100, in_s: 1}]
            members:
              - {name: a, share: {messages: 50}, match: {tenant: a}}
              - name: org
                share: {messages: 50}
                members:
                  - {name: b, share: {messages: 40}, match: {tenant: b}}
                  - {name: c, share: {messages: 10}, match: {tenant: c}}
            """);
        crowd.source("c", 300);
        crowd.pass(4 * SECOND);
        assertTrue(crowd.taken("all/org/c", crowd.now - 2 * SECOND, crowd.now) >= 190, "c has all");
        long b = crowd.now;
        crowd.source("b", 45);
        crowd.pass(2 * SECOND);
        assertTrue(
                crowd.taken("all/org/b", b, b + SECOND) >= 38,
                "b has its share within a second: " + crowd.taken("all/org/b", b, b + SECOND));
        long a = crowd.now;
        crowd.source("a", 60);
        crowd.pass(3 * SECOND);
        assertTrue(
                crowd.taken("all/a", a, a + SECOND) >= 47, "a within a second: " + crowd.taken("all/a", a, a + SECOND));
        assertTrue(
                crowd.taken("all/org/b", a + SECOND, a + 3 * SECOND) >= 78,
                "b keeps its own: " + crowd.taken("all/org/b", a + SECOND, a + 3 * SECOND));
        long c = crowd.taken("all/org/c", a + SECOND, a + 3 * SECOND);
        assertTrue(c >= 18, "and c its own: " + c);
        assertEquals(List.of(), crowd.violations());
    }

    /** What is lent must not use up the longest window: the lender would have to wait for its end. */
    @Test
    void loansLeaveTheLongWindowsToTheirLenders() throws Exception {
        Crowd crowd = new Crowd("name: all\nlimits: [{messages: 100, in_s: 1}, {messages: 500, in_s: 10}]\nmembers:\n"
                + org("a", 20, "") + org("b", 30, ""));
        crowd.source("a", 300);
        crowd.pass(20 * SECOND);
        long asks = crowd.now;
        crowd.source("b", 40);
        crowd.pass(10 * SECOND);
        assertTrue(crowd.taken("all/b", asks, asks + SECOND) >= 28, "" + crowd.taken("all/b", asks, asks + SECOND));
        assertTrue(
                crowd.taken("all/b", asks + SECOND, asks + 10 * SECOND) >= 0.97 * 270,
                "of 270: " + crowd.taken("all/b", asks + SECOND, asks + 10 * SECOND));
        assertEquals(List.of(), crowd.violations());
    }

    /** Of those that borrow, by weight; a higher priority first. */
    @Test
    void loansGoByWeightAndPriority() throws Exception {
        Crowd crowd = new Crowd("name: all\nlimits: [{messages: 120, in_s: 1}]\nmembers:\n" + org("idle", 90, "")
                + org("a", 10, ", weight: 2") + org("b", 10, ", weight: 1"));
        crowd.source("a", 300);
        crowd.source("b", 300);
        crowd.pass(20 * SECOND);
        double a = crowd.taken("all/a", crowd.now - 10 * SECOND, crowd.now) - 100;
        double b = crowd.taken("all/b", crowd.now - 10 * SECOND, crowd.now) - 100;
        assertTrue(a / b > 1.6 && a / b < 2.4, "lent " + a + " and " + b);
        assertTrue(a + b > 0.93 * 1_000, "in use " + (a + b) + " of 1000");
        Crowd ranked = new Crowd("name: all\nlimits: [{messages: 120, in_s: 1}]\nmembers:\n" + org("idle", 90, "")
                + org("a", 10, ", priority: 1") + org("b", 10, ""));
        ranked.source("a", 300);
        ranked.source("b", 300);
        ranked.pass(20 * SECOND);
        assertTrue(ranked.taken("all/b", ranked.now - 10 * SECOND, ranked.now) >= 95, "nobody starves");
        assertTrue(ranked.taken("all/a", ranked.now - 10 * SECOND, ranked.now) > 900);
    }

    /** A limit is reached at the last microsecond of a window; the next fits when the first has left, and no sooner. */
    @Test
    void theEdgesOfAWindow() throws Exception {
        Quotas q = new Quotas(QuotaFile.parse("q.yaml", "name: all\nlimits: [{messages: 2, in_s: 1}]\n"));
        long t = 7 * SECOND;
        assertInstanceOf(Verdict.Taken.class, q.ask(t, asked("1", 1)));
        assertInstanceOf(Verdict.Taken.class, q.ask(t + SECOND - 1, asked("2", 1)));
        Verdict.Refused early = (Verdict.Refused) q.ask(t + SECOND - 1, asked("3", 1));
        assertTrue(early.after() >= 1 && early.after() <= SECOND / 60, "told " + early.after());
        assertInstanceOf(Verdict.Taken.class, q.ask(t + SECOND - 1 + early.after(), asked("3", 1)));
        assertInstanceOf(Verdict.Refused.class, q.ask(t + SECOND + SECOND / 2, asked("4", 1)));
    }

    private static Asked asked(String id, long bytes) {
        return new Asked(id, "a", "c", 1, bytes);
    }

    /**
     * A clump, or one message, that is larger than its window's limit never fits, and is told so; a clump comes in by
     * parts.
     */
    @Test
    void whatNeverFits() throws Exception {
        Quotas q = new Quotas(
                QuotaFile.parse("q.yaml", "name: all\nlimits: [{bytes: 1000, in_s: 10}, {messages: 5, in_s: 1}]\n"));
        Verdict.Refused never = (Verdict.Refused) q.ask(SECOND, asked("1", 1_001));
        assertEquals(Window.NEVER, never.after());
        assertEquals("1000 bytes in 10 s", never.limit());
        long at = SECOND;
        int taken = 0;
        for (int i = 0; taken < 12; i++) {
            assertTrue(i < 100);
            Verdict v = q.ask(at, asked("m" + i, 1));
            taken += v instanceof Verdict.Taken ? 1 : 0;
            at += v instanceof Verdict.Refused r ? r.after() : 0;
        }
        assertTrue(at >= 3 * SECOND && at < 3.2 * SECOND, "in " + (at - SECOND));
    }

    /**
     * Two dimensions: many small messages stop at one, few large ones at the other, and neither takes the other's room.
     */
    @Test
    void twoDimensions() throws Exception {
        Crowd crowd = new Crowd("""
            name: all
            limits: [{messages: 200, in_s: 1}, {bytes: 100000, in_s: 1}]
            members:
              - {name: heavy, share: {messages: 10, bytes: 50000}, match: {tenant: heavy}}
              - {name: small, share: {messages: 150, bytes: 20000}, match: {tenant: small}}
            """);
        crowd.source("heavy", 40).bytes = 20_000;
        crowd.source("small", 170).bytes = 100;
        crowd.pass(12 * SECOND);
        long small = crowd.taken("all/small", crowd.now - 10 * SECOND, crowd.now);
        long heavy = crowd.taken("all/heavy", crowd.now - 10 * SECOND, crowd.now);
        assertTrue(small >= 1_480, "small ones: " + small);
        assertTrue(heavy >= 20 && heavy <= 50, "large ones: " + heavy);
        assertEquals(List.of(), crowd.violations());
    }

    /** Room among messages held, on loan: the newest that waits is handed back; what was sent is not. */
    @Test
    void whatWaitsOnLoanIsHandedBack() throws Exception {
        Quotas q = new Quotas(
                QuotaFile.parse(
                        "q.yaml",
                        "name: all\nheld: 10\nmembers:\n"
                                + "  - {name: a, share: {held: 4}, match: {tenant: a}}\n  - {name: b, share: {held: 6}, match: {tenant: b}}\n"));
        for (int i = 0; i < 10; i++) {
            assertInstanceOf(Verdict.Taken.class, q.ask(SECOND, new Asked("a" + i, "a", "c", 1, 1)));
        }
        q.sent("a9");
        q.sent("a8");
        Verdict.Refused first = (Verdict.Refused) q.ask(2 * SECOND, new Asked("b1", "b", "c", 1, 1));
        assertEquals(List.of("a7"), first.recall());
        q.ended("a7");
        assertInstanceOf(Verdict.Refused.class, q.ask(2 * SECOND, new Asked("a10", "a", "c", 1, 1)), "kept for b");
        assertInstanceOf(Verdict.Taken.class, q.ask(2 * SECOND + 1, new Asked("b1", "b", "c", 1, 1)));
        for (int i = 2; i < 7; i++) {
            Verdict v = q.ask(2 * SECOND + i, new Asked("b" + i, "b", "c", 1, 1));
            if (v instanceof Verdict.Refused r) {
                r.recall().forEach(q::ended);
                v = q.ask(2 * SECOND + i, new Asked("b" + i, "b", "c", 1, 1));
            }
            assertInstanceOf(Verdict.Taken.class, v, "b" + i);
        }
        Verdict.Refused past = (Verdict.Refused) q.ask(3 * SECOND, new Asked("b7", "b", "c", 1, 1));
        assertEquals(List.of(), past.recall(), "beyond its share b has no right to a's");
    }

    /**
     * Another file: lower limits bind by what is out, a member that is gone keeps what it holds, and what was used
     * counts on.
     */
    @Test
    void anotherFile() throws Exception {
        Quotas q = new Quotas(QuotaFile.parse("q.yaml", two(100, 50, 50)));
        for (int i = 0; i < 60; i++) {
            q.ask(SECOND + i * 10 * MS, new Asked("a" + i, "a", "c", 1, 1));
        }
        long t = SECOND + 600 * MS;
        q.reload(
                t,
                QuotaFile.parse(
                        "q.yaml", "name: all\nlimits: [{messages: 20, in_s: 1}]\nmembers:\n" + org("b", 10, "")));
        assertInstanceOf(Verdict.Waits.class, q.ask(t, new Asked("x", "b", "c", 1, 1)), "60 are out of 20");
        q.ended("x");
        assertEquals(60, q.standing(t, Dimension.MESSAGES).get(0).held());
        assertNotNull(q.member("all/a"), "while it holds messages");
        for (int i = 0; i < 60; i++) {
            q.ended("a" + i);
        }
        assertNull(q.member("all/a"));
        assertEquals(0, q.standing(t, Dimension.MESSAGES).get(0).held());
        assertInstanceOf(Verdict.Taken.class, q.ask(t + SECOND, new Asked("y", "b", "c", 1, 1)));
        assertEquals("all", q.pathOf(new Asked("z", "a", "c", 1, 1)), "its messages are the root's now");
        assertThrows(
                IllegalArgumentException.class, () -> q.reload(t + SECOND, QuotaFile.parse("q.yaml", "name: other\n")));
        assertThrows(IllegalArgumentException.class, () -> q.ask(t, asked("back", 1)));
    }

    /** Ten thousand members, most of them idle: they cost nothing of the others' shares. */
    @ParameterizedTest
    @ValueSource(ints = {100, 10_000})
    void manyIdleMembers(int many) throws Exception {
        StringBuilder yaml =
                new StringBuilder("name: all\nlimits: [{messages: " + 2 * many + ", in_s: 1}]\nmembers:\n");
        for (int i = 0; i < many; i++) {
            yaml.append(org("t" + i, 2, ""));
        }
        Crowd crowd = new Crowd(yaml.toString());
        crowd.source("t7", 180);
        crowd.source("t8", 2);
        crowd.pass(5 * SECOND);
        assertTrue(crowd.taken("all/t7", crowd.now - 2 * SECOND, crowd.now) >= 340, "lent to one");
        assertEquals(4, crowd.taken("all/t8", crowd.now - 2 * SECOND, crowd.now), 1);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "name: all\nlimits: [{messages: 10}]|in_s",
                "name: a/b|letters",
                "name: all\nlimits: [{in_s: 1}]|messages or bytes",
                "name: all\nlimits: [{messages: 10, in_s: 1}]\nmembers: [{name: a, share: {messages: 11}}]|add up to 11",
                "name: all\nlimits: [{messages: 600, in_s: 60}]\nmembers: [{name: a, share: {messages: 11}}]|bear, 10",
                "name: all\nheld: 3\nmembers: [{name: a, share: {held: 4}}]|held below all add up to 4",
                "name: all\nmembers: [{name: a}, {name: a}]|a name of its own",
                "name: all\ncolour: red|colour",
                "name: all\nmembers: [{name: a, share: {messages: 2}, members: [{name: b, share: {messages: 3}}]}]|its own share, 2",
                "name: all\nmembers: [{name: a, match: {destinations: [x]}}]|expected numbers"
            })
    void aFaultyFileIsTold(String both) {
        String[] parts = both.split("\\|");
        var faults = assertThrows(brambletray.common.yaml.Faults.class, () -> QuotaFile.parse("q.yaml", parts[0]));
        assertTrue(
                faults.getMessage().startsWith("q.yaml:") && faults.getMessage().contains(parts[1]),
                faults.getMessage());
    }

    /** This relay's part: those of all ranks add up to the whole, and a relay that dies takes none from the others. */
    @Test
    void partsOfRelaysAddUp() throws Exception {
        Member whole = QuotaFile.parse("q.yaml", two(100, 31, 69));
        long limit = 0;
        long a = 0;
        for (int rank = 0; rank < 3; rank++) {
            Member part = whole.part(rank, 3);
            limit += part.limits().get(0).amount();
            a += part.members().get(0).guaranteed().get(Dimension.MESSAGES);
        }
        assertEquals(100, limit);
        assertEquals(31, a);
    }
}
