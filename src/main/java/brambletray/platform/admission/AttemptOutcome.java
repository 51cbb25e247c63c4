package brambletray.platform.admission;

/** What became of a request at a host. */
public enum AttemptOutcome {
    /** A complete answer came. */
    SERVED,
    /** The host turned it away as full, and has said that it did not run. */
    NOT_RUN,
    /** 421: another host has the address now. */
    WRONG_HOST,
    /** The host's own failure (500, 504): it ran. */
    FAILED,
    /** Reset, cut off, or bytes that are no answer: it may have run. */
    BROKEN,
    /** No connection came up: it did not run. */
    UNREACHED,
    /** The connection was closed by us; the host may still work on it. */
    CANCELLED,
    /** No answer by the end of its time. */
    SILENT,
    /** Nothing was sent: the grant came twice, or from a home that is not the one asked, or too late. */
    UNUSED
}
