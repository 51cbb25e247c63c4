package brambletray;

import brambletray.platform.cli.ProgramLauncher;
import brambletray.relay.cli.Verbs;
import brambletray.relay.serve.RelayProcess;
import brambletray.relay.simhost.SimHost;
import brambletray.relay.standalone.StandaloneRelay;
import java.io.IOException;
import java.nio.file.Path;

/**
 * Entry point. The programs are started from here, so that they load no class of the command line; everything else is
 * up to {@link Verbs}.
 */
public final class Main {
    private Main() {}

    /** Runs {@link #run} and exits with its code. */
    public static void main(String[] args) throws IOException {
        System.exit(run(args));
    }

    /** Runs a program or a command; returns the exit code. */
    public static int run(String[] args) throws IOException {
        if (args.length == 1 && (args[0].equals("edge") || args[0].equals("controlplane"))) {
            return ProgramLauncher.run(args[0]);
        }
        if (args.length > 0 && args[0].equals("system")) {
            return ProgramLauncher.system(args, System.out, System.err);
        }
        if (args.length == 1 && args[0].equals("simhost")) {
            return SimHost.serve(System.in, System.out, System.err);
        }
        if (args.length == 1 && args[0].equals("serve")) {
            return RelayProcess.serve(System.getenv());
        }
        if (args.length >= 3 && args[0].equals("serve") && args[1].equals("--config")) {
            boolean other = args.length == 5 && args[3].equals("--inventory");
            if (args.length == 3 || other) {
                return StandaloneRelay.serve(Path.of(args[2]), other ? Path.of(args[4]) : null);
            }
        }
        return Verbs.run(args, System.out, System.err);
    }
}
