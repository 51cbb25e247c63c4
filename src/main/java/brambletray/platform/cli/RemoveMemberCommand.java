package brambletray.platform.cli;

import brambletray.platform.localsystem.JsonValues;
import brambletray.platform.localsystem.OperatorClient;
import brambletray.platform.settings.Address;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** Asks one member to remove another, whose machine is gone for good, with the incarnation as confirmation. */
final class RemoveMemberCommand extends RemoteCommand {
    private static final String PATH_PREFIX = "/brambletray/system/dead/";
    private static final int RESPONSE_TIMEOUT_MS = 10_000;

    @Argument(required = true, metaVar = "MEMBER", usage = "control-plane address of the machine that is gone for good")
    String memberAddress;

    @Option(
            name = "--life",
            required = true,
            metaVar = "HEX",
            usage = "confirms the order: the life of that member, as views --json shows it")
    String incarnation;

    @Override
    String purpose() {
        return "declares a member's machine dead at one member that waits for it; never at both sides of a partition";
    }

    @Override
    int run(PrintStream out, PrintStream err) {
        Address target = address(memberAddress);
        if (members().size() != 1) {
            throw new UsageException("--control: expected the one member that is to go on without it", null);
        }
        if (!incarnation.matches("[0-9a-f]{1,16}")) {
            throw new UsageException("--life: expected up to 16 hex digits, found '" + incarnation + "'", null);
        }
        byte[] confirmation = incarnation.getBytes(StandardCharsets.UTF_8);
        OperatorClient.Reply reply =
                operator().order(members().get(0), PATH_PREFIX + target, confirmation, RESPONSE_TIMEOUT_MS);
        if (reply.status() == 200) {
            out.println(target + " counts as dead at " + reply.from());
            return OK;
        }
        String reason =
                reply.status() == 0 ? "no answer; ask again" : reply.status() + " " + JsonValues.reason(reply.body());
        err.println("declare-dead: " + reply.from() + ": " + reason);
        return FAILED;
    }

    private static Address address(String text) {
        try {
            return Address.parse(text);
        } catch (IllegalArgumentException e) {
            throw new UsageException("MEMBER: expected " + e.getMessage() + ", found '" + text + "'", e);
        }
    }
}
