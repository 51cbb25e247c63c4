package brambletray.relay.cli;

import brambletray.relay.journal.Journal;
import brambletray.relay.store.Damage;
import brambletray.relay.store.RealDisk;
import brambletray.relay.store.StoreTools;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Looks at a relay's lasting folder. */
@Command(
        name = "store",
        mixinStandardHelpOptions = true,
        description = {
            "Looks at the store in a relay's lasting folder (EDGE_STATE); the relay must not run.",
            "Nothing is written but by salvage, which writes to a new folder."
        })
final class StoreCommand implements Runnable {
    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "expected verify, dump, stat or salvage");
    }

    private static RealDisk disk(Path folder, boolean readOnly) throws IOException {
        if (!Files.isDirectory(folder)) {
            throw new UsageException("no folder: " + folder);
        }
        return new RealDisk(folder, readOnly);
    }

    private static PrintWriter out(CommandLine.Model.CommandSpec spec) {
        return spec.commandLine().getOut();
    }

    /** Names what is damaged. */
    @Command(
            name = "verify",
            mixinStandardHelpOptions = true,
            description = {
                "Reads all of it, and names file, offset and cause of what is not as it was written.",
                "Exit code 0 if nothing is missing (a torn tail is nothing), 1 if something may be, 2 if the"
                        + " store cannot be trusted at all."
            })
    int verify(@Parameters(paramLabel = "DIR") Path folder) throws IOException {
        List<Damage> damages = StoreTools.verify(disk(folder, true));
        damages.forEach(
                damage -> out(spec).println(damage.kind().name().toLowerCase().replace('_', ' ') + ": " + damage));
        boolean hole = damages.stream().anyMatch(damage -> damage.kind() == Damage.Kind.HOLE);
        out(spec)
                .println(
                        damages.isEmpty()
                                ? "all as it was written"
                                : hole
                                        ? "records that were acknowledged may be missing"
                                        : "nothing that was acknowledged is missing");
        return hole ? 1 : 0;
    }

    /** Every record. */
    @Command(
            name = "dump",
            mixinStandardHelpOptions = true,
            description = "Prints every record in the order in which it was written, dead ones too.")
    int dump(@Parameters(paramLabel = "DIR") Path folder) throws IOException {
        StoreTools.dump(disk(folder, true), record -> {
            String value = record.value().length == 0
                    ? ""
                    : record.space() == Journal.SPACE
                            ? Journal.describe(record.value())
                            : record.value().length + " bytes";
            out(spec)
                    .println(String.join(
                                    " ",
                                    record.file(),
                                    String.valueOf(record.at()),
                                    "#" + record.sequence(),
                                    record.sort(),
                                    "space",
                                    String.valueOf(record.space()),
                                    "key",
                                    String.valueOf(record.key()),
                                    value)
                            .stripTrailing());
        });
        return 0;
    }

    /** Sizes. */
    @Command(
            name = "stat",
            mixinStandardHelpOptions = true,
            description = "Prints sizes: of each segment what is live, of each name space what it holds.")
    int stat(@Parameters(paramLabel = "DIR") Path folder) throws IOException {
        StoreTools.Figures figures = StoreTools.stat(disk(folder, true));
        out(spec)
                .printf("store %016x, %d records, next batch %d%n", figures.store(), figures.records(), figures.next());
        figures.segments()
                .forEach((name, sizes) -> out(spec).printf("%s %9d bytes, live %9d%n", name, sizes[0], sizes[1]));
        figures.spaces()
                .forEach((space, s) -> out(spec)
                        .printf(
                                "space %d: %d chains (%d doubtful), %d values, %d bytes%n",
                                space, s.chains(), s.doubtful(), s.values(), s.bytes()));
        return 0;
    }

    /** What can be read, into a new folder. */
    @Command(
            name = "salvage",
            mixinStandardHelpOptions = true,
            description = {
                "Writes what can be read into a new folder, also where the manifest is lost. All of it counts as"
                        + " perhaps sent there: a relay ends those messages within their class."
            })
    int salvage(
            @Parameters(paramLabel = "DIR") Path from,
            @Parameters(paramLabel = "NEW") Path to,
            @Option(
                            names = "--limit",
                            paramLabel = "BYTES",
                            defaultValue = "3000000",
                            description = "Limit on disk of the new store; default ${DEFAULT-VALUE}.")
                    long limit)
            throws IOException {
        Files.createDirectories(to);
        int chains = StoreTools.salvage(disk(from, true), disk(to, false), limit);
        out(spec).println(chains + " chains salvaged into " + to);
        return 0;
    }
}
