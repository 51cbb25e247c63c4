package brambletray.relay.cli;

import java.io.IOException;
import java.net.URI;
import java.net.URLEncoder;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Operators' calls to a running relay, as commands: 0 for yes, 1 for no, 2 where nobody answers. */
final class OperatorVerbs {
    private static final int ANSWER_S = 3;

    private OperatorVerbs() {}

    /** What all of them have in common. */
    abstract static class Call implements Callable<Integer> {
        @CommandLine.Spec
        private CommandLine.Model.CommandSpec spec;

        @Option(
                names = "--console",
                paramLabel = "ADDRESS",
                defaultValue = "127.0.0.1:8082",
                description = "The relay's operators' address; ${DEFAULT-VALUE} if not given.")
        private String console;

        Integer call(String method, String path) throws InterruptedException, UsageException {
            try {
                HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + console + path))
                        .timeout(Duration.ofSeconds(ANSWER_S))
                        .header("Accept", "text/plain")
                        .method(method, HttpRequest.BodyPublishers.noBody())
                        .build();
                HttpResponse<String> answer = HttpClient.newBuilder()
                        .version(HttpClient.Version.HTTP_1_1)
                        .connectTimeout(Duration.ofSeconds(ANSWER_S))
                        .build()
                        .send(request, HttpResponse.BodyHandlers.ofString());
                boolean yes = answer.statusCode() / 100 == 2;
                (yes ? spec.commandLine().getOut() : spec.commandLine().getErr())
                        .println(answer.body().strip());
                return yes ? 0 : 1;
            } catch (IllegalArgumentException e) {
                throw new UsageException("--console: expected an address and port, not '" + console + "'");
            } catch (IOException e) {
                throw new UsageException(
                        "no answer from " + console + ": " + e.getClass().getSimpleName());
            }
        }
    }

    /** Whether it is ready. */
    @Command(
            name = "status",
            mixinStandardHelpOptions = true,
            description = "Tells whether a running relay is ready to serve, or its figures.")
    static final class Status extends Call {
        @Option(names = "--metrics", description = "The figures, a line each.")
        private boolean metrics;

        @Override
        public Integer call() throws Exception {
            return call("GET", metrics ? "/status/metrics" : "/status");
        }
    }

    /** Sends clients away. */
    @Command(
            name = "standby",
            mixinStandardHelpOptions = true,
            description = "Has a running relay send its clients away.")
    static final class Standby extends Call {
        @Override
        public Integer call() throws Exception {
            return call("POST", "/standby");
        }
    }

    /** Ends that. */
    @Command(
            name = "active",
            mixinStandardHelpOptions = true,
            description = "Ends the drain of a running relay: clients are welcome again.")
    static final class Active extends Call {
        @Override
        public Integer call() throws Exception {
            return call("POST", "/active");
        }
    }

    /** Hosts out by hand. */
    @Command(
            name = "maintenance",
            mixinStandardHelpOptions = true,
            synopsisSubcommandLabel = "COMMAND",
            description = "Takes a host of a running relay out, or uses it again.",
            subcommands = {Enter.class, Exit.class})
    static final class Maintenance implements Callable<Integer> {
        @CommandLine.Spec
        private CommandLine.Model.CommandSpec spec;

        @Override
        public Integer call() {
            throw new CommandLine.ParameterException(spec.commandLine(), "expected enter or exit");
        }
    }

    /** A call about one host. */
    abstract static class HostCall extends Call {
        @Parameters(paramLabel = "HOST", description = "The host's name, as the list has it.")
        private String host;

        Integer about(String what) throws InterruptedException, UsageException {
            String coded = URLEncoder.encode(host, StandardCharsets.UTF_8).replace("+", "%20");
            return call("POST", "/maintenance/" + what + "/" + coded);
        }
    }

    /** Takes it out. */
    @Command(
            name = "enter",
            mixinStandardHelpOptions = true,
            description = "Nothing new goes to this host from now on, whatever the list says of it.")
    static final class Enter extends HostCall {
        @Override
        public Integer call() throws Exception {
            return about("enter");
        }
    }

    /** Uses it again. */
    @Command(
            name = "exit",
            mixinStandardHelpOptions = true,
            description = "The host is used again, with care at first.")
    static final class Exit extends HostCall {
        @Override
        public Integer call() throws Exception {
            return about("exit");
        }
    }
}
