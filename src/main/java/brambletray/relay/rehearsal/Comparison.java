package brambletray.relay.rehearsal;

import brambletray.relay.wire.Wire;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Two builds on the same nights and seeds, paired: which differences of the score are beyond noise. An exact
 * sign-flip test: were the builds equal, each pair's difference could as well have the other sign; the
 * share of
 * all flips whose mean is as far from 0 is the chance that the difference is luck.
 */
public final class Comparison {
    /** Seeds at most: all flips are counted. */
    public static final int SEEDS_MOST = 15;
    /** A chance below this counts as beyond noise. */
    public static final double CHANCE = 0.05;

    /**
     * One night; {@code mean}: B's score less A's; {@code chance}: times the nights; broken rules of each.
     */
    public record Row(String night, double mean, double chance, long brokenA, long brokenB) {
        public boolean beyondNoise() {
            return chance < CHANCE;
        }
    }

    private Comparison() {}

    /** The nights that are in both reports, as {@link Reports#json} writes them. */
    public static List<Row> of(String jsonA, String jsonB) throws Wire.Malformed {
        Map<String, Wire.Fields> a = nights(jsonA);
        Map<String, Wire.Fields> b = nights(jsonB);
        List<Row> rows = new ArrayList<>();
        for (Map.Entry<String, Wire.Fields> night : a.entrySet()) {
            Wire.Fields other = b.get(night.getKey());
            if (other == null) {
                continue;
            }
            Map<Long, Wire.Fields> seedsB = new LinkedHashMap<>();
            for (Wire.Fields seed : other.objects("seeds")) {
                seedsB.put(seed.whole("seed"), seed);
            }
            List<Double> differences = new ArrayList<>();
            long brokenA = 0;
            long brokenB = 0;
            for (Wire.Fields seed : night.getValue().objects("seeds")) {
                Wire.Fields pair = seedsB.get(seed.whole("seed"));
                if (pair != null) {
                    differences.add(score(pair) - score(seed));
                    brokenA += seed.whole("rules_broken");
                    brokenB += pair.whole("rules_broken");
                }
            }
            double[] d = differences.stream().mapToDouble(Double::doubleValue).toArray();
            rows.add(new Row(night.getKey(), mean(d), chance(d), brokenA, brokenB));
        }
        // As many nights, as many chances of luck (Bonferroni).
        return rows.stream()
                .map(row -> new Row(
                        row.night(), row.mean(), Math.min(1, row.chance() * rows.size()), row.brokenA(), row.brokenB()))
                .toList();
    }

    private static double score(Wire.Fields seed) throws Wire.Malformed {
        return Double.parseDouble(seed.text("score"));
    }

    private static Map<String, Wire.Fields> nights(String json) throws Wire.Malformed {
        Map<String, Wire.Fields> nights = new LinkedHashMap<>();
        for (Wire.Fields night : Wire.decode(json).objects("nights")) {
            nights.put(night.text("night"), night);
        }
        return nights;
    }

    private static double mean(double[] values) {
        double sum = 0;
        for (double v : values) {
            sum += v;
        }
        return values.length == 0 ? 0 : sum / values.length;
    }

    /** Two-sided; 1 where there is nothing to compare. */
    static double chance(double[] differences) {
        int n = Math.min(SEEDS_MOST, differences.length);
        double seen = 0;
        for (int i = 0; i < n; i++) {
            seen += differences[i];
        }
        long asFar = 0;
        for (int flips = 0; flips < 1 << n; flips++) {
            double sum = 0;
            for (int i = 0; i < n; i++) {
                sum += (flips >> i & 1) == 0 ? differences[i] : -differences[i];
            }
            // Rounding must not hide the flips that give the very same sum.
            asFar += Math.abs(sum) >= Math.abs(seen) - 1e-12 ? 1 : 0;
        }
        return asFar / (double) (1L << n);
    }
}
