package brambletray.platform.localsystem;

import java.nio.file.Path;
import java.util.List;

/**
 * The parameters of a {@link LocalSystem} run.
 *
 * @param cores members of the control plane, 1 to {@link LocalSite#CORES}
 * @param edges 1 to {@link LocalSite#EDGES}
 * @param seconds of traffic, 1 to {@link #LONGEST}
 * @param load the requests
 * @param kills which processes are killed when
 * @param dir where settings, disks and logs are kept; null: in a folder that is removed at the end
 */
public record LocalRunPlan(int cores, int edges, int seconds, Load load, List<Kill> kills, Path dir) {
    public static final int LONGEST = 600;
    public static final int FASTEST = 1_000;
    public static final int LONGEST_WORK_MS = 3_000;

    /** Stands for the process that is the coordinator at that moment. */
    static final String COORDINATOR = "helm";

    /**
     * @param rate requests a second, 1 to {@link #FASTEST}
     * @param workMs about what a request takes at a host, 1 to {@link #LONGEST_WORK_MS}
     * @param leavePercent the share of requests whose clients disconnect early, 0 to 100
     */
    public record Load(int rate, int workMs, int leavePercent) {}

    /** {@code at}: seconds after the first request. */
    public record Kill(String name, int at) {}

    /** {@link LocalSystemException} {@code lap.bad-plan} with what was expected. */
    public LocalRunPlan {
        within("--cores", cores, 1, LocalSite.CORES);
        within("--edges", edges, 1, LocalSite.EDGES);
        within("--seconds", seconds, 1, LONGEST);
        within("--rate", load.rate, 1, FASTEST);
        within("--work", load.workMs, 1, LONGEST_WORK_MS);
        within("--leave", load.leavePercent, 0, 100);
        for (Kill kill : kills) {
            boolean known = kill.name.equals(COORDINATOR)
                    || LocalSite.of(cores, edges, new LocalSite.Ports(1, 2, 3, 4, 5, 6), Path.of(""))
                                    .find(kill.name)
                            != null;
            if (!known) {
                throw bad("--kill " + kill.name + '@' + kill.at + ": expected controlplane-1 to controlplane-" + cores
                        + ", edge-1 to edge-" + edges + " or helm");
            }
            if (kill.at < 0 || kill.at >= seconds) {
                throw bad("--kill " + kill.name + '@' + kill.at + ": expected a second from 0 to " + (seconds - 1));
            }
        }
    }

    /** Whether an edge is killed, with which the runs that must not be repeated end too. */
    boolean killsAnEdge() {
        return kills.stream().anyMatch(kill -> kill.name.startsWith("edge-"));
    }

    private static void within(String option, int value, int least, int most) {
        if (value < least || value > most) {
            throw bad(option + ": expected a number from " + least + " to " + most + ", found " + value);
        }
    }

    private static LocalSystemException bad(String message) {
        return new LocalSystemException("bad-plan", message, null);
    }
}
