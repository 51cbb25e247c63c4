package brambletray.platform.admission;

/** The outcome of a request at an instance. */
public enum AttemptOutcome {
    /** A complete response was received. */
    SERVED,
    /** The instance rejected the request as full and stated that it did not run. */
    NOT_RUN,
    /** Status 421: another instance has the address now. */
    WRONG_HOST,
    /** The instance answered with a failure (500, 504): the request ran. */
    FAILED,
    /** The connection was reset, or the response was truncated or malformed: the request may have run. */
    BROKEN,
    /** No connection could be established: the request did not run. */
    UNREACHED,
    /** The edge closed the connection; the instance may still be working on the request. */
    CANCELLED,
    /** No response before the deadline. */
    SILENT,
    /** Nothing was sent: the grant was a duplicate, too late, or from another home than the one asked. */
    UNUSED
}
