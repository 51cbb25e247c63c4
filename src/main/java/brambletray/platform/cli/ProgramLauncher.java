package brambletray.platform.cli;

import brambletray.common.runtime.Clock;
import brambletray.platform.controlplane.ControlPlaneProcess;
import brambletray.platform.distribution.ProcessSignals;
import brambletray.platform.edge.EdgeProgram;
import brambletray.platform.errors.PlatformException;
import brambletray.platform.logging.LogOutput;
import brambletray.platform.settings.NodeSettings;
import java.io.PrintStream;
import java.security.SecureRandom;
import java.util.Arrays;
import java.util.concurrent.locks.LockSupport;
import org.jboss.logging.Logger;

/**
 * Starts one of the system's programs with the settings file that the environment names; exit code 2 and one line on
 * standard error if it cannot.
 */
public final class ProgramLauncher {
    private ProgramLauncher() {}

    /**
     * {@code system VERB ...}, {@code args} as they came: the programs are started here, with no class of the command
     * line loaded; all else is up to {@link Commands}. Returns the exit code.
     */
    public static int system(String[] args, PrintStream out, PrintStream err) {
        if (args.length == 2 && (args[1].equals("controlplane") || args[1].equals("edge"))) {
            return run(args[1]);
        }
        return Commands.run(Arrays.copyOfRange(args, 1, args.length), out, err);
    }

    /** {@code keep} or {@code carry}; returns only where it cannot start. */
    public static int run(String program) {
        ProcessSignals.handle();
        try {
            NodeSettings nodeSettings = NodeSettings.fromEnvironment();
            Clock clock = Clock.system();
            LogOutput.install(nodeSettings.node(), java.util.logging.Level.INFO, () -> clock.micros() / 1_000);
            SecureRandom random = new SecureRandom();
            if (program.equals("controlplane")) {
                ControlPlaneProcess.run(nodeSettings, random.nextLong() | 1, random.nextLong() | 1);
            } else {
                EdgeProgram.run(nodeSettings, random.nextLong() >>> 1 | 1);
            }
        } catch (PlatformException error) {
            System.err.println(error.getMessage());
            return 2;
        } catch (Exception e) {
            Logger.getLogger("programs").error("start", e);
            System.err.println("cannot start: " + e);
            return 2;
        }
        for (; ; ) {
            LockSupport.park();
        }
    }
}
