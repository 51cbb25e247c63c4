package brambletray.platform.drill;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;

/** Plays one scenario again and prints its timeline: one column for each process, time downwards, faults in place. */
public final class ScenarioReplay {
    private final Scenario.Result result;
    private final Timeline timeline;

    private ScenarioReplay(Scenario.Result result, Timeline timeline) {
        this.result = result;
        this.timeline = timeline;
    }

    /**
     * Plays the course.
     *
     * @param scenario   a script, SEED/MEMBERS/LOSSES/END-MS/TROUBLES, or a seed alone
     * @param members  core machines of a course that is named by its seed alone
     * @param shrink   whether a broken course is shrunk first; the shortest one is drawn
     * @param logLines takes the log lines of all processes, or null
     * @throws InvalidDrillException where the course cannot be read
     */
    public static ScenarioReplay play(String scenario, int members, boolean shrink, Consumer<String> logLines) {
        ScenarioScript script = script(scenario, members);
        if (shrink) {
            Scenario.Result first = Scenario.play(script, null);
            script = first.broken() == null
                    ? script
                    : ScenarioShrinker.shrink(first).script();
        }
        Timeline timeline = Timeline.recording();
        return new ScenarioReplay(Scenario.play(script, logLines, timeline), timeline);
    }

    private static ScenarioScript script(String scenario, int members) {
        if (scenario.contains("/")) {
            return ScenarioScript.parse(scenario);
        }
        DrillPlan.check("members", members, DrillPlan.MEMBERS_LEAST, DrillPlan.MEMBERS_MOST);
        return ScenarioScript.draw(ScenarioScript.seed(scenario), members);
    }

    /** The rule that was broken, when and why, or null. */
    public String broken() {
        return result.broken();
    }

    /** The course as {@link #play} reads it. */
    public String script() {
        return result.script().toString();
    }

    /** The timeline as text, and what the course came to. */
    public String text() {
        return "course " + script() + "\n" + timeline.draw() + verdict() + "\n";
    }

    private String verdict() {
        String counts = result.acknowledged() + " orders acknowledged, " + result.refused() + " refused, "
                + result.resent() + " sent again after an answer, " + result.reads() + " readings";
        return (broken() == null ? "all rules hold: " : "BROKEN " + broken() + "\n") + counts;
    }

    /** The same as a JSON object: maps, lists, numbers and texts. */
    public Map<String, Object> json() {
        Map<String, Object> json = new LinkedHashMap<>();
        json.put("script", script());
        json.put("broken", broken());
        json.put("acknowledged", result.acknowledged());
        json.put("refused", result.refused());
        json.put("resent", result.resent());
        json.put("reads", result.reads());
        json.put("program-faults", result.faults());
        json.put("timeline", timeline.json());
        return json;
    }
}
