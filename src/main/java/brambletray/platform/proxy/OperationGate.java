package brambletray.platform.proxy;

import brambletray.platform.operations.OperationIdentity;

/**
 * Grants a keyed request the claim on its operation, or reports the result of the operation's first attempt (rule
 * TWICE). To be used on the loop only.
 */
public interface OperationGate {
    /** Grants every request without a claim; for edges whose configuration has no keyed route. */
    OperationGate UNCLAIMED = new OperationGate() {
        @Override
        public void claim(OperationIdentity operation, int maxWaitMs, Listener listener) {
            listener.onClaimed(OperationClaim.NONE);
        }

        @Override
        public Progress cancel(Listener listener) {
            return Progress.NOT_CLAIMED;
        }
    };

    /** State of an operation that an attempt is waiting for. */
    enum Progress {
        /** The claim of this attempt has been neither granted nor refused. */
        NOT_CLAIMED,
        /** Another attempt came first and is in progress. */
        IN_PROGRESS,
        /** Another attempt came first; its result is not known. */
        UNKNOWN
    }

    /**
     * Claims an operation for one attempt of a client. The listener is called once, possibly before this method
     * returns.
     *
     * @param maxWaitMs how long to wait for a claim that cannot be obtained; an attempt in progress is waited for until
     *     {@link #cancel}
     */
    void claim(OperationIdentity operation, int maxWaitMs, Listener listener);

    /**
     * Stops waiting for this listener's attempt: the listener is not called any more, and a claim that is granted later
     * is released.
     */
    Progress cancel(Listener listener);

    /** Receives the result for one attempt. */
    interface Listener {
        /** The attempt may run, and no other attempt of this operation will. */
        void onClaimed(OperationClaim claim);

        /** An earlier attempt was completed with this answer. */
        void onAnswered(RecordedAnswer answer);

        /** An earlier attempt may have run, but its answer is lost. */
        void onUnknown();

        /** The claim cannot be obtained now. */
        void onUnavailable(int retryAfterMs);
    }
}
