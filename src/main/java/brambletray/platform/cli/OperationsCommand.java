package brambletray.platform.cli;

import brambletray.platform.localsystem.JsonValues;
import brambletray.platform.operations.OperationKey;
import java.io.PrintStream;
import java.util.Map;
import org.kohsuke.args4j.Option;

/** Claims on operations, as each member has applied them; with a key, who has claimed it. */
final class OperationsCommand extends StatusCommands.StatusCommand {
    @Option(name = "--key", metaVar = "KEY", usage = "looks up this Brambletray-Operation-Key")
    String key;

    @Option(name = "--tenant", metaVar = "NAME", usage = "tenant of the key; without it, nobody's")
    String tenant = "";

    @Override
    String purpose() {
        return "claims on operations at each of the named members, or where one key stands; 1 where one doesn't answer";
    }

    @Override
    int run(PrintStream out, PrintStream err) {
        return key == null ? summary(out) : lookup(out);
    }

    private int summary(PrintStream out) {
        TextTable table =
                new TextTable("member", "node", "claims", "remembered", "waiting", "batches", "oldest ends in s");
        Map<String, Object> answers = fromEachMember("operations");
        boolean complete = true;
        for (Map.Entry<String, Object> entry : answers.entrySet()) {
            Map<String, Object> answer = object(entry.getValue());
            complete &= answer != null;
            if (answer == null) {
                table.row(entry.getKey(), "-", "no answer");
            } else {
                table.row(
                        entry.getKey(),
                        answer.get("node"),
                        answer.get("claims"),
                        answer.get("remembered"),
                        answer.get("waiting"),
                        answer.get("batches"),
                        JsonValues.number(answer, "oldest-remaining-ms") / 1_000);
            }
        }
        print(out, answers, table);
        return complete ? OK : FAILED;
    }

    private int lookup(PrintStream out) {
        TextTable table = new TextTable("member", "node", "edge", "life", "claim", "ends in s");
        Map<String, Object> answers =
                fromEachMember("operations/" + OperationKey.of(tenant, key).hex());
        boolean complete = true;
        for (Map.Entry<String, Object> entry : answers.entrySet()) {
            Map<String, Object> answer = object(entry.getValue());
            complete &= answer != null;
            if (answer == null) {
                table.row(entry.getKey(), "-", "no answer");
            } else if (Boolean.TRUE.equals(answer.get("claimed"))) {
                table.row(
                        entry.getKey(),
                        answer.get("node"),
                        answer.get("edge"),
                        answer.get("life"),
                        answer.get("sequence"),
                        JsonValues.number(answer, "remaining-ms") / 1_000);
            } else {
                table.row(entry.getKey(), answer.get("node"), "not claimed");
            }
        }
        print(out, answers, table);
        return complete ? OK : FAILED;
    }

    @SuppressWarnings("unchecked")
    private static Map<String, Object> object(Object answer) {
        return (Map<String, Object>) answer;
    }
}
