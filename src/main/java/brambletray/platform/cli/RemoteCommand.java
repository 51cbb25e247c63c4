package brambletray.platform.cli;

import brambletray.platform.localsystem.OperatorClient;
import brambletray.platform.settings.Address;
import java.util.ArrayList;
import java.util.List;
import org.kohsuke.args4j.Option;

/** A verb that calls members of the core. */
abstract class RemoteCommand extends Command {
    private static final int MAX_WAIT_S = 600;

    @Option(
            name = "--control",
            required = true,
            metaVar = "IP:PORT[,..]",
            usage = "control-plane addresses of members of the core")
    String control;

    @Option(name = "--wait", metaVar = "S", usage = "seconds to try for a clear answer")
    int wait = 15;

    /** {@link UsageException} where one is none. */
    final List<Address> members() {
        List<Address> members = new ArrayList<>();
        for (String one : control.split(",")) {
            try {
                members.add(Address.parse(one.strip()));
            } catch (IllegalArgumentException e) {
                throw new UsageException("--control: expected " + e.getMessage() + ", found '" + one + "'", e);
            }
        }
        return members;
    }

    final OperatorClient operator() {
        if (wait < 1 || wait > MAX_WAIT_S) {
            throw new UsageException("--wait: expected seconds from 1 to " + MAX_WAIT_S + ", found " + wait, null);
        }
        return new OperatorClient(members(), wait * 1_000);
    }
}
