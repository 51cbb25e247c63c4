package brambletray.platform.proxy;

/** The claim of one request on its operation. One of {@link #complete}, {@link #release}, {@link #abandon} ends it. */
public interface OperationClaim {
    /** Of a request whose operation nobody counts. */
    OperationClaim NONE = new OperationClaim() {
        @Override
        public boolean isUsable() {
            return true;
        }

        @Override
        public void complete(RecordedAnswer answer) {
            // nobody asks for it
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

    /** Whether the request may still be sent under it. */
    boolean isUsable();

    /** An instance has answered the request. */
    void complete(RecordedAnswer answer);

    /** The request has not run and never will: another attempt may. */
    void release();

    /** The request may have run, and its answer is not known. */
    void abandon();
}
