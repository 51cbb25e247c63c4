package brambletray.platform.cli;

import brambletray.platform.configuration.Configuration;
import brambletray.platform.configuration.ConfigurationException;
import brambletray.platform.settings.NodeSettings;
import java.io.PrintStream;
import java.nio.file.Path;
import org.kohsuke.args4j.Argument;

/** Reads a settings file or a configuration as the programs do, and says what is wrong with it. */
final class CheckCommand extends Command {
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
            Configuration configuration = read(file);
            out.println(file + ": revision " + configuration.revision() + ", "
                    + configuration.routes().size() + " routes, "
                    + configuration.services().size() + " services");
        }
        return OK;
    }

    private void settings(PrintStream out) {
        NodeSettings nodeSettings = NodeSettings.read(file);
        if (nodeSettings.controlPlane() != null) {
            nodeSettings.require("data-dir", nodeSettings.dataDir());
            nodeSettings.require("cloud-api.address", nodeSettings.cloudApi().address());
        } else {
            nodeSettings.require("bind-addresses.front-end", nodeSettings.frontEnd());
            nodeSettings.require("bind-addresses.readiness", nodeSettings.readiness());
        }
        nodeSettings.require(
                "internal-port-range", nodeSettings.internalPortLow() == 0 ? null : nodeSettings.internalPortLow());
        nodeSettings.require("seed-peers", nodeSettings.seeds().isEmpty() ? null : nodeSettings.seeds());
        out.println(file + ": " + nodeSettings.node() + ", for "
                + (nodeSettings.controlPlane() != null ? "controlplane" : "edge") + " at " + nodeSettings.ip() + " in "
                + nodeSettings.zone() + ", " + nodeSettings.seeds().size() + " seeds");
    }

    /** {@link UsageException} with file, field and what was expected. */
    static Configuration read(Path file) {
        byte[] body = InputFiles.read(file);
        try {
            return Configuration.read(body);
        } catch (ConfigurationException error) {
            throw new UsageException(file + ": " + error.getMessage(), error);
        }
    }
}
