package brambletray.relay.cli;

import brambletray.relay.admission.QuotaFile;
import brambletray.relay.quota.Member;
import brambletray.relay.quota.Member.Dimension;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Looks at files of quotas. */
@Command(
        name = "quota",
        mixinStandardHelpOptions = true,
        description = "Checks and explains files of quotas.",
        subcommands = {QuotaCommand.Check.class, QuotaCommand.Explain.class})
final class QuotaCommand implements Callable<Integer> {
    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    @Override
    public Integer call() {
        throw new CommandLine.ParameterException(spec.commandLine(), "expected check or explain");
    }

    private static int count(Member m) {
        return 1 + m.members().stream().mapToInt(QuotaCommand::count).sum();
    }

    /** Names every fault at once. */
    @Command(
            name = "check",
            mixinStandardHelpOptions = true,
            description = {
                "Checks a file whole; every fault is told with its line and column.",
                "Exit code 2 if there is one."
            })
    static final class Check implements Callable<Integer> {
        @CommandLine.Spec
        private CommandLine.Model.CommandSpec spec;

        @Parameters(paramLabel = "FILE")
        private Path file;

        @Override
        public Integer call() throws Exception {
            spec.commandLine().getOut().println(file + ": " + count(QuotaFile.read(file)) + " members");
            return 0;
        }
    }

    /** Tells what one member may have. */
    @Command(
            name = "explain",
            mixinStandardHelpOptions = true,
            description = {"Tells what a member has by right, what it may borrow, and what binds it from above."})
    static final class Explain implements Callable<Integer> {
        @CommandLine.Spec
        private CommandLine.Model.CommandSpec spec;

        @Parameters(paramLabel = "FILE")
        private Path file;

        @Option(
                names = "--at",
                paramLabel = "PATH",
                required = true,
                description = "The member: names from the root down, with '/' between.")
        private String path;

        @Override
        public Integer call() throws Exception {
            Map<String, Member> all = new TreeMap<>();
            gather(QuotaFile.read(file), all);
            if (!all.containsKey(path)) {
                throw new UsageException("no member " + path + " in " + file + "; members are "
                        + String.join(", ", all.keySet().stream().limit(20).toList()));
            }
            PrintWriter out = spec.commandLine().getOut();
            for (String at = path; at != null; at = at.contains("/") ? at.substring(0, at.lastIndexOf('/')) : null) {
                tell(out, all.get(at), at.equals(path));
            }
            return 0;
        }

        private static void gather(Member m, Map<String, Member> all) {
            all.put(m.path(), m);
            m.members().forEach(below -> gather(below, all));
        }

        private static void tell(PrintWriter out, Member m, boolean own) {
            out.println((own ? "" : "under ") + m.path());
            m.limits()
                    .forEach(limit -> out.println("    never more than " + limit.amount() + " "
                            + word(limit.dimension()) + " in any " + limit.window() / 1e6 + " s"));
            if (m.held() != Long.MAX_VALUE) {
                out.println("    never more than " + m.held() + " messages held");
            }
            m.guaranteed()
                    .forEach((dimension, amount) -> out.println("    has a right to " + amount + " " + word(dimension)
                            + " a second" + (m.lends() ? ", lent while it does not ask for them" : ", never lent")));
            if (m.guaranteedHeld() > 0) {
                out.println("    has a right to hold " + m.guaranteedHeld() + " messages");
            }
            for (Dimension dimension : Dimension.values()) {
                long most = m.aSecond(dimension);
                if (most != Long.MAX_VALUE && !m.members().isEmpty()) {
                    long shares = m.members().stream()
                            .mapToLong(b -> b.guaranteed().getOrDefault(dimension, 0L))
                            .sum();
                    out.println("    lends its members what is idle of " + most + " " + word(dimension)
                            + " a second; their shares are " + shares);
                }
            }
            if (own) {
                out.println("    borrows by weight " + m.weight() + " at priority " + m.priority());
            }
        }

        private static String word(Dimension dimension) {
            return dimension == Dimension.MESSAGES ? "messages" : "bytes";
        }
    }
}
