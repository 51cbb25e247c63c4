package brambletray.platform.proxy;

import brambletray.platform.operations.OperationKey;

/**
 * Where a keyed request gets the claim on its operation, or what became of the operation's first attempt (rule TWICE).
 * On the loop only.
 */
public interface OperationGate {
    /** Claims nothing and grants everything: for edges whose configuration has no keyed route. */
    OperationGate UNCLAIMED = new OperationGate() {
        @Override
        public void claim(OperationKey operation, int maxWaitMs, Listener listener) {
            listener.onClaimed(OperationClaim.NONE);
        }

        @Override
        public Progress cancel(Listener listener) {
            return Progress.NOT_CLAIMED;
        }
    };

    /** How far an operation has come that one attempt waits for. */
    enum Progress {
        /** The claim of this attempt is neither granted nor refused. */
        NOT_CLAIMED,
        /** Another attempt came first, and is in work. */
        IN_PROGRESS,
        /** Another attempt came first; what became of it is not known. */
        UNKNOWN
    }

    /**
     * Claims an operation for one attempt of a client. The listener is called once, perhaps before this returns.
     *
     * @param maxWaitMs for how long a claim that cannot be had is waited for; an attempt that is in work is waited for
     *     until {@link #cancel}
     */
    void claim(OperationKey operation, int maxWaitMs, Listener listener);

    /**
     * The attempt of this listener does not wait any more; it is not called from now on, and a claim that comes yet is
     * released.
     */
    Progress cancel(Listener listener);

    /** What one attempt hears. */
    interface Listener {
        /** It may run, and nothing else will under this operation. */
        void onClaimed(OperationClaim claim);

        /** An earlier attempt has this answer. */
        void onAnswered(RecordedAnswer answer);

        /** An earlier attempt may have run, and its answer is lost. */
        void onUnknown();

        /** The claim cannot be had now. */
        void onUnavailable(int retryAfterMs);
    }
}
