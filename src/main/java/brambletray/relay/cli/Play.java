package brambletray.relay.cli;

import brambletray.common.runtime.Clock;
import brambletray.relay.script.Script;
import brambletray.relay.script.ScriptReader;
import brambletray.relay.stage.Score;
import brambletray.relay.stage.SimStage;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Whole scripts with relays and clients, in simulated time. */
@Command(
        name = "play",
        mixinStandardHelpOptions = true,
        description = {
            "Plays scripts with relays and clients in simulated time, once for each seed: the same every time.",
            "Prints the service score and the rules that were broken, and how fast it went; exit code 1 if any was."
        })
final class Play implements Callable<Integer> {
    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    @Parameters(paramLabel = "SCRIPT", arity = "1..*", description = "Files, or names of scripts.")
    private List<String> scripts;

    @Option(
            names = "--seeds",
            paramLabel = "FROM-TO",
            defaultValue = "1-1",
            description = "Which seeds; default ${DEFAULT-VALUE}.")
    private String seeds;

    @Override
    public Integer call() throws Exception {
        if (!seeds.matches("[0-9]{1,9}(-[0-9]{1,9})?")) {
            throw new CommandLine.ParameterException(spec.commandLine(), "--seeds: expected FROM-TO, like 1-5");
        }
        String[] ends = seeds.split("-");
        PrintWriter out = spec.commandLine().getOut();
        boolean clean = true;
        for (String name : scripts) {
            Script script = ScriptReader.read(name);
            out.printf(
                    Locale.ROOT,
                    "%s: %d relays, %d endpoints, %.0f messages a second for %.0f s%n",
                    script.name(),
                    script.fleet().relays(),
                    script.endpoints(),
                    script.traffic().perSecond(),
                    script.length() / 1e9);
            for (long seed = Long.parseLong(ends[0]); seed <= Long.parseLong(ends[ends.length - 1]); seed++) {
                clean &= play(out, script, seed);
            }
        }
        return clean ? 0 : 1;
    }

    private static boolean play(PrintWriter out, Script script, long seed) throws Exception {
        Path folder = Files.createTempDirectory("brambletray-play");
        Clock clock = Clock.system();
        try (SimStage stage = new SimStage(script, seed, folder)) {
            Score.Result result = stage.play();
            double took = clock.micros() / 1e6;
            out.printf(
                    Locale.ROOT,
                    "  seed %d: score %.3f (whole %.3f, worst 10 s %.3f), asked %d, delivered %d,"
                            + " late %d, handed back %d, given up %d, turned away %d, rules broken %d, trace %016x%n",
                    seed,
                    result.score(),
                    result.whole(),
                    result.worst(),
                    result.asked(),
                    result.delivered(),
                    result.late(),
                    result.handedBack(),
                    result.givenUp(),
                    result.turnedAway(),
                    result.lostCount() + result.breachCount(),
                    stage.simulation().trace());
            out.printf(
                    Locale.ROOT,
                    "    %.1f s of time in %.2f s: %.0f times as fast as real%n",
                    stage.simulation().now() / 1e9,
                    took,
                    stage.simulation().now() / 1e9 / took);
            result.breaches().stream().limit(5).forEach(breach -> out.println("    " + breach));
            result.lost().stream().limit(5).forEach(id -> out.println("    no end in time: " + id));
            return result.clean();
        } finally {
            Demo.clear(folder);
        }
    }
}
