package brambletray.platform.proxy;

import brambletray.platform.admission.AttemptOutcome;

/** What is known about whether a request ran, in increasing order of the risk of running it again. */
enum RunState {
    /** The request provably ran on no instance. */
    NOT_RUN,
    /** The connection to the instance that had the request was lost. */
    CONNECTION_LOST,
    /** An instance has or may have run the request to completion. */
    MAY_HAVE_RUN;

    /** The state after an attempt of which at least one byte was sent. */
    static RunState of(AttemptOutcome outcome) {
        return switch (outcome) {
            case NOT_RUN, WRONG_HOST, UNREACHED, UNUSED -> NOT_RUN;
            case BROKEN -> CONNECTION_LOST;
            case SERVED, FAILED, SILENT, CANCELLED -> MAY_HAVE_RUN;
        };
    }

    RunState combine(RunState other) {
        return compareTo(other) >= 0 ? this : other;
    }
}
