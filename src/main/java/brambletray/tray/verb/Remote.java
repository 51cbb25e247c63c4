package brambletray.tray.verb;

import brambletray.tray.berth.Address;
import brambletray.tray.lap.Operator;
import java.util.ArrayList;
import java.util.List;
import org.kohsuke.args4j.Option;

/** A verb that calls members of the core. */
abstract class Remote extends Verb {
    private static final int LONGEST_S = 600;

    @Option(
            name = "--control",
            required = true,
            metaVar = "IP:PORT[,..]",
            usage = "control-plane addresses of members of the core")
    String control;

    @Option(name = "--wait", metaVar = "S", usage = "seconds to try for a clear answer")
    int wait = 15;

    /** {@link UsageFault} where one is none. */
    final List<Address> members() {
        List<Address> members = new ArrayList<>();
        for (String one : control.split(",")) {
            try {
                members.add(Address.parse(one.strip()));
            } catch (IllegalArgumentException e) {
                throw new UsageFault("--control: expected " + e.getMessage() + ", found '" + one + "'", e);
            }
        }
        return members;
    }

    final Operator operator() {
        if (wait < 1 || wait > LONGEST_S) {
            throw new UsageFault("--wait: expected seconds from 1 to " + LONGEST_S + ", found " + wait, null);
        }
        return new Operator(members(), wait * 1_000);
    }
}
