package brambletray.platform.provisioning;

/** What came of a call to the platform that starts or stops a host. */
public enum CallResult {
    /** 200. */
    OK,
    /** 409: no room on that worker, or it is down, draining or unknown; nothing was started. */
    REJECTED,
    /** 429: over the rate; nothing was done. */
    BUSY,
    /** 400: no such service, or the call is not understood; nothing was done. */
    MALFORMED,
    /** 404: no such host ever existed. */
    NO_SUCH,
    /** 403 or 412: somebody with a later fence has the duty; nothing was done. */
    FENCED,
    /** No answer, or 5xx: it may have been done. */
    UNKNOWN
}
