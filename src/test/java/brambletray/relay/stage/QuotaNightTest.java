package brambletray.relay.stage;

import static org.junit.jupiter.api.Assertions.*;

import brambletray.relay.script.ScriptReader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** One organisation at twenty times its share beside thirty small ones, against whole relays in simulated time. */
class QuotaNightTest {
    private static final int SMALL = 30;
    private static final int SEEDS = Integer.getInteger("seeds", 2);
    private static final double EACH = 0.8;

    @TempDir
    Path folder;

    private int plays;

    /** {@code rush}: messages a second of the large one. */
    private static String script(double rush) {
        StringBuilder classes = new StringBuilder("classes:\n");
        if (rush > 0) {
            classes.append("  - {name: rush, share: ")
                    .append(rush)
                    .append(", effect: keyed, aim_ms: 2000, limit_ms: 16000," + " window_ms: 15000}\n");
        }
        for (int i = 0; i < SMALL; i++) {
            classes.append("  - {name: s")
                    .append(i)
                    .append(", share: ")
                    .append(EACH)
                    .append(", effect: keyed, aim_ms: 2000, limit_ms: 16000, window_ms: 15000}\n");
        }
        return """
            name: month-end
            length_s: 40
            fleet: {relays: 1, slots: 60, open: 240}
            traffic: {per_s: %s, retries: 2, honour: 0.9}
            partners:
              - name: p
                endpoints: 2
                service: {mean_ms: 100}
                servers: 6
                queue: 8
                limit: {per_s: 44, burst: 8}
                told_waits: {share: 1, least_ms: 300, most_ms: 900}
            """.formatted(rush + SMALL * EACH) + classes;
    }

    private static String quotas() {
        // The partner takes 44 a second, and through this relay some 36; the large one has a right to 4 of these, the
        // small ones together to 32.
        StringBuilder yaml = new StringBuilder("name: all\nlimits: [{messages: 36, in_s: 1}]\nheld: 240\nmembers:\n"
                + "  - {name: rush, share: {messages: 4, held: 24}, match: {class: rush}}\n"
                + "  - name: small\n    share: {messages: 32, held: 180}\n    members:\n");
        for (int i = 0; i < SMALL; i++) {
            yaml.append("      - {name: s" + i + ", match: {class: s" + i + "}}\n");
        }
        return yaml.toString();
    }

    private Score.Result play(String script, long seed, boolean withQuotas) throws Exception {
        Path own = Files.createDirectories(folder.resolve("" + plays++));
        Files.writeString(own.resolve("quotas.yaml"), quotas());
        UnaryOperator<String> told =
                config -> withQuotas ? config.replaceFirst("\\{", "{\"quotas\":\"quotas.yaml\",") : config;
        try (SimStage stage = new SimStage(ScriptReader.parse("q.yaml", script), seed, own, told)) {
            // On whole streams, as its figure has always been taken: ROADMAP tells how it stands on cut ones.
            stage.simulation().network().cutStreams(0, seed);
            return stage.play();
        }
    }

    private static double small(Score.Result r) {
        return r.byClass().entrySet().stream()
                .filter(e -> e.getKey().startsWith("s"))
                .mapToDouble(e -> e.getValue())
                .average()
                .orElseThrow();
    }

    private static double delivered(Score.Result r) {
        return r.delivered();
    }

    @Test
    void smallOnesAreServedBesideARush() throws Exception {
        List<double[]> rows = new ArrayList<>();
        for (long seed = 1; seed <= SEEDS; seed++) {
            Score.Result alone = play(script(0), seed, false);
            Score.Result without = play(script(80), seed, false);
            Score.Result with = play(script(80), seed, true);
            for (Score.Result r : List.of(alone, without, with)) {
                assertTrue(r.clean(), "seed " + seed + ": " + r.breaches() + r.lost());
            }
            rows.add(new double[] {small(alone), small(without), small(with), delivered(without), delivered(with)});
        }
        double[] mean = new double[5];
        rows.forEach(row -> {
            for (int i = 0; i < 5; i++) {
                mean[i] += row[i] / rows.size();
            }
        });
        System.out.printf(
                Locale.ROOT,
                "small ones: alone %.3f, beside the rush %.3f, with quotas %.3f; delivered in all %.0f and %.0f"
                        + " (%d seeds)%n",
                mean[0],
                mean[1],
                mean[2],
                mean[3],
                mean[4],
                SEEDS);
        assertTrue(mean[2] > mean[0] - 0.05, "small ones with quotas " + mean[2] + ", alone " + mean[0]);
        assertTrue(mean[2] > mean[1] + 0.3, "and without " + mean[1]);
        assertTrue(mean[4] > 0.97 * mean[3], "fairness costs " + mean[4] + " of " + mean[3]);
    }
}
