package brambletray.relay.cli;

import brambletray.relay.check.EmulatorCheck;
import brambletray.relay.emulator.Endpoint;
import brambletray.relay.emulator.Tally;
import brambletray.relay.inventory.Entry;
import brambletray.relay.inventory.Inventory;
import brambletray.relay.inventory.Revision;
import brambletray.relay.script.Script;
import brambletray.relay.script.ScriptReader;
import brambletray.relay.stage.RealStage;
import brambletray.relay.stage.Scene;
import brambletray.relay.wire.Addresses;
import brambletray.relay.wire.Wire;
import java.io.PrintStream;
import java.io.PrintWriter;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Partners and the platform's agent on loopback, for a relay that is started elsewhere. */
@Command(
        name = "emulate",
        mixinStandardHelpOptions = true,
        subcommands = {Emulate.Check.class, Play.class},
        description = {
            "Emulated partners and the platform's agent on real sockets, so that any relay can be tried"
                    + " against them.",
            "Prints once a second what each server does; SIGTERM or Ctrl-C ends it with a table.",
            "Scripts that come with the program: demo, quiet-night, first-night, second-night, third-night, check."
        })
final class Emulate implements Callable<Integer> {
    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    @Parameters(
            paramLabel = "SCRIPT",
            arity = "0..1",
            description = "A file, or the name of a script that comes with the program.")
    private String script;

    @Option(
            names = "--listen",
            paramLabel = "ADDRESS",
            defaultValue = "127.0.0.1:0",
            description = "Address and port of the agent, in digits; default ${DEFAULT-VALUE}: any free port.")
    private String listen;

    @Option(
            names = "--relay-config",
            paramLabel = "FILE",
            description = "Writes a configuration (EDGE_CONFIG) with which a relay serves them.")
    private Path config;

    @Option(
            names = "--relay-listen",
            paramLabel = "ADDRESS",
            defaultValue = "127.0.0.1:8080",
            description = "Where that relay is to listen; default ${DEFAULT-VALUE}.")
    private String relayListen;

    @Option(
            names = "--inventory",
            paramLabel = "FILE",
            description = "Writes the endpoints as an inventory (.csv, else YAML) for serve --config.")
    private Path inventory;

    /** The endpoints as they stand in a relay's inventory. */
    private static Revision inventory(RealStage stage) throws InterruptedException, ExecutionException {
        Map<String, Entry> hosts = new LinkedHashMap<>();
        for (Endpoint endpoint : stage.endpoints()) {
            InetSocketAddress at = stage.address(endpoint);
            hosts.put(
                    endpoint.name(),
                    new Entry(
                            endpoint.name(),
                            at.getAddress().getHostAddress(),
                            at.getPort(),
                            endpoint.protocol(),
                            endpoint.partner().destination(),
                            endpoint.zone(),
                            endpoint.partner().kind(),
                            endpoint.partner().listedRate(),
                            Entry.State.READY));
        }
        return new Revision(hosts);
    }

    @Override
    public Integer call() throws Exception {
        if (script == null) {
            throw new CommandLine.ParameterException(spec.commandLine(), "expected a script");
        }
        Script read = ScriptReader.read(script);
        InetSocketAddress agent = address("--listen", listen);
        PrintWriter out = spec.commandLine().getOut();
        CountDownLatch ending = new CountDownLatch(1);
        CountDownLatch ended = new CountDownLatch(1);
        Path folder = Files.createTempDirectory("brambletray-emulate");
        try (RealStage stage = new RealStage(read, read.seed(), folder, agent)) {
            out.println("agent on " + text(stage.agent(0)) + ": EDGE_DISCOVERY of the relay to be tried");
            if (config != null) {
                Path written = stage.configure(0, address("--relay-listen", relayListen));
                Files.move(written, config, StandardCopyOption.REPLACE_EXISTING);
                out.println("EDGE_CONFIG=" + config + " for a relay on " + relayListen);
            }
            if (inventory != null) {
                Files.writeString(
                        inventory,
                        Inventory.write(inventory(stage), inventory.toString().endsWith(".csv")));
                out.println("inventory of " + stage.endpoints().size() + " hosts in " + inventory);
            }
            Runtime.getRuntime()
                    .addShutdownHook(new Thread(
                            () -> {
                                ending.countDown();
                                try {
                                    ended.await(5, TimeUnit.SECONDS);
                                } catch (InterruptedException e) {
                                    Thread.currentThread().interrupt();
                                }
                            },
                            "end"));
            Map<String, long[]> before = new HashMap<>();
            stage.begin();
            stage.watch(scene -> {
                second(out, scene, before);
                return ending.getCount() > 0;
            });
            table(out, stage.endpoints());
            return 0;
        } finally {
            Files.deleteIfExists(folder);
            ended.countDown();
        }
    }

