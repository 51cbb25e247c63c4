package brambletray.relay.cli;

import brambletray.relay.emulator.Endpoint;
import brambletray.relay.emulator.Ledger;
import brambletray.relay.script.Script;
import brambletray.relay.script.ScriptReader;
import brambletray.relay.stage.RealStage;
import brambletray.relay.stage.Score;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** A relay, partners and clients on loopback, with nothing to configure. */
@Command(
        name = "demo",
        mixinStandardHelpOptions = true,
        description = {
            "A relay, emulated partners and clients on loopback sockets, in real time; nothing to configure.",
            "Partway one partner goes down and returns cold. Ends with what became of the messages, the service score"
                    + " and the rules that were broken; exit code 1 if any was."
        })
final class Demo implements Callable<Integer> {
    /** How long after the traffic messages may still end; s. */
    private static final double AFTER_S = 18;

    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    @Option(
            names = "--seconds",
            paramLabel = "S",
            defaultValue = "20",
            description = "How long messages are handed in, 1 to 3600; default ${DEFAULT-VALUE}.")
    private int seconds;

    @Option(
            names = "--script",
            paramLabel = "NAME",
            defaultValue = "demo",
            description = "A script that comes with the program, or a file; default ${DEFAULT-VALUE}.")
    private String name;

    @Override
    public Integer call() throws Exception {
        if (seconds < 1 || seconds > 3_600) {
            throw new CommandLine.ParameterException(spec.commandLine(), "--seconds: expected 1 to 3600");
        }
        Script script = ScriptReader.read(name).cutTo(seconds * 1_000_000_000L);
        PrintWriter out = spec.commandLine().getOut();
        Path folder = Files.createTempDirectory("brambletray-demo");
        List<String> events = new ArrayList<>();
        try (RealStage stage = new RealStage(
                script, script.seed(), folder, new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))) {
            stage.startRelays();
            out.printf(
                    "%s: %s%n%d relay(s), %d endpoints, %.0f messages a second for %d s%n",
                    script.name(),
                    script.about(),
                    script.fleet().relays(),
                    script.endpoints(),
                    script.traffic().perSecond(),
                    seconds);
            stage.whenBegun(
                    step -> events.add(step.what().getClass().getSimpleName().toLowerCase(Locale.ROOT) + " "
                            + String.join(" ", step.endpoints())));
            stage.begin();
            stage.watch(scene -> {
                Score.Result now = scene.result();
                StringBuilder states = new StringBuilder();
                for (Endpoint endpoint : scene.world().endpoints()) {
                    String state = endpoint.state(scene.now());
                    states.append(state.equals("open") ? "" : "  " + endpoint.name() + " " + state);
                }
                out.printf(
                        Locale.ROOT,
                        "%4.0f s  asked %5d  delivered %5d  handed back %3d  given up %3d%s%s%n",
                        scene.now() / 1e9,
                        now.asked(),
                        now.delivered(),
                        now.handedBack(),
                        ended(now),
                        states,
                        events.isEmpty() ? "" : "  << " + String.join(", ", events));
                events.clear();
                return !scene.over() && scene.now() < (seconds + AFTER_S) * 1e9;
            });
            return verdict(out, stage.result());
        } finally {
            clear(folder);
        }
    }

    /** Given up by a notice; the rest is still open. */
    private static long ended(Score.Result result) {
        return result.givenUp() - result.open();
    }

    /** Prints the figures of a run; 0 if no rule was broken. */
    static int verdict(PrintWriter out, Score.Result result) {
        out.printf(
                Locale.ROOT,
                "%nasked %d: delivered %d (%d of them late), handed back %d, given up %d,"
                        + " turned away %d, not answered %d%n",
                result.asked(),
                result.delivered(),
                result.late(),
                result.handedBack(),
                result.givenUp(),
                result.turnedAway(),
                result.unanswered());
        out.printf(
                Locale.ROOT,
                "service score %.3f (whole run %.3f, worst ten seconds %.3f)%n",
                result.score(),
                result.whole(),
                result.worst());
        out.printf("rules broken: %d%n", result.lostCount() + result.breachCount());
        for (String id : result.lost()) {
            out.println("  no end in time: " + id);
        }
        for (Ledger.Breach breach : result.breaches()) {
            out.printf(
                    Locale.ROOT,
                    "  %s at %.3f s: %s %s by %s, %s%n",
                    breach.rule(),
                    breach.at() / 1e9,
                    breach.endpoint(),
                    breach.message(),
                    breach.caller(),
                    breach.detail());
        }
        out.flush();
        return result.clean() ? 0 : 1;
    }

    static void clear(Path folder) throws IOException {
        try (var files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(file);
            }
        }
    }
}
