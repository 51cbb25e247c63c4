package brambletray.relay.rehearsal;

import brambletray.relay.rehearsal.Rehearsal.Play;
import brambletray.relay.stage.Score;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.StringWriter;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;
import java.util.Locale;

/** Verdicts as JSON, as JUnit's XML, and as one page that needs nothing besides itself. */
public final class Reports {
    private static final JsonFactory JSON = new JsonFactory();
    private static final int WIDTH = 720;
    private static final int HEIGHT = 120;

    private Reports() {}

    /** All figures; the same bytes for the same build, nights and seeds. */
    public static String json(List<Verdict> verdicts) {
        StringWriter text = new StringWriter();
        try (JsonGenerator out = JSON.createGenerator(text)) {
            out.useDefaultPrettyPrinter();
            out.writeStartObject();
            out.writeBooleanField("passed", verdicts.stream().allMatch(Verdict::passed));
            out.writeArrayFieldStart("nights");
            for (Verdict verdict : verdicts) {
                out.writeStartObject();
                out.writeStringField("night", verdict.night().script().name());
                out.writeBooleanField("passed", verdict.passed());
                out.writeStringField("middle_score", figure(Verdict.middle(verdict.plays())));
                out.writeStringField("least_score", figure(verdict.night().least()));
                out.writeArrayFieldStart("faults");
                for (String fault : verdict.faults()) {
                    out.writeString(fault);
                }
                out.writeEndArray();
                out.writeArrayFieldStart("seeds");
                for (Play play : verdict.plays()) {
                    seed(out, play);
                }
                out.writeEndArray();
                out.writeEndObject();
            }
            out.writeEndArray();
            out.writeEndObject();
        } catch (IOException e) {
            throw new IllegalStateException("a string cannot fail to be written", e);
        }
        return text.append('\n').toString();
    }

    private static void seed(JsonGenerator out, Play play) throws IOException {
        Score.Result result = play.result();
        out.writeStartObject();
        out.writeNumberField("seed", play.seed());
        out.writeStringField("score", figure(result.score()));
        out.writeStringField("whole", figure(result.whole()));
        out.writeStringField("worst_ten_seconds", figure(result.worst()));
        out.writeNumberField("asked", result.asked());
        out.writeNumberField("delivered", result.delivered());
        out.writeNumberField("late", result.late());
        out.writeNumberField("handed_back", result.handedBack());
        out.writeNumberField("given_up", result.givenUp());
        out.writeNumberField("turned_away", result.turnedAway());
        out.writeNumberField("unanswered", result.unanswered());
        out.writeNumberField("rules_broken", result.breachCount() + result.lostCount());
        out.writeStringField("trace", String.format("%016x", play.trace()));
        out.writeEndObject();
    }

    private static String figure(double value) {
        return String.format(Locale.ROOT, "%.4f", value);
    }

    /** SHA-256 of the figures, in hexadecimal. */
    public static String hash(List<Verdict> verdicts) {
        try {
            return HexFormat.of()
                    .formatHex(MessageDigest.getInstance("SHA-256")
                            .digest(json(verdicts).getBytes(StandardCharsets.UTF_8)));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java has SHA-256", e);
        }
    }

    /** A suite with a case for each night. */
    public static String junit(List<Verdict> verdicts) {
        long failed = verdicts.stream().filter(verdict -> !verdict.passed()).count();
        StringBuilder out = new StringBuilder(
                        "<?xml version=\"1.0\" encoding=\"UTF-8\"?>\n<testsuite" + " name=\"rehearsal\"")
                .append(" tests=\"")
                .append(verdicts.size())
                .append("\" failures=\"")
                .append(failed)
                .append("\" errors=\"0\" skipped=\"0\">\n");
        for (Verdict verdict : verdicts) {
            out.append("  <testcase classname=\"rehearsal\"" + " name=\"")
                    .append(escaped(verdict.night().script().name()))
                    .append('"');
            if (verdict.passed()) {
                out.append("/>\n");
            } else {
                out.append(">\n    <failure message=\"")
                        .append(escaped(verdict.faults().get(0)))
                        .append("\">")
                        .append(escaped(String.join("\n", verdict.faults())))
                        .append("</failure>\n  </testcase>\n");
            }
        }
        return out.append("</testsuite>\n").toString();
    }

    private static String escaped(String text) {
        return text.replace("&", "&amp;")
                .replace("<", "&lt;")
                .replace(">", "&gt;")
                .replace("\"", "&quot;");
    }

