package brambletray.tray.verb;

import brambletray.tray.berth.Berth;
import brambletray.tray.creed.Creed;
import brambletray.tray.creed.CreedFault;
import java.io.PrintStream;
import java.nio.file.Path;
import org.kohsuke.args4j.Argument;

/** Reads a settings file or a configuration as the programs do, and says what is wrong with it. */
final class Check extends Verb {
    /** What the file should be. */
    enum Kind {
        settings,
        configuration
    }

    @Argument(index = 0, required = true, metaVar = "settings|configuration", usage = "what the file should be")
    Kind kind;

    @Argument(index = 1, required = true, metaVar = "FILE", usage = "the file")
    Path file;

    @Override
    String purpose() {
        return "says whether a settings file, or a whole configuration, can be used: file, field and what was expected";
    }

    @Override
    int run(PrintStream out, PrintStream err) {
        if (kind == Kind.settings) {
            settings(out);
        } else {
            Creed creed = read(file);
            out.println(file + ": revision " + creed.revision() + ", "
                    + creed.routes().size() + " routes, " + creed.services().size() + " services");
        }
        return OK;
    }

    private void settings(PrintStream out) {
        Berth berth = Berth.read(file);
        if (berth.control() != null) {
            berth.need("data-dir", berth.dataDir());
            berth.need("cloud-api.address", berth.platform().address());
        } else {
            berth.need("bind-addresses.front-end", berth.frontEnd());
            berth.need("bind-addresses.readiness", berth.readiness());
        }
        berth.need("internal-port-range", berth.innerLow() == 0 ? null : berth.innerLow());
        berth.need("seed-peers", berth.seeds().isEmpty() ? null : berth.seeds());
        out.println(file + ": " + berth.node() + ", for " + (berth.control() != null ? "keep" : "carry") + " at "
                + berth.ip() + " in " + berth.zone() + ", " + berth.seeds().size() + " seeds");
    }

    /** {@link UsageFault} with file, field and what was expected. */
    static Creed read(Path file) {
        byte[] body = Files.read(file);
        try {
            return Creed.read(body);
        } catch (CreedFault fault) {
            throw new UsageFault(file + ": " + fault.getMessage(), fault);
        }
    }
}
