package brambletray.relay.emulator;

/** What is left of one {@link Limit}; fed with times in ns that never go back. */
final class Meter {
    private final Limit limit;
    private double tokens;
    private long at;
    private long spanStart;
    private int used;

    Meter(Limit limit, long now) {
        this.limit = limit;
        this.at = now;
        this.tokens = limit instanceof Limit.Rate rate ? rate.burst() : 0;
        this.spanStart = limit instanceof Limit.Span span ? now - Math.floorMod(now, span.span()) : 0;
    }

    Limit limit() {
        return limit;
    }

    private void move(long now) {
        if (now < at) {
            // Guards a limit that endpoints share: one may look back at an instant that another has passed.
            return;
        }
        if (limit instanceof Limit.Rate rate) {
            tokens = Math.min(rate.burst(), tokens + (now - at) * rate.perSecond() / 1e9);
        } else if (limit instanceof Limit.Span span && now - spanStart >= span.span()) {
            spanStart = now - Math.floorMod(now, span.span());
            used = 0;
        }
        at = now;
    }

    /** Lets one call in, if there is room. */
    boolean take(long now) {
        move(now);
        if (limit instanceof Limit.Rate) {
            // A rounding error must not shut out the call that comes just when its token is there.
            if (tokens < 1 - 1e-9) {
                return false;
            }
            tokens -= 1;
        } else if (limit instanceof Limit.Span span) {
            if (used >= span.count()) {
                return false;
            }
            used++;
        }
        return true;
    }

    /** A call was refused, above the limit or for another reason. */
    void refused(long now) {
        if (!limit.refusedUse()) {
            return;
        }
        move(now);
        if (limit instanceof Limit.Rate) {
            tokens = Math.max(0, tokens - 1);
        } else if (limit instanceof Limit.Span span) {
            used = Math.min(span.count(), used + 1);
        }
    }

    /** When there is room for a call again, if nobody takes it before; ns. */
    long opensAt(long now) {
        move(now);
        if (limit instanceof Limit.Rate rate) {
            return tokens >= 1 - 1e-9 ? now : now + (long) Math.ceil((1 - tokens) / rate.perSecond() * 1e9);
        }
        if (limit instanceof Limit.Span span) {
            return used < span.count() ? now : spanStart + span.span();
        }
        return now;
    }

    /** Share of the limit that is left; 1 where there is none. */
    double left(long now) {
        move(now);
        if (limit instanceof Limit.Rate rate) {
            return tokens / rate.burst();
        }
        return limit instanceof Limit.Span span ? (span.count() - used) / (double) span.count() : 1;
    }
}
