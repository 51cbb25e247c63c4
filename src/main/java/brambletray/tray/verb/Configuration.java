package brambletray.tray.verb;

import brambletray.tray.lap.Json;
import brambletray.tray.lap.LapFault;
import brambletray.tray.lap.Operator;
import java.io.PrintStream;
import java.nio.file.Path;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** The verbs around the configuration. */
final class Configuration {
    private Configuration() {}

    /** Shows the newest. */
    static final class Show extends Remote {
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

    private static byte[] body(Operator.Reply reply) {
        if (reply.status() != 200) {
            throw new LapFault(
                    "refused", reply.from() + " answered " + reply.status() + ' ' + Json.reason(reply.body()), null);
        }
        return reply.body();
    }

    /** Delivers a whole one, or a change. */
    static final class Deliver extends Remote {
        private static final int INVALID = 400;
        private static final int TOO_LARGE = 413;
        private static final int UNFIT = 422;

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
                Check.read(file);
            }
            byte[] body = Files.read(file);
            Operator operator = operator();
            long on = base != null ? base : Json.number(Json.object(body(operator.show())), "revision");
            Operator.Reply reply = operator.deliver(verb, on, body);
            if (reply.status() == 200) {
                out.println("taken by " + reply.from() + ", on top of revision " + on);
                return OK;
            }
            err.println(file + ": " + reply.from() + " answered " + reply.status() + ' ' + Json.reason(reply.body()));
            return reply.status() == INVALID || reply.status() == TOO_LARGE || reply.status() == UNFIT ? BAD : NO;
        }
    }
}
