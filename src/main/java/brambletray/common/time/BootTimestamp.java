package brambletray.common.time;

/**
 * One instant as two clocks of a machine showed it. Ticks only move on, and mean something within one run of
 * the machine's kernel; the wall clock can be stepped.
 *
 * @param bootId tells one run of the machine from another; 0 where it is not known
 * @param steadyMs ms since some point of that run
 * @param wallMs Unix time, ms
 */
public record BootTimestamp(long bootId, long steadyMs, long wallMs) {
    /** ms; less than this is drift, not a step. */
    static final long MIN_STEP_MS = 1_000;
    /** What {@link #msSince} gives where nobody can tell. */
    public static final long UNKNOWN = -1;

    /** ms that have passed since an earlier moment, or {@link #UNKNOWN}: whatever the wall clock says. */
    public long msSince(BootTimestamp earlier) {
        boolean same = bootId != 0 && bootId == earlier.bootId && steadyMs >= earlier.steadyMs;
        return same ? steadyMs - earlier.steadyMs : UNKNOWN;
    }

    /** ms by which the wall clock was set on (below 0: back) since; 0 where nobody can tell. */
    public long stepSinceMs(BootTimestamp earlier) {
        long passed = msSince(earlier);
        long step = passed == UNKNOWN ? 0 : wallMs - earlier.wallMs - passed;
        return Math.abs(step) < MIN_STEP_MS ? 0 : step;
    }
}
