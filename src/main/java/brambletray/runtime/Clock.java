package brambletray.runtime;

import io.netty.util.concurrent.Ticker;
import java.util.concurrent.TimeUnit;

/**
 * The one clock of a relay: the ticker of its event loop, and a wall clock that is read once and moves on
 * with the ticker. So time stamps and timers never disagree, a step of the machine's wall clock moves no
 * deadline of a running relay, and in simulated time both stand still until they are moved.
 */
public final class Clock {
    private final Ticker ticker;
    private final long began;
    private final long beganUnixNanos;

    private Clock(Ticker ticker, long unixMillis) {
        this.ticker = ticker;
        this.began = ticker.nanoTime();
        this.beganUnixNanos = TimeUnit.MILLISECONDS.toNanos(unixMillis);
    }

    /** The machine's own time. */
    public static Clock system() {
        return new Clock(Ticker.systemTicker(), System.currentTimeMillis());
    }

    /** A clock that goes by this ticker, and shows {@code unixMillis} (Unix time, ms) now. */
    public static Clock of(Ticker ticker, long unixMillis) {
        return new Clock(ticker, unixMillis);
    }

    /** A time of arbitrary origin that never goes back; ns. */
    public long nanos() {
        return ticker.nanoTime();
    }

    /** Time since this clock was made; us. */
    public long micros() {
        return (ticker.nanoTime() - began) / 1_000;
    }

    /** Unix time; ms. */
    public long unixMillis() {
        return TimeUnit.NANOSECONDS.toMillis(beganUnixNanos + (ticker.nanoTime() - began));
    }
}
