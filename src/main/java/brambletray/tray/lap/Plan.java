package brambletray.tray.lap;

import java.nio.file.Path;
import java.util.List;

/**
 * What {@link Up} is to play.
 *
 * @param cores members of the core, 1 to {@link Site#CORES}
 * @param edges 1 to {@link Site#EDGES}
 * @param seconds of traffic, 1 to {@link #LONGEST}
 * @param rate requests a second, 1 to {@link #FASTEST}
 * @param kills which processes are ended when
 * @param dir where settings, disks and logs are kept; null: in a folder that is removed at the end
 */
public record Plan(int cores, int edges, int seconds, int rate, List<Kill> kills, Path dir) {
    public static final int LONGEST = 600;
    public static final int FASTEST = 1_000;

    /** Stands for the process that holds the helm at that moment. */
    static final String HELM = "helm";

    /** {@code at}: seconds after the first request. */
    public record Kill(String name, int at) {}

    /** {@link LapFault} {@code lap.bad-plan} with what was expected. */
    public Plan {
        within("--cores", cores, Site.CORES);
        within("--edges", edges, Site.EDGES);
        within("--seconds", seconds, LONGEST);
        within("--rate", rate, FASTEST);
        for (Kill kill : kills) {
            boolean known = kill.name.equals(HELM)
                    || Site.of(cores, edges, new Site.Ports(1, 2, 3, 4, 5, 6), Path.of(""))
                                    .find(kill.name)
                            != null;
            if (!known) {
                throw bad("--kill " + kill.name + '@' + kill.at + ": expected keep-1 to keep-" + cores
                        + ", carry-1 to carry-" + edges + " or helm");
            }
            if (kill.at < 0 || kill.at >= seconds) {
                throw bad("--kill " + kill.name + '@' + kill.at + ": expected a second from 0 to " + (seconds - 1));
            }
        }
    }

    private static void within(String option, int value, int most) {
        if (value < 1 || value > most) {
            throw bad(option + ": expected a number from 1 to " + most + ", found " + value);
        }
    }

    private static LapFault bad(String message) {
        return new LapFault("bad-plan", message, null);
    }
}
