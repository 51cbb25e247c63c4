package brambletray.platform.cli;

import brambletray.platform.localsystem.LocalRunPlan;
import brambletray.platform.localsystem.LocalSystem;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.kohsuke.args4j.Option;

/** Runs the system on this machine for some seconds. */
final class UpCommand extends Command {
    @Option(name = "--cores", metaVar = "N", usage = "members of the core")
    int cores = 3;

    @Option(name = "--edges", metaVar = "N", usage = "edges")
    int edges = 4;

    @Option(name = "--seconds", metaVar = "S", usage = "of traffic")
    int seconds = 20;

    @Option(name = "--rate", metaVar = "N", usage = "requests a second")
    int rate = 40;

    @Option(name = "--work", metaVar = "MS", usage = "what a request takes at a host, about")
    int workMs = 60;

    @Option(name = "--leave", metaVar = "PERCENT", usage = "of the requests' clients disconnect after 0.3 s")
    int leavePercent;

    @Option(
            name = "--kill",
            metaVar = "NAME@S",
            usage =
                    "ends that process (controlplane-1, edge-2, ..., or helm: whoever holds it) at once in that second; may be given again")
    List<String> kills = new ArrayList<>();

    @Option(
            name = "--dir",
            metaVar = "D",
            usage = "a new or empty folder for settings, disks and logs; without it, one that is removed at the end")
    Path dir;

    @Override
    String purpose() {
        return "puts the whole system up on this machine with a stand-in of the platform, hosts and clients, and shows what happens;"
                + " 1 where a request was answered wrongly or ran twice that may not,"
                + " or where work went on for clients that left";
    }

    @Override
    int run(PrintStream out, PrintStream err) {
        List<LocalRunPlan.Kill> plan = new ArrayList<>();
        for (String kill : kills) {
            int at = kill.lastIndexOf('@');
            try {
                plan.add(new LocalRunPlan.Kill(
                        kill.substring(0, Math.max(0, at)), Integer.parseInt(kill.substring(at + 1))));
            } catch (NumberFormatException e) {
                throw new UsageException("--kill: expected NAME@S such as edge-1@5, found '" + kill + "'", e);
            }
        }
        return LocalSystem.run(
                new LocalRunPlan(cores, edges, seconds, new LocalRunPlan.Load(rate, workMs, leavePercent), plan, dir),
                out);
    }
}