    private InetSocketAddress address(String option, String text) {
        try {
            return Addresses.parse(text);
        } catch (Wire.Malformed malformed) {
            throw new CommandLine.ParameterException(spec.commandLine(), option + ": " + malformed.getMessage());
        }
    }

    private static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    /** What each server did in this second; quiet ones that are open are left out. */
    private static void second(PrintWriter out, Scene scene, Map<String, long[]> before) {
        StringBuilder text = new StringBuilder();
        for (Endpoint endpoint : scene.world().endpoints()) {
            Tally tally = endpoint.tally();
            long[] now = {
                tally.arrived,
                tally.delivered(),
                tally.refusedInAll(),
                tally.failed + tally.reset + tally.spoilt + tally.unanswered
            };
            long[] was = before.getOrDefault(endpoint.name(), new long[now.length]);
            before.put(endpoint.name(), now);
            String state = endpoint.state(scene.now());
            if (now[0] > was[0] || endpoint.inHand() > 0 || !state.equals("open")) {
                text.append(String.format(
                        Locale.ROOT,
                        "%5.0f s  %-16s %-10s in hand %3d  queued %3d"
                                + "  connections %3d  came %4d  delivered %4d  refused %4d  failed %3d%n",
                        scene.now() / 1e9,
                        endpoint.name(),
                        state,
                        endpoint.inHand(),
                        endpoint.queued(),
                        endpoint.connections(),
                        now[0] - was[0],
                        now[1] - was[1],
                        now[2] - was[2],
                        now[3] - was[3]));
            }
        }
        out.print(text);
        out.flush();
    }

    private static void table(PrintWriter out, List<Endpoint> endpoints) {
        out.printf(
                "%n%-16s %8s %9s %8s %7s %6s %6s %9s %9s %7s %7s%n",
                "endpoint",
                "came",
                "delivered",
                "refused",
                "failed",
                "reset",
                "lost",
                "mean ms",
                "queued",
                "busy",
                "conns");
        for (Endpoint endpoint : endpoints) {
            Tally tally = endpoint.tally();
            out.printf(
                    Locale.ROOT,
                    "%-16s %8d %9d %8d %7d %6d %6d %9.1f %9.2f %7.2f %7d%s%n",
                    endpoint.name(),
                    tally.arrived,
                    tally.delivered(),
                    tally.refusedInAll(),
                    tally.failed,
                    tally.reset,
                    tally.unanswered,
                    tally.meanLatency() / 1e6,
                    tally.meanQueued(),
                    tally.meanBusy(),
                    tally.mostConnections,
                    endpoint.fallen() ? "  FELL OVER" : "");
        }
        out.flush();
    }

    /** Holds what is measured beside what is scripted. */
    @Command(
            name = "check",
            mixinStandardHelpOptions = true,
            description = {
                "Plays scripts against a load of their own (their section 'check'), in simulated and in real time,"
                        + " and prints for each server and phase what was scripted and what was measured.",
                "Exit code 1 when a figure is off by more than the script's bound."
            })
    static final class Check implements Callable<Integer> {
        @Parameters(paramLabel = "SCRIPT", arity = "1..*", description = "Files, or names of scripts.")
        private List<String> scripts;

        @Option(names = "--simulated-only", description = "Leaves the real time out.")
        private boolean simulatedOnly;

        @Override
        public Integer call() throws Exception {
            int off = 0;
            PrintStream out = System.out;
            for (String script : scripts) {
                EmulatorCheck check = new EmulatorCheck(ScriptReader.read(script), out);
                off += check.simulated();
                if (!simulatedOnly) {
                    off += check.real();
                }
            }
            return off == 0 ? 0 : 1;
        }
    }
}
