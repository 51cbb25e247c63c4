package brambletray.relay.cli;

import brambletray.common.yaml.Faults;
import brambletray.relay.store.UntrustedStore;
import java.io.IOException;
import java.io.PrintStream;
import java.io.PrintWriter;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/**
 * The command line but for {@code serve} and {@code simhost} without arguments, which start without any of
 * this. Exit codes: 0 all well, 1 a verdict that is not, 2 bad input, with one line that says what was
 * expected.
 */
@Command(
        name = "brambletray",
        mixinStandardHelpOptions = true,
        version = "brambletray 0.2.0",
        description = "A relay that delivers messages to partner systems, and what is needed to try it.",
        synopsisSubcommandLabel = "COMMAND",
        subcommands = {
            Verbs.Serve.class,
            Verbs.SimHost.class,
            Demo.class,
            Emulate.class,
            StoreCommand.class,
            InventoryCommand.class,
            QuotaCommand.class,
            Rehearse.class,
            OperatorVerbs.Status.class,
            OperatorVerbs.Maintenance.class,
            OperatorVerbs.Standby.class,
            OperatorVerbs.Active.class
        })
public final class Verbs implements Runnable {
    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    /** Runs one command; its output goes to these streams. */
    public static int run(String[] args, PrintStream out, PrintStream err) {
        CommandLine line = new CommandLine(new Verbs());
        line.setOut(new PrintWriter(out, true));
        line.setErr(new PrintWriter(err, true));
        line.setParameterExceptionHandler((bad, given) -> {
            err.println(bad.getMessage().lines().findFirst().orElse("bad arguments") + "; see '"
                    + bad.getCommandLine().getCommandSpec().qualifiedName() + " --help'");
            return 2;
        });
        line.setExecutionExceptionHandler((fault, command, parsed) -> {
            if (fault instanceof Faults || fault instanceof IOException) {
                err.println(
                        fault instanceof Faults || fault instanceof UsageException
                                ? fault.getMessage()
                                : fault instanceof UntrustedStore
                                        ? "the store can't be trusted: " + fault.getMessage()
                                                + "; 'store salvage DIR NEW' saves what can be read"
                                        : "cannot read or write: " + fault);
                return 2;
            }
            throw fault;
        });
        return line.execute(args);
    }

    @Override
    public void run() {
        throw new CommandLine.ParameterException(
                spec.commandLine(),
                "expected a command: serve, simhost, demo, emulate, store, inventory, quota, rehearse, status,"
                        + " maintenance, standby or active");
    }

    /** Only its help: with no arguments the command starts before this class is loaded. */
    @Command(
            name = "serve",
            mixinStandardHelpOptions = true,
            description = {
                "One real relay on sockets, in the foreground until SIGTERM.",
                "Configured by the environment: EDGE_CONFIG (a JSON file) and EDGE_STATE (the lasting folder) are"
                        + " needed; EDGE_LISTEN and EDGE_DISCOVERY take precedence over the file."
                        + " SIGHUP reads the file anew.",
                "serve --config FILE [--inventory FILE]: a relay without the platform; deploy/standalone.yaml has"
                        + " every key."
            })
    static final class Serve implements Runnable {
        @Override
        public void run() {
            throw new IllegalStateException("started without arguments");
        }
    }

    /** Only its help. */
    @Command(
            name = "simhost",
            mixinStandardHelpOptions = true,
            description = "The decision module on the simulator's wire, on standard input and output.")
    static final class SimHost implements Runnable {
        @Override
        public void run() {
            throw new IllegalStateException("started without arguments");
        }
    }
}
