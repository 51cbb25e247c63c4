package brambletray.platform.operations;

/** The state of a request, as known to the edge that holds its claim. */
public enum OperationState {
    /** The request may still be sent, or an instance is processing it. */
    RUNNING,
    /** An instance has answered, and the answer is known. */
    DONE,
    /** The request has not run and never will; the claim is being released. */
    NOT_RUN,
    /** The request may have run, but its answer is not known. */
    UNKNOWN
}
