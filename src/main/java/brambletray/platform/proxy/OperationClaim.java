package brambletray.platform.proxy;

/**
 * The claim of one request on its operation. It is ended by exactly one of {@link #complete}, {@link #release} and
 * {@link #abandon}.
 */
public interface OperationClaim {
    /** The claim of a request whose operation is not tracked. */
    OperationClaim NONE = new OperationClaim() {
        @Override
        public boolean isUsable() {
            return true;
        }

        @Override
        public void complete(RecordedAnswer answer) {
            // Answers of untracked operations are not recorded.
        }

        @Override
        public void release() {
            // nothing is claimed
        }

        @Override
        public void abandon() {
            // nothing is claimed
        }
    };

    /** Whether the request may still be sent under this claim. */
    boolean isUsable();

    /** An instance has answered the request. */
    void complete(RecordedAnswer answer);

    /** The request has not run and never will: another attempt may run. */
    void release();

    /** The request may have run, but its answer is not known. */
    void abandon();
}
