package brambletray.platform.proxy;

import brambletray.platform.admission.AttemptOutcome;

/** What is known of whether a request ran, from the least to the most that stands against another run. */
enum RunState {
    /** It provably ran nowhere. */
    NOT_RUN,
    /** The connection of the instance that had it broke. */
    CONNECTION_LOST,
    /** An instance has or may have run it to its end. */
    MAY_HAVE_RUN;

    /** For an attempt of which a byte was sent. */
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
