package brambletray.relay.recovery;

/**
 * How long a relay that has forgotten messages takes on none whose second try could do harm. Times are in ms
 * of a clock that only moves on: neither a pause nor a step of the wall clock ends it early.
 *
 * @param until end of the rest
 */
public record Rest(long until) {
    public static final Rest NONE = new Rest(Long.MIN_VALUE);

    /** What a finding asks for; {@code trusting}: a folder that nobody confirms is believed. */
    public static Rest after(Finding finding, boolean trusting, long now) {
        if (finding instanceof Finding.Lost lost) {
            return new Rest(now + lost.rest());
        } else if (finding instanceof Finding.RolledBack back) {
            return new Rest(now + back.rest());
        } else if (finding instanceof Finding.Unconfirmed unknown && !trusting) {
            return new Rest(now + unknown.rest());
        }
        return NONE;
    }

    /** The same where the last life ended before its own rest did: it begins anew. */
    public Rest orAgain(boolean rested, long now, long longest) {
        return rested ? new Rest(Math.max(until, now + longest)) : this;
    }

    /** True where what the folder says is owed may have been done since. */
    public static boolean doubts(Finding finding, boolean trusting) {
        return finding instanceof Finding.RolledBack
                || finding instanceof Finding.Unconfirmed unknown && !unknown.empty() && !trusting;
    }

    /** ms to come back after; 0 where it is taken on. {@code harmless}: a second try of it is. */
    public long closed(long now, boolean harmless) {
        return harmless || now >= until ? 0 : until - now;
    }
}
