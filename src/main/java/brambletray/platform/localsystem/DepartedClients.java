package brambletray.platform.localsystem;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Records the runs of requests whose clients disconnected early, and finds work that went on without them (rule GONE).
 * Does no I/O; times are steady ms.
 */
final class DepartedClients {
    /** ms after a client's disconnect within which the work for it has to end. */
    static final int GRACE_MS = 500;
    /** Requests that may still reach an instance later than that: "a few". */
    static final int FEW = 3;
    /** Runs that may go on: one of so many that would have lasted that long. */
    static final int ONE_OF = 4;

    private static final class Run {
        private final long beganMs;
        private final long plannedEndMs;
        /** {@link Long#MAX_VALUE} while the run goes on. */
        private long endedMs = Long.MAX_VALUE;

        Run(long beganMs, long plannedEndMs) {
            this.beganMs = beganMs;
            this.plannedEndMs = plannedEndMs;
        }
    }

    private record Departure(boolean repeatable, long atMs) {}

    /**
     * What was found.
     *
     * @param clients clients that disconnected before their response
     * @param lateArrivals their requests that reached an instance later than {@link #GRACE_MS} after that
     * @param longRuns runs of repeatable requests that would have lasted longer than {@link #GRACE_MS} after that
     * @param wentOn of these, the runs that did last longer
     * @param cutShort runs of other requests that ended before their time
     */
    record Summary(int clients, int lateArrivals, int longRuns, int wentOn, int cutShort) {
        /** Whether the rule holds: work for a departed client ends, and work that must not be repeated is completed. */
        boolean holds() {
            return lateArrivals <= FEW && wentOn * ONE_OF <= longRuns && cutShort == 0;
        }

        @Override
        public String toString() {
            return clients + " clients left early: " + lateArrivals + " of their requests reached a host later, "
                    + wentOn + " of " + longRuns + " repeatable runs went on, " + cutShort
                    + " other runs were cut short";
        }
    }

    private final Map<String, List<Run>> runs = new HashMap<>();
    private final Map<String, Departure> departures = new HashMap<>();

    /** An instance begins to work on an attempt and would end at {@code plannedEndMs}. */
    void onRunBegan(String attempt, long nowMs, long plannedEndMs) {
        runs.computeIfAbsent(attempt, none -> new ArrayList<>(1)).add(new Run(nowMs, plannedEndMs));
    }

    /** An instance ends its latest run of an attempt, complete or not. */
    void onRunEnded(String attempt, long nowMs) {
        List<Run> of = runs.get(attempt);
        for (int i = of == null ? -1 : of.size() - 1; i >= 0; i--) {
            if (of.get(i).endedMs == Long.MAX_VALUE) {
                of.get(i).endedMs = nowMs;
                return;
            }
        }
    }

    /** The client of an attempt disconnects before its response. */
    void onClientLeft(String attempt, boolean repeatable, long nowMs) {
        departures.put(attempt, new Departure(repeatable, nowMs));
    }

    /** Judges all departures, once the last run has ended or could have ended. */
    Summary summary() {
        int late = 0;
        int longRuns = 0;
        int wentOn = 0;
        int cutShort = 0;
        for (Map.Entry<String, Departure> entry : departures.entrySet()) {
            Departure departure = entry.getValue();
            long endMs = departure.atMs + GRACE_MS;
            for (Run run : runs.getOrDefault(entry.getKey(), List.of())) {
                boolean isLate = run.beganMs > endMs;
                boolean isLong = departure.repeatable && !isLate && run.plannedEndMs > endMs;
                late += isLate ? 1 : 0;
                longRuns += isLong ? 1 : 0;
                wentOn += isLong && run.endedMs > endMs ? 1 : 0;
                cutShort += !departure.repeatable && run.endedMs < run.plannedEndMs ? 1 : 0;
            }
        }
        return new Summary(departures.size(), late, longRuns, wentOn, cutShort);
    }
}
