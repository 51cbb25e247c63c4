package brambletray.platform.cli;

import brambletray.common.runtime.Clock;
import brambletray.platform.drill.DrillPlan;
import brambletray.platform.drill.DrillReport;
import brambletray.platform.drill.DrillRunner;
import brambletray.platform.drill.ScenarioReplay;
import brambletray.platform.localsystem.JsonValues;
import java.io.PrintStream;
import java.util.Locale;
import java.util.Map;
import java.util.function.Consumer;
import org.kohsuke.args4j.Option;

/** Plays drills: the programs in simulated time under drawn faults. */
final class DrillCommand extends Command {
    /** Scenarios after which the progress is printed. */
    private static final int PROGRESS_INTERVAL = 100;

    private static final double MICROS_PER_SECOND = 1e6;

    @Option(name = "--members", metaVar = "N", usage = "core machines of each course, from 3 to 9")
    int members = 3;

    @Option(name = "--seed", metaVar = "S", usage = "the first course's seed; the next course has the next seed")
    long seed = 1;

    @Option(name = "--courses", metaVar = "N", usage = "how many courses")
    int courses = 100;

    @Option(name = "--threads", metaVar = "N", usage = "courses that run at the same time")
    int threads = 1;

    @Option(
            name = "--course",
            metaVar = "MEMBERS/LOSSES/END-MS/TROUBLES",
            usage = "plays this course by each seed, in place of one whose troubles are drawn from the seed")
    String template;

    @Option(
            name = "--replay",
            metaVar = "COURSE",
            usage = "plays one course again and draws its timeline: a seed, or"
                    + " SEED/MEMBERS/LOSSES/END-MS/TROUBLES as a broken course is printed")
    String replay;

    @Option(name = "--shrink", usage = "finds the shortest course that breaks the same rule, for each broken one")
    boolean shrink;

    @Option(name = "--log", depends = "--replay", usage = "prints the log lines of all processes, on standard error")
    boolean log;

    @Option(name = "--json", usage = "prints JSON")
    boolean json;

    @Override
    String purpose() {
        return "plays the programs of core and edges in simulated time under faults drawn from a seed;"
                + " 1 where a course breaks a rule";
    }

    @Override
    int run(PrintStream out, PrintStream err) {
        return replay == null ? playCourses(out, err) : replayCourse(out, err);
    }

    private int playCourses(PrintStream out, PrintStream err) {
        DrillPlan plan = new DrillPlan(members, seed, courses, threads, template, shrink);
        Clock clock = Clock.system();
        DrillReport report = DrillRunner.run(plan, sofar -> {
            if (sofar.played() % PROGRESS_INTERVAL == 0 && sofar.played() < courses) {
                err.println("drill: " + sofar.played() + " of " + courses + " courses, "
                        + sofar.broken().size() + " broken, " + rate(sofar, clock) + " a second");
            }
        });
        String rate = rate(report, clock);
        if (json) {
            Map<String, Object> answer = report.json();
            answer.put("courses-a-second", Double.valueOf(rate));
            printJson(out, answer);
        } else {
            report.broken().forEach(course -> printBroken(out, course));
            report.programFaults().forEach(error -> out.println("fault of a program: " + error));
            out.println(report.summary() + "; " + rate + " courses a second");
        }
        return report.broken().isEmpty() ? OK : FAILED;
    }

    private static String rate(DrillReport report, Clock clock) {
        double seconds = Math.max(1, clock.micros()) / MICROS_PER_SECOND;
        return String.format(Locale.ROOT, "%.2f", report.played() / seconds);
    }

    private static void printBroken(PrintStream out, DrillReport.BrokenCourse course) {
        out.println("broken: " + course.rule());
        out.println("  system drill --replay " + course.script());
        if (course.shortest() != null) {
            out.println("  shortest: system drill --replay " + course.shortest());
        }
    }

    private int replayCourse(PrintStream out, PrintStream err) {
        Consumer<String> logLines = log ? err::println : null;
        ScenarioReplay played = ScenarioReplay.play(replay, members, shrink, logLines);
        if (json) {
            printJson(out, played.json());
        } else {
            out.print(played.text());
        }
        return played.broken() == null ? OK : FAILED;
    }

    private static void printJson(PrintStream out, Map<String, Object> answer) {
        byte[] bytes = JsonValues.bytes(answer);
        out.write(bytes, 0, bytes.length);
        out.println();
    }
}
