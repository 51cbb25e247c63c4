package brambletray.relay.cli;

import brambletray.common.runtime.Clock;
import brambletray.relay.rehearsal.Comparison;
import brambletray.relay.rehearsal.Hunt;
import brambletray.relay.rehearsal.Kit;
import brambletray.relay.rehearsal.Night;
import brambletray.relay.rehearsal.Reports;
import brambletray.relay.rehearsal.Story;
import brambletray.relay.rehearsal.Verdict;
import brambletray.relay.wire.Wire;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Says whether this build may go into service. */
@Command(
        name = "rehearse",
        mixinStandardHelpOptions = true,
        description = {
            "Plays nights in simulated time against whole relays of this build, and judges them by what happened at"
                    + " the partners.",
            "Exit code 0 if every night is within its bounds, 1 if not. The same build gives the same verdict."
        },
        subcommands = {Rehearse.HuntCommand.class, Rehearse.CompareCommand.class})
final class Rehearse implements Callable<Integer> {
    /** Stories that are told of one night. */
    private static final int STORIES_MOST = 3;

    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    @Parameters(
            paramLabel = "NIGHT",
            arity = "0..*",
            description = "Files, or names of nights that come with the program; without any, all of those.")
    private List<String> names = new ArrayList<>();

    @Option(
            names = "--seeds",
            paramLabel = "N",
            defaultValue = "5",
            description = "Seeds 1 to N, an odd number; default ${DEFAULT-VALUE}.")
    private int seeds;

    @Option(
            names = "--out",
            paramLabel = "FOLDER",
            description = "Writes rehearsal.json, junit.xml and rehearsal.html there, and what happened to"
                    + " messages with which a rule was broken.")
    private Path out;

    @Override
    public Integer call() throws Exception {
        if (seeds < 1 || seeds > 999 || seeds % 2 == 0) {
            throw new CommandLine.ParameterException(
                    spec.commandLine(), "--seeds: expected an odd number from 1 to 999");
        }
        List<Night> nights = new ArrayList<>();
        for (String name : names.isEmpty() ? Night.BUILT_IN : names) {
            try {
                nights.add(Night.read(name));
            } catch (NoSuchFileException e) {
                throw new UsageException("no night, and no file, of the name " + name + "; nights are "
                        + String.join(", ", Night.BUILT_IN));
            }
        }
        PrintWriter tell = spec.commandLine().getOut();
        Path folder = Files.createTempDirectory("brambletray-rehearse");
        try {
            List<Verdict> verdicts = Kit.play(
                    nights, seeds, Runtime.getRuntime().availableProcessors(), folder, verdict -> tell(tell, verdict));
            boolean passed = verdicts.stream().allMatch(Verdict::passed);
            tell.println((passed ? "passed" : "FAILED") + ", figures " + Reports.hash(verdicts));
            if (out != null) {
                write(verdicts, folder, tell);
            }
            return passed ? 0 : 1;
        } finally {
            Demo.clear(folder);
        }
    }

    private static void tell(PrintWriter out, Verdict verdict) {
        double low = verdict.plays().stream()
                .mapToDouble(play -> play.result().score())
                .min()
                .orElse(0);
        double high = verdict.plays().stream()
                .mapToDouble(play -> play.result().score())
                .max()
                .orElse(0);
        double[] scores = verdict.plays().stream()
                .mapToDouble(play -> play.result().score())
                .sorted()
                .toArray();
        out.printf(
                Locale.ROOT,
                "%-18s %s  score %.3f (%.3f to %.3f), bound %.3f%n",
                verdict.night().script().name(),
                verdict.passed() ? "passed" : "FAILED",
                scores[(scores.length - 1) / 2],
                low,
                high,
                verdict.night().least());
        verdict.faults().stream().limit(5).forEach(fault -> out.println("    " + fault));
    }

    private void write(List<Verdict> verdicts, Path folder, PrintWriter tell) throws Exception {
        Files.createDirectories(out);
        for (Verdict verdict : verdicts) {
            int number = 0;
            for (Story story : Kit.stories(verdict, STORIES_MOST, folder)) {
                Path file = out.resolve("story-" + verdict.night().script().name() + "-" + ++number + ".txt");
                Files.write(file, story.told());
                tell.println("what happened to message " + story.line() + ": " + file);
            }
        }
        Files.writeString(out.resolve("rehearsal.json"), Reports.json(verdicts));
        Files.writeString(out.resolve("junit.xml"), Reports.junit(verdicts));
        Files.writeString(out.resolve("rehearsal.html"), Reports.html(verdicts));
    }

    /** Looks for nights that break a rule. */
    @Command(
            name = "hunt",
            mixinStandardHelpOptions = true,
            description = {
                "Draws nights at random, plays them, and shrinks those that break a rule to the fewest events.",
                "Exit code 1 if one was found; it is written as a night that 'rehearse FILE' plays."
            })
    static final class HuntCommand implements Callable<Integer> {
        @CommandLine.Spec
        private CommandLine.Model.CommandSpec spec;

        @Option(
                names = "--seconds",
                paramLabel = "N",
                defaultValue = "60",
                description = "How long; default ${DEFAULT-VALUE}.")
        private int seconds;

        @Option(
                names = "--base",
                paramLabel = "NIGHT",
                defaultValue = "coop-refuses",
                description = "The night whose fleet, traffic and partners they have; default ${DEFAULT-VALUE}.")
        private String base;

