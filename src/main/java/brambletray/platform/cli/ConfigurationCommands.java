package brambletray.platform.cli;

import brambletray.platform.localsystem.JsonValues;
import brambletray.platform.localsystem.LocalSystemException;
import brambletray.platform.localsystem.OperatorClient;
import java.io.PrintStream;
import java.nio.file.Path;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** The verbs around the configuration. */
final class ConfigurationCommands {
    private ConfigurationCommands() {}

    /** Shows the newest. */
    static final class Show extends RemoteCommand {
        @Override
        String purpose() {
            return "prints the newest configuration in full, as JSON";
        }

        @Override
        int run(PrintStream out, PrintStream err) {
            byte[] body = body(operator().show());
            out.write(body, 0, body.length);
            out.println();
            return OK;
        }
    }

    private static byte[] body(OperatorClient.Reply reply) {
        if (reply.status() != 200) {
            throw new LocalSystemException(
                    "refused",
                    reply.from() + " answered " + reply.status() + ' ' + JsonValues.reason(reply.body()),
                    null);
        }
        return reply.body();
    }

    /** Delivers a complete configuration, or a change. */
    static final class Deliver extends RemoteCommand {
        private static final int INVALID = 400;
        private static final int TOO_LARGE = 413;
        private static final int CONFLICT = 422;

        private final String verb;

        @Argument(required = true, metaVar = "FILE", usage = "the body, JSON")
        Path file;

        @Option(
                name = "--base",
                metaVar = "N",
                usage = "the revision that it builds on, 0 for the first; without it, the one that is shown")
        Long base;

        Deliver(String verb) {
            this.verb = verb;
        }

        @Override
        String purpose() {
            return verb.equals("replace")
                    ? "delivers a whole configuration and waits until it is taken"
                    : "delivers a change (upsert, withdraw) and waits until it is taken";
        }

        @Override
        int run(PrintStream out, PrintStream err) {
            if (verb.equals("replace")) {
                CheckCommand.read(file);
            }
            byte[] body = InputFiles.read(file);
            OperatorClient operator = operator();
            long on = base != null ? base : JsonValues.number(JsonValues.object(body(operator.show())), "revision");
            OperatorClient.Reply reply = operator.deliver(verb, on, body);
            if (reply.status() == 200) {
                out.println("taken by " + reply.from() + ", on top of revision " + on);
                return OK;
            }
            err.println(
                    file + ": " + reply.from() + " answered " + reply.status() + ' ' + JsonValues.reason(reply.body()));
            return reply.status() == INVALID || reply.status() == TOO_LARGE || reply.status() == CONFLICT
                    ? INVALID_INPUT
                    : FAILED;
        }
    }
}