    /** One page with a chart for each night: worth by second, of each seed, and what went wrong when. */
    public static String html(List<Verdict> verdicts) {
        boolean passed = verdicts.stream().allMatch(Verdict::passed);
        StringBuilder out = new StringBuilder("<!doctype html>\n<html lang=\"en\"><head><meta" + " charset=\"utf-8\">")
                .append("<title>Rehearsal</title>\n<style>\n"
                        + "body{font:15px/1.5 sans-serif;max-width:60rem;margin:2rem auto;padding:0"
                        + " 1rem;color:#222}\n"
                        + "table{border-collapse:collapse}td,th{padding:.2rem .8rem;text-align:right;"
                        + "border-bottom:1px solid #ddd}td:first-child,th:first-child{text-align:left}\n"
                        + ".good{color:#186a3b}.bad{color:#a93226}svg{background:#fafafa;border:1px solid #ddd}\n"
                        + "path{fill:none;stroke:#2e6da4;stroke-opacity:.5}line{stroke:#a93226;stroke-dasharray:3"
                        + " 3}\n"
                        + "text{font:11px sans-serif;fill:#555}\n</style></head><body>\n<h1 class=\"")
                .append(passed ? "good\">May go into service" : "bad\">May not go into service")
                .append("</h1>\n<table><tr><th>night</th><th>verdict</th><th>middle score</th><th>bound</th>"
                        + "<th>lowest</th><th>highest</th></tr>\n");
        for (Verdict verdict : verdicts) {
            double low = verdict.plays().stream()
                    .mapToDouble(play -> play.result().score())
                    .min()
                    .orElse(0);
            double high = verdict.plays().stream()
                    .mapToDouble(play -> play.result().score())
                    .max()
                    .orElse(0);
            out.append(String.format(
                    Locale.ROOT,
                    "<tr><td><a href=\"#%1$s\">%1$s</a></td><td class=\"%2$s\">%3$s"
                            + "</td><td>%4$.3f</td><td>%5$.3f</td><td>%6$.3f</td><td>%7$.3f</td></tr>%n",
                    escaped(verdict.night().script().name()),
                    verdict.passed() ? "good" : "bad",
                    verdict.passed() ? "passed" : "failed",
                    Verdict.middle(verdict.plays()),
                    verdict.night().least(),
                    low,
                    high));
        }
        out.append("</table>\n");
        verdicts.forEach(verdict -> night(out, verdict));
        return out.append("</body></html>\n").toString();
    }

    private static void night(StringBuilder out, Verdict verdict) {
        double seconds = verdict.night().script().length() / 1e9;
        out.append("<h2 id=\"")
                .append(escaped(verdict.night().script().name()))
                .append("\">")
                .append(escaped(verdict.night().script().name()))
                .append("</h2>\n<p>")
                .append(escaped(verdict.night().script().about()))
                .append("</p>\n");
        for (String fault : verdict.faults()) {
            out.append("<p class=\"bad\">").append(escaped(fault)).append("</p>\n");
        }
        out.append(String.format(
                Locale.ROOT,
                "<svg width=\"%d\" height=\"%d\" role=\"img\" aria-label=\"worth by" + " second\">",
                WIDTH,
                HEIGHT + 20));
        for (Play play : verdict.plays()) {
            out.append("<path d=\"");
            List<Double> worth = play.result().bySecond();
            boolean down = false;
            for (int s = 0; s < worth.size(); s++) {
                if (worth.get(s) == null) {
                    down = false;
                    continue;
                }
                out.append(String.format(
                        Locale.ROOT,
                        "%s%.1f %.1f",
                        down ? "L" : "M",
                        s / seconds * WIDTH,
                        HEIGHT * (1 - Math.max(0, Math.min(1, worth.get(s))))));
                down = true;
            }
            out.append("\"/>");
        }
        verdict.night().script().steps().forEach(step -> mark(out, step.at() / 1e9 / seconds));
        verdict.night().relayEvents().forEach(relayEvent -> mark(out, relayEvent.at() / 1e9 / seconds));
        out.append(String.format(
                Locale.ROOT,
                "<text x=\"2\" y=\"12\">worth of what was asked for in each second,"
                        + " 0 to 1; a line a seed; dashed: something happens</text><text x=\"%d\" y=\"%d\">%.0f"
                        + " s</text></svg>%n",
                WIDTH - 40,
                HEIGHT + 15,
                seconds));
    }

    private static void mark(StringBuilder out, double at) {
        out.append(String.format(
                Locale.ROOT, "<line x1=\"%1$.1f\" y1=\"0\" x2=\"%1$.1f\" y2=\"%2$d\"/>", at * WIDTH, HEIGHT));
    }
}
