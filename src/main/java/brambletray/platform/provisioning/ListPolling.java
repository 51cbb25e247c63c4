package brambletray.platform.provisioning;

/**
 * When the platform's lists are asked for: often while there are hosts, seldom otherwise, with growing pauses while it
 * does not answer.
 */
final class ListPolling {
    /**
     * ms between lists of hosts, of workers, of either while nothing runs, and the least between two of workers after a
     * refusal.
     */
    private static final long INSTANCES_INTERVAL_MS = 700;

    private static final long WORKERS_INTERVAL_MS = 1_000;
    private static final long IDLE_INTERVAL_MS = 3_000;
    private static final long HURRIED_INTERVAL_MS = 300;
    /** ms; a list that has not been answered by then is asked for again. */
    private static final long LOST_TIMEOUT_MS = 10_000;

    private static final long MIN_BACKOFF_MS = 100;
    private static final long MAX_BACKOFF_MS = 1_000;

    /** One of the two lists. */
    static final class Poll {
        private final long busyIntervalMs;
        private long requestedAtMs = Long.MIN_VALUE / 2;
        private long nextRequestMs = Long.MIN_VALUE / 2;
        private boolean inFlight;
        private int failures;

        private Poll(long busy) {
            this.busyIntervalMs = busy;
        }

        private boolean due(long now, boolean working) {
            if (inFlight && now - requestedAtMs < LOST_TIMEOUT_MS) {
                return false;
            }
            long at = failures > 0
                    ? nextRequestMs
                    : Math.min(nextRequestMs, requestedAtMs + (working ? busyIntervalMs : IDLE_INTERVAL_MS));
            if (now < at) {
                return false;
            }
            requestedAtMs = now;
            nextRequestMs = now + IDLE_INTERVAL_MS;
            inFlight = true;
            return true;
        }

        /** It has come; returns when it had been asked for. */
        long onCompleted(long now, boolean complete) {
            inFlight = false;
            if (complete) {
                failures = 0;
            } else {
                nextRequestMs = now + Math.min(MAX_BACKOFF_MS, MIN_BACKOFF_MS << Math.min(failures, 4));
                failures++;
            }
            return requestedAtMs;
        }
    }

    final Poll instances;
    final Poll workers;

    /** {@code ratePerS}: lists accepted a second; at most half of that is used. */
    ListPolling(double ratePerS) {
        double stretch = Math.max(1, (1000.0 / INSTANCES_INTERVAL_MS + 1000.0 / WORKERS_INTERVAL_MS) / (ratePerS / 2));
        instances = new Poll((long) (INSTANCES_INTERVAL_MS * stretch));
        workers = new Poll((long) (WORKERS_INTERVAL_MS * stretch));
    }

    void tick(long now, boolean working, ProvisioningActions actions) {
        if (workers.due(now, working)) {
            actions.requestWorkerList();
        }
        if (instances.due(now, working)) {
            actions.requestInstanceList();
        }
    }

    /** A worker has refused what its list promised. */
    void hasten() {
        workers.nextRequestMs = Math.min(workers.nextRequestMs, workers.requestedAtMs + HURRIED_INTERVAL_MS);
    }
}
