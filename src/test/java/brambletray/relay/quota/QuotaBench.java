package brambletray.relay.quota;

import brambletray.relay.quota.Member.Asked;
import brambletray.relay.quota.Member.Dimension;
import brambletray.relay.quota.Member.Limit;
import brambletray.relay.quota.Member.Match;
import java.lang.ref.Reference;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * Time of a decision and heap of a path, for trees of 10 to 100,000 paths, beside a plain token bucket; run by
 * bench/quota.
 */
final class QuotaBench {
    private static final int DECISIONS = 300_000;

    private QuotaBench() {}

    /** Members of one parent, one for each leaf, each with a limit and its share. */
    private static Member level(String name, String path, int at, int depth, int leaves, int[] next, long second) {
        List<Member> below = new ArrayList<>();
        if (at < depth) {
            int most = at + 1 == depth ? leaves : (int) Math.ceil(Math.pow(leaves, 1.0 / (depth - at)));
            int left = leaves;
            for (int i = 0; i < most && left > 0; i++) {
                int part = at + 1 == depth ? 1 : (int) Math.ceil(left / (double) (most - i));
                left -= part;
                String own = "m" + i;
                below.add(level(
                        own,
                        path + "/" + own,
                        at + 1,
                        depth,
                        part,
                        next,
                        Math.max(1, second * part / Math.max(1, leaves))));
            }
        }
        Match match = below.isEmpty() ? new Match("t" + next[0]++, null, List.of()) : Match.ANY;
        return new Member(
                name,
                path,
                List.of(new Limit(Dimension.MESSAGES, 1_000_000, second)),
                Long.MAX_VALUE,
                at == 1 ? Map.of() : Map.of(Dimension.MESSAGES, second),
                0,
                1,
                0,
                true,
                match,
                below);
    }

    private static long used() {
        System.gc();
        System.gc();
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }

    private static double heap(int paths, int depth) {
        Member tree = chain(paths, depth);
        long before = used();
        Quotas quotas = new Quotas(tree);
        double heap = (used() - before) / (double) paths;
        Reference.reachabilityFence(List.of(tree, quotas));
        return heap;
    }

    public static void main(String[] args) {
        System.out.println(Runtime.getRuntime().availableProcessors() + " processors; best of three");
        System.out.println(
                "paths     depth   ns a decision   taken on   bytes a path, idle   ns, a token bucket for each path");
        for (int paths : new int[] {10, 1_000, 100_000}) {
            for (int depth : new int[] {4, 8}) {
                double best = 1e9;
                double bucket = 1e9;
                double heap = heap(paths, depth);
                long taken = 0;
                for (int round = 0; round < 3; round++) {
                    Member tree = chain(paths, depth);
                    Quotas quotas = new Quotas(tree);
                    Asked[] asked = new Asked[Math.min(paths, 4_096)];
                    SplittableRandom random = new SplittableRandom(1);
                    for (int i = 0; i < asked.length; i++) {
                        asked[i] = new Asked("m" + i, "t" + random.nextInt(paths), "c", 1, 100);
                    }
                    taken = 0;
                    long from = System.nanoTime();
                    for (int i = 0; i < DECISIONS; i++) {
                        Asked m = asked[i % asked.length];
                        // A tenth less than the tree takes, by chance more than some of its members do.
                        if (quotas.ask(1_000_000 + (long) (i * 1e6 / (paths * 3.6)), m) instanceof Verdict.Taken) {
                            taken++;
                        }
                        quotas.ended(m.id());
                    }
                    best = Math.min(best, (System.nanoTime() - from) / (double) DECISIONS);
                    Reference.reachabilityFence(List.of(tree, quotas));
                    bucket = Math.min(bucket, buckets(paths, asked));
                }
                System.out.printf(
                        Locale.ROOT,
                        "%-9d %-7d %13.0f %9.0f%% %20.0f %34.0f%n",
                        paths,
                        depth,
                        best,
                        100.0 * taken / DECISIONS,
                        heap,
                        bucket);
            }
        }
    }

    /** Leaves right below a chain of members, so that each decision goes all the way up. */
    private static Member chain(int leaves, int depth) {
        Member at = level("g" + (depth - 1), path(depth - 1), 1, 2, leaves, new int[1], leaves * 4L);
        for (int d = depth - 2; d >= 1; d--) {
            at = new Member(
                    "g" + d,
                    path(d),
                    List.of(new Limit(Dimension.MESSAGES, 1_000_000, leaves * 4L)),
                    Long.MAX_VALUE,
                    d == 1 ? Map.of() : Map.of(Dimension.MESSAGES, leaves * 4L),
                    0,
                    1,
                    0,
                    true,
                    Match.ANY,
                    List.of(at));
        }
        return at;
    }

    private static String path(int depth) {
        StringBuilder path = new StringBuilder("g1");
        for (int d = 2; d <= depth; d++) {
            path.append("/g").append(d);
        }
        return path.toString();
    }

    private static double buckets(int paths, Asked[] asked) {
        Map<String, double[]> all = new java.util.HashMap<>();
        long from = System.nanoTime();
        long taken = 0;
        for (int i = 0; i < DECISIONS; i++) {
            double now = i / (paths * 3.6);
            double[] b = all.computeIfAbsent(asked[i % asked.length].tenant(), t -> new double[] {4, 0});
            b[0] = Math.min(4, b[0] + (now - b[1]) * 4);
            b[1] = now;
            if (b[0] >= 1) {
                b[0]--;
                taken++;
            }
        }
        return taken == 0 ? 0 : (System.nanoTime() - from) / (double) DECISIONS;
    }
}
