package brambletray.platform.cli;

import java.io.PrintStream;
import org.kohsuke.args4j.Option;

/** A command of the command line; args4j fills in its fields. */
abstract class Command {
    /** Exit codes: all well; a verdict that is not; bad input. */
    static final int OK = 0;

    static final int FAILED = 1;
    static final int INVALID_INPUT = 2;

    @Option(name = "--help", aliases = "-h", help = true, usage = "shows this and does nothing else")
    boolean help;

    /** The command's description, one line. */
    abstract String purpose();

    /** Does it; the exit code. {@link UsageException} for input that can't be used. */
    abstract int run(PrintStream out, PrintStream err);
}
