package brambletray.relay.cli;

import brambletray.common.yaml.Faults;
import brambletray.relay.inventory.Change;
import brambletray.relay.inventory.Inventory;
import brambletray.relay.inventory.Reconciler;
import brambletray.relay.inventory.Revision;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Looks at files that list partners' hosts. */
@Command(
        name = "inventory",
        mixinStandardHelpOptions = true,
        description = {
            "Checks, compares and converts inventories: CSV (by the ending .csv) or YAML,"
                    + " a plain list or Ansible's."
        })
final class InventoryCommand implements Runnable {
    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "expected check, diff or convert");
    }

    private static Inventory.Parsed read(Path file) throws Faults, IOException {
        try {
            return Inventory.read(file);
        } catch (NoSuchFileException e) {
            throw new UsageException("no file: " + file);
        }
    }

    /** All faults of a file at once. */
    @Command(
            name = "check",
            mixinStandardHelpOptions = true,
            description = {"Names every fault with line and column and what was expected; exit code 2 if there is one."
            })
    int check(@Parameters(paramLabel = "FILE") Path file) throws Faults, IOException {
        Inventory.Parsed parsed = read(file);
        long destinations = parsed.revision().hosts().values().stream()
                .mapToLong(entry -> entry.destination())
                .distinct()
                .count();
        PrintWriter out = spec.commandLine().getOut();
        out.println(file + ": " + parsed.revision().hosts().size() + " hosts, " + destinations + " destinations"
                + (parsed.sealed() ? ", sealed by its last line" : ""));
        return 0;
    }

    /** What a relay would do. */
    @Command(
            name = "diff",
            mixinStandardHelpOptions = true,
            description = {
                "Tells what a relay that holds OLD does when NEW comes; exit code 1 if it would hold NEW back."
            })
    int diff(
            @Parameters(paramLabel = "OLD") Path old,
            @Parameters(paramLabel = "NEW") Path next,
            @Option(
                            names = "--remove-most",
                            paramLabel = "SHARE",
                            defaultValue = "0.3",
                            description = "the share that one edit may take away (${DEFAULT-VALUE})")
                    double most)
            throws Faults, IOException {
        Reconciler reconciler = new Reconciler(most);
        reconciler.offer(read(old).revision(), true);
        Inventory.Parsed parsed = read(next);
        Reconciler.Verdict verdict = reconciler.offer(parsed.revision(), parsed.sealed());
        PrintWriter out = spec.commandLine().getOut();
        if (verdict instanceof Reconciler.Taken taken) {
            tell(out, taken.change(), parsed.revision());
            return 0;
        }
        if (verdict instanceof Reconciler.HeldBack heldBack) {
            tell(out, heldBack.change(), parsed.revision());
            out.println("HELD BACK: "
                    + (heldBack.unsealed()
                            ? "the old one's last line seals it, and this one's does not"
                            : "it takes more than " + heldBack.most() + " hosts away")
                    + "; end it with the line '# end of inventory: "
                    + parsed.revision().hosts().size()
                    + " hosts' if that is meant");
            return 1;
        }
        out.println("nothing changes");
        return 0;
    }

    private static void tell(PrintWriter out, Change change, Revision next) {
        line(out, "new, sent to as one that is not known yet", change.added());
        line(out, "gone: nothing new from 250 ms on, calls out finish", change.removed());
        line(out, "draining: the same, and still listed", change.drained());
        line(out, "moved: the old one gone, and a new one", change.moved());
        line(out, "altered", change.altered());
        out.println(next.hosts().size() + " hosts then");
    }

    private static void line(PrintWriter out, String what, List<String> names) {
        if (!names.isEmpty()) {
            out.println(names.size() + " " + what + ": "
                    + String.join(", ", names.subList(0, Math.min(20, names.size())))
                    + (names.size() > 20 ? ", ..." : ""));
        }
    }

    /** From one format to another. */
    @Command(
            name = "convert",
            mixinStandardHelpOptions = true,
            description = "Writes FROM as TO, CSV by the ending .csv, else a YAML list; TO must not exist.")
    int convert(@Parameters(paramLabel = "FROM") Path from, @Parameters(paramLabel = "TO") Path to)
            throws Faults, IOException {
        if (Files.exists(to)) {
            throw new UsageException("there is a file already: " + to);
        }
        boolean csv = to.toString().toLowerCase(Locale.ROOT).endsWith(".csv");
        Files.writeString(to, Inventory.write(read(from).revision(), csv));
        return 0;
    }
}
