package brambletray.tray.verb;

import brambletray.tray.berth.Address;
import brambletray.tray.lap.Json;
import brambletray.tray.lap.Operator;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** Orders one member to declare another's machine dead, with the life as confirmation. */
final class DeclareDead extends Remote {
    private static final String AT = "/brambletray/system/dead/";
    private static final int ANSWER_MS = 10_000;

    @Argument(required = true, metaVar = "MEMBER", usage = "control-plane address of the machine that is gone for good")
    String dead;

    @Option(
            name = "--life",
            required = true,
            metaVar = "HEX",
            usage = "confirms the order: the life of that member, as views --json shows it")
    String life;

    @Override
    String purpose() {
        return "declares a member's machine dead at one member that waits for it; never at both sides of a partition";
    }

    @Override
    int run(PrintStream out, PrintStream err) {
        Address target = address(dead);
        if (members().size() != 1) {
            throw new UsageFault("--control: expected the one member that is to go on without it", null);
        }
        if (!life.matches("[0-9a-f]{1,16}")) {
            throw new UsageFault("--life: expected up to 16 hex digits, found '" + life + "'", null);
        }
        byte[] confirmation = life.getBytes(StandardCharsets.UTF_8);
        Operator.Reply reply = operator().order(members().get(0), AT + target, confirmation, ANSWER_MS);
        if (reply.status() == 200) {
            out.println(target + " counts as dead at " + reply.from());
            return OK;
        }
        String reason = reply.status() == 0 ? "no answer; ask again" : reply.status() + " " + Json.reason(reply.body());
        err.println("declare-dead: " + reply.from() + ": " + reason);
        return NO;
    }

    private static Address address(String text) {
        try {
            return Address.parse(text);
        } catch (IllegalArgumentException e) {
            throw new UsageFault("MEMBER: expected " + e.getMessage() + ", found '" + text + "'", e);
        }
    }
}
