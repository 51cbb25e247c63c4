package brambletray.relay.recovery;

/**
 * How long a relay that has forgotten messages takes on none whose second attempt could do harm. Times are in ms
 * of a clock that only moves on: neither a pause nor a step of the wall clock ends it early.
 *
 * @param untilMs end of the quiet period
 */
public record QuietPeriod(long untilMs) {
    public static final QuietPeriod NONE = new QuietPeriod(Long.MIN_VALUE);

    /** What a finding asks for; {@code trusting}: a folder that nobody confirms is believed. */
    public static QuietPeriod requiredBy(FolderFinding finding, boolean trusting, long now) {
        if (finding instanceof FolderFinding.Lost lost) {
            return new QuietPeriod(now + lost.quietPeriodMs());
        } else if (finding instanceof FolderFinding.RolledBack back) {
            return new QuietPeriod(now + back.quietPeriodMs());
        } else if (finding instanceof FolderFinding.Unconfirmed unknown && !trusting) {
            return new QuietPeriod(now + unknown.quietPeriodMs());
        }
        return NONE;
    }

    /** The same where the last incarnation ended before its own quiet period did: it begins anew. */
    public QuietPeriod orRestarted(boolean rested, long now, long longest) {
        return rested ? new QuietPeriod(Math.max(untilMs, now + longest)) : this;
    }

    /** True where what the folder says is owed may have been done since. */
    public static boolean makesOwedUncertain(FolderFinding finding, boolean trusting) {
        return finding instanceof FolderFinding.RolledBack
                || finding instanceof FolderFinding.Unconfirmed unknown && !unknown.isEmpty() && !trusting;
    }

    /** ms to come back after; 0 where it is taken on. {@code harmless}: a second attempt of it is. */
    public long retryAfterMs(long now, boolean harmless) {
        return harmless || now >= untilMs ? 0 : untilMs - now;
    }
}