        @Option(
                names = "--from",
                paramLabel = "N",
                defaultValue = "1",
                description = "The number of the first draw, to go on where another hunt ended.")
        private long from;

        @Option(
                names = "--out",
                paramLabel = "FOLDER",
                defaultValue = ".",
                description = "Where finds are written; default: here.")
        private Path out;

        @Override
        public Integer call() throws Exception {
            if (!Night.BUILT_IN.contains(base)) {
                throw new CommandLine.ParameterException(
                        spec.commandLine(), "--base: expected one of " + String.join(", ", Night.BUILT_IN));
            }
            PrintWriter tell = spec.commandLine().getOut();
            Path folder = Files.createTempDirectory("brambletray-hunt");
            Clock clock = Clock.system();
            int threads = Runtime.getRuntime().availableProcessors();
            ExecutorService pool = Executors.newFixedThreadPool(threads);
            try {
                Hunt hunt = new Hunt(Night.base(base), folder);
                long next = from;
                int found = 0;
                while (clock.micros() < seconds * 1_000_000L) {
                    List<Future<Optional<Hunt.Find>>> draws = new ArrayList<>();
                    for (int i = 0; i < threads; i++) {
                        long number = next++;
                        draws.add(pool.submit(() -> hunt.draw(number)));
                    }
                    for (Future<Optional<Hunt.Find>> draw : draws) {
                        Optional<Hunt.Find> find = draw.get();
                        if (find.isPresent()) {
                            found++;
                            tell(tell, find.get());
                        }
                    }
                }
                tell.println((next - from) + " nights drawn (" + from + " to " + (next - 1) + "), " + found
                        + " break a rule");
                return found == 0 ? 0 : 1;
            } finally {
                pool.shutdownNow();
                Demo.clear(folder);
            }
        }

        private void tell(PrintWriter tell, Hunt.Find find) throws IOException {
            Files.createDirectories(out);
            Path file = out.resolve("found-" + find.draw() + ".yaml");
            Files.writeString(file, "# Breaks a rule with seed " + find.seed() + ".\n" + find.yaml());
            tell.println("draw " + find.draw() + ": " + find.drawn() + " events, " + find.left()
                    + " are enough, written to " + file);
            find.faults().stream().limit(3).forEach(fault -> tell.println("    " + fault));
        }
    }

    /** Plays two builds. */
    @Command(
            name = "compare",
            mixinStandardHelpOptions = true,
            description = {
                "Plays two builds on the same nights and seeds, and says which differences are beyond noise.",
                "Exit code 1 if B breaks a rule that A keeps, or is worse on some night beyond noise."
            })
    static final class CompareCommand implements Callable<Integer> {
        @CommandLine.Spec
        private CommandLine.Model.CommandSpec spec;

        @Parameters(index = "0", paramLabel = "JAR_A", description = "The build in service," + " its lib beside it.")
        private Path first;

        @Parameters(index = "1", paramLabel = "JAR_B", description = "The build that is to replace it.")
        private Path second;

        @Option(
                names = "--seeds",
                paramLabel = "N",
                defaultValue = "13",
                description = "Seeds 1 to N, odd, 11 to 15; default ${DEFAULT-VALUE}.")
        private int seeds;

        @Override
        public Integer call() throws Exception {
            if (seeds < 11 || seeds > Comparison.SEEDS_MOST || seeds % 2 == 0) {
                throw new CommandLine.ParameterException(
                        spec.commandLine(), "--seeds: expected an odd number from 11 to " + Comparison.SEEDS_MOST);
            }
            Path folder = Files.createTempDirectory("brambletray-compare");
            try {
                List<Comparison.Row> rows =
                        Comparison.of(played(first, folder.resolve("a")), played(second, folder.resolve("b")));
                PrintWriter out = spec.commandLine().getOut();
                boolean worse = false;
                for (Comparison.Row row : rows) {
                    worse |= row.brokenB() > 0 && row.brokenA() == 0 || row.beyondNoise() && row.mean() < 0;
                    out.printf(
                            Locale.ROOT,
                            "%-18s B - A %+.4f, chance %.3f: %s; rules broken %d and %d%n",
                            row.night(),
                            row.mean(),
                            row.chance(),
                            !row.beyondNoise() ? "noise" : row.mean() < 0 ? "WORSE" : "better",
                            row.brokenA(),
                            row.brokenB());
                }
                return worse ? 1 : 0;
            } catch (Wire.Malformed malformed) {
                throw new UsageException("a build's report can't be read: " + malformed.getMessage());
            } finally {
                Demo.clear(folder);
            }
        }

        private String played(Path jar, Path out) throws IOException, InterruptedException {
            if (!Files.isRegularFile(jar)) {
                throw new UsageException("no file: " + jar);
            }
            String java =
                    Path.of(System.getProperty("java.home"), "bin", "java").toString();
            Process play = new ProcessBuilder(
                            java, "-jar", jar.toString(), "rehearse", "--seeds", "" + seeds, "--out", out.toString())
                    .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                    .redirectError(ProcessBuilder.Redirect.DISCARD)
                    .start();
            if (play.waitFor() == 2) {
                throw new UsageException(jar + " knows no rehearse, or not all of this build's options");
            }
            return Files.readString(out.resolve("rehearsal.json"));
        }
    }
}
