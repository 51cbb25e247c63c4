package brambletray.relay.recovery;

/**
 * How long a relay that has forgotten messages takes on none whose second try could do harm. Times are in ms
 * of a clock that only moves on: neither a pause nor a step of the wall clock ends it early.
 *
 * @param until end of the rest
 */
public record QuietPeriod(long until) {
    public static final QuietPeriod NONE = new QuietPeriod(Long.MIN_VALUE);

    /** What a finding asks for; {@code trusting}: a folder that nobody confirms is believed. */
    public static QuietPeriod after(FolderFinding finding, boolean trusting, long now) {
        if (finding instanceof FolderFinding.Lost lost) {
            return new QuietPeriod(now + lost.rest());
        } else if (finding instanceof FolderFinding.RolledBack back) {
            return new QuietPeriod(now + back.rest());
        } else if (finding instanceof FolderFinding.Unconfirmed unknown && !trusting) {
            return new QuietPeriod(now + unknown.rest());
        }
        return NONE;
    }

    /** The same where the last life ended before its own rest did: it begins anew. */
    public QuietPeriod orAgain(boolean rested, long now, long longest) {
        return rested ? new QuietPeriod(Math.max(until, now + longest)) : this;
    }

    /** True where what the folder says is owed may have been done since. */
    public static boolean doubts(FolderFinding finding, boolean trusting) {
        return finding instanceof FolderFinding.RolledBack
                || finding instanceof FolderFinding.Unconfirmed unknown && !unknown.empty() && !trusting;
    }

    /** ms to come back after; 0 where it is taken on. {@code harmless}: a second try of it is. */
    public long closed(long now, boolean harmless) {
        return harmless || now >= until ? 0 : until - now;
    }
}
