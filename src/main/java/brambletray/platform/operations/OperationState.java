package brambletray.platform.operations;

/** What the edge that holds a claim knows of its request. */
public enum OperationState {
    /** It may be sent, or is at an instance. */
    RUNNING,
    /** An instance has answered; the answer is known. */
    DONE,
    /** It has not run and never will; the claim is being released. */
    NOT_RUN,
    /** It may have run, and its answer is not known. */
    UNKNOWN
}
