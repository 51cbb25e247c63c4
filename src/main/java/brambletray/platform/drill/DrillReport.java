package brambletray.platform.drill;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** What the courses of a drill came to. Filled by one thread at a time. */
public final class DrillReport {
    /**
     * A course that broke a rule.
     *
     * @param seed     its seed
     * @param rule     the rule, when and why it was broken
     * @param script   the course, as {@link ScenarioReplay} reads it
     * @param shortest the shortest course that breaks the same rule, or null where it was not shrunk
     */
    public record BrokenCourse(long seed, String rule, String script, String shortest) {}

    private final DrillPlan plan;
    private final Map<String, Integer> rules = new TreeMap<>();
    private final Map<Fault.Kind, Integer> troubles = new TreeMap<>();
    private final List<BrokenCourse> broken = new ArrayList<>();
    private final List<String> programFaults = new ArrayList<>();
    private int played;
    private long acknowledged;
    private long refused;
    private long resent;
    private long reads;
    private long longestWaitMs;
    private int endedThemselves;
    private int endedByGrace;

    DrillReport(DrillPlan plan) {
        this.plan = plan;
    }

    void add(Scenario.Result result, Scenario.Result shortest) {
        played++;
        acknowledged += result.acknowledged();
        refused += result.refused();
        resent += result.resent();
        reads += result.reads();
        longestWaitMs = Math.max(longestWaitMs, result.longestSettled());
        endedThemselves += result.left();
        endedByGrace += result.cutShort();
        ScenarioScript script = result.script();
        script.faults().forEach(fault -> troubles.merge(fault.kind(), 1, Integer::sum));
        result.faults().forEach(fault -> programFaults.add("seed " + script.seed() + ": " + fault));
        if (result.broken() != null) {
            rules.merge(ScenarioShrinker.rule(result), 1, Integer::sum);
            String least = shortest == null ? null : shortest.script().toString();
            broken.add(new BrokenCourse(script.seed(), result.broken(), script.toString(), least));
            broken.sort(Comparator.comparingLong(BrokenCourse::seed));
        }
    }

    /** Courses played so far. */
    public int played() {
        return played;
    }

    /** The broken courses, by seed. */
    public List<BrokenCourse> broken() {
        return List.copyOf(broken);
    }

    /** Log lines that report a fault of the program itself, such as a handler that failed. */
    public List<String> programFaults() {
        return List.copyOf(programFaults);
    }

    /** The counts, in one line. */
    public String summary() {
        return played + " courses with " + plan.members() + " members from seed " + plan.firstSeed() + ": "
                + acknowledged + " orders acknowledged, " + refused + " refused, " + resent
                + " sent again after an answer, " + reads + " readings; longest wait in a settled core "
                + longestWaitMs + " ms; after SIGTERM " + endedThemselves + " ended by themselves, " + endedByGrace
                + " by the grace; broken " + broken.size() + " " + rules + "; troubles " + troubles;
    }

    /** The same as a JSON object: maps, lists, numbers and texts. */
    public Map<String, Object> json() {
        Map<String, Object> json = new LinkedHashMap<>();
        json.put("members", plan.members());
        json.put("first-seed", plan.firstSeed());
        json.put("courses", played);
        json.put("acknowledged", acknowledged);
        json.put("refused", refused);
        json.put("resent", resent);
        json.put("reads", reads);
        json.put("longest-wait-settled-ms", longestWaitMs);
        json.put("ended-after-sigterm", endedThemselves);
        json.put("ended-by-grace", endedByGrace);
        json.put("rules-broken", rules);
        json.put("broken", broken.stream().map(DrillReport::brokenJson).toList());
        json.put("program-faults", programFaults);
        Map<String, Object> kinds = new LinkedHashMap<>();
        troubles.forEach((kind, count) -> kinds.put(kind.toString(), count));
        json.put("troubles", kinds);
        return json;
    }

    private static Map<String, Object> brokenJson(BrokenCourse scenario) {
        Map<String, Object> json = new LinkedHashMap<>();
        json.put("seed", scenario.seed());
        json.put("rule", scenario.rule());
        json.put("script", scenario.script());
        json.put("shortest", scenario.shortest());
        return json;
    }
}
