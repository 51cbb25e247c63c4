package brambletray.platform.cli;

import brambletray.platform.errors.PlatformException;
import brambletray.platform.localsystem.LocalSystemException;
import java.io.PrintStream;
import java.io.StringWriter;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Supplier;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.ParserProperties;

/**
 * Parses {@code system COMMAND ...} with args4j and runs the command. Exit codes: 0 success, 1 a negative verdict, 2
 * bad input, with one line on standard error that says what was expected.
 */
final class Commands {
    private static final int WIDTH = 110;
    /** Columns for a verb's name in the list of them. */
    private static final int NAME_WIDTH = 14;

    private static final Map<String, Supplier<Command>> TABLE = new LinkedHashMap<>();

    static {
        TABLE.put("check", CheckCommand::new);
        TABLE.put("show", ConfigurationCommands.Show::new);
        TABLE.put("replace", () -> new ConfigurationCommands.Deliver("replace"));
        TABLE.put("modify", () -> new ConfigurationCommands.Deliver("modify"));
        TABLE.put("views", StatusCommands.Views::new);
        TABLE.put("duties", StatusCommands.Roles::new);
        TABLE.put("edges", StatusCommands.Edges::new);
        TABLE.put("hosts", StatusCommands.Hosts::new);
        TABLE.put("homes", StatusCommands.Homes::new);
        TABLE.put("operations", OperationsCommand::new);
        TABLE.put("tenants", TenantsCommand::new);
        TABLE.put("declare-dead", RemoveMemberCommand::new);
        TABLE.put("up", UpCommand::new);
        TABLE.put("drill", DrillCommand::new);
    }

    private Commands() {}

    /** {@code args}: what follows {@code system}. */
    static int run(String[] args, PrintStream out, PrintStream err) {
        if (args.length == 0 || args[0].equals("--help") || args[0].equals("-h")) {
            help(args.length == 0 ? err : out);
            return args.length == 0 ? Command.INVALID_INPUT : Command.OK;
        }
        Supplier<Command> created = TABLE.get(args[0]);
        if (created == null) {
            err.println("system: expected one of controlplane, edge, " + String.join(", ", TABLE.keySet()) + "; found "
                    + args[0]);
            return Command.INVALID_INPUT;
        }
        Command verb = created.get();
        CmdLineParser parser = new CmdLineParser(
                verb, ParserProperties.defaults().withUsageWidth(WIDTH).withOptionSorter(null));
        try {
            parser.parseArgument(Arrays.copyOfRange(args, 1, args.length));
            if (verb.help) {
                usage(args[0], created.get(), out);
                return Command.OK;
            }
            return verb.run(out, err);
        } catch (CmdLineException e) {
            err.println(args[0] + ": " + line(e.getMessage()) + "; see 'system " + args[0] + " --help'");
            return Command.INVALID_INPUT;
        } catch (PlatformException error) {
            err.println(args[0] + ": " + line(error.getMessage()));
            return error instanceof LocalSystemException && !error.code().equals("localsystem.bad-plan")
                    ? Command.FAILED
                    : Command.INVALID_INPUT;
        }
    }

    private static void usage(String name, Command verb, PrintStream out) {
        CmdLineParser parser = new CmdLineParser(
                verb, ParserProperties.defaults().withUsageWidth(WIDTH).withOptionSorter(null));
        StringWriter synopsis = new StringWriter();
        parser.printSingleLineUsage(synopsis, null);
        out.println("system " + name + synopsis + ": " + verb.purpose());
        parser.printUsage(out);
    }

    private static String line(String message) {
        return message == null ? "" : message.replaceAll("\\s*[\\r\\n]+\\s*", " ");
    }

    private static void help(PrintStream to) {
        to.println(
                "system VERB ...: the whole system of docs/architecture.md, its programs and what operators need. system VERB --help says more.");
        to.println(
                "  controlplane  the program of a core machine, with the settings file that BRAMBLETRAY_NODE_FILE names");
        to.println("  edge          the program of an edge, in the same way");
        TABLE.forEach((name, verb) -> to.println("  " + name + " ".repeat(NAME_WIDTH - name.length())
                + verb.get().purpose()));
        to.println("Exit codes: 0 all well, 1 a verdict that is not, 2 bad input.");
    }
}
