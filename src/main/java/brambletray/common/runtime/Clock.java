package brambletray.common.runtime;

import brambletray.common.time.BootTimestamp;
import io.netty.util.concurrent.Ticker;
import java.util.concurrent.TimeUnit;

/**
 * The one clock of a relay: the ticker of its event loop, and a wall clock that is read once and moves on
 * with the ticker. So time stamps and timers never disagree, a step of the machine's wall clock moves no
 * deadline of a running relay, and in simulated time both stand still until they are moved.
 */
public final class Clock {
    /** ms; for rehearsals: as if the wall clock had been set so much on before this process began. */
    private static final long WALL_STEP = Long.getLong("brambletray.wall_step_ms", 0);

    private final Ticker ticker;
    private final long began;
    private final long run;
    private long beganUnixNanos;

    private Clock(Ticker ticker, long unixMillis, long run) {
        this.ticker = ticker;
        this.run = run;
        this.began = ticker.nanoTime();
        this.beganUnixNanos = TimeUnit.MILLISECONDS.toNanos(unixMillis);
    }

    /** The machine's own time. */
    public static Clock system() {
        return new Clock(Ticker.systemTicker(), System.currentTimeMillis() + WALL_STEP, BootId.read());
    }

    /** A clock that goes by this ticker, and shows {@code unixMillis} (Unix time, ms) now. */
    public static Clock of(Ticker ticker, long unixMillis) {
        return new Clock(ticker, unixMillis, 1);
    }

    /** A time of arbitrary origin that never goes back; ns. */
    public long nanos() {
        return ticker.nanoTime();
    }

    /** Time since this clock was made; us. */
    public long micros() {
        return (ticker.nanoTime() - began) / 1_000;
    }

    /** Now, on both clocks, for another process to compare with. */
    public BootTimestamp moment() {
        long ticks = ticker.initialNanoTime() + ticker.nanoTime();
        return new BootTimestamp(run, TimeUnit.NANOSECONDS.toMillis(ticks), unixMillis());
    }

    /** Unix times are so many ms more from now on; before anybody has read one. */
    public void shift(long millis) {
        beganUnixNanos += TimeUnit.MILLISECONDS.toNanos(millis);
    }

    /** Unix time; ms. */
    public long unixMillis() {
        return TimeUnit.NANOSECONDS.toMillis(beganUnixNanos + (ticker.nanoTime() - began));
    }
}
