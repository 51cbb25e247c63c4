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
    private static final long HOSTS = 700;

    private static final long WORKERS = 1_000;
    private static final long IDLE = 3_000;
    private static final long HASTE = 300;
    /** ms; a list that has not been answered by then is asked for again. */
    private static final long LOST = 10_000;

    private static final long PAUSE_LEAST = 100;
    private static final long PAUSE_MOST = 1_000;

    /** One of the two lists. */
    static final class Poll {
        private final long busy;
        private long askedAt = Long.MIN_VALUE / 2;
        private long next = Long.MIN_VALUE / 2;
        private boolean out;
        private int failed;

        private Poll(long busy) {
            this.busy = busy;
        }

        private boolean due(long now, boolean working) {
            if (out && now - askedAt < LOST) {
                return false;
            }
            long at = failed > 0 ? next : Math.min(next, askedAt + (working ? busy : IDLE));
            if (now < at) {
                return false;
            }
            askedAt = now;
            next = now + IDLE;
            out = true;
            return true;
        }

        /** It has come; returns when it had been asked for. */
        long came(long now, boolean whole) {
            out = false;
            if (whole) {
                failed = 0;
            } else {
                next = now + Math.min(PAUSE_MOST, PAUSE_LEAST << Math.min(failed, 4));
                failed++;
            }
            return askedAt;
        }
    }

    final Poll hosts;
    final Poll workers;

    /** {@code perS}: lists accepted a second; at most half of that is used. */
    ListPolling(double perS) {
        double stretch = Math.max(1, (1000.0 / HOSTS + 1000.0 / WORKERS) / (perS / 2));
        hosts = new Poll((long) (HOSTS * stretch));
        workers = new Poll((long) (WORKERS * stretch));
    }

    void tick(long now, boolean working, ProvisioningActions hands) {
        if (workers.due(now, working)) {
            hands.askWorkers();
        }
        if (hosts.due(now, working)) {
            hands.askList();
        }
    }

    /** A worker has refused what its list promised. */
    void hasten() {
        workers.next = Math.min(workers.next, workers.askedAt + HASTE);
    }
}
