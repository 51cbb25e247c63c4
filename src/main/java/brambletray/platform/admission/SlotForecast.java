package brambletray.platform.admission;

import java.util.Arrays;

/**
 * Estimates the time until a slot is free for a request with {@code ahead} others before it. Slots of running instances
 * are released at the rate of slots / response time; each pending start adds its slots at the end of its boot. Clients
 * that were asked to retry count as ahead of the requests queued when they are due.
 */
final class SlotForecast {
    /** Result of {@link #waitMs} if no slot becomes free. */
    static final int NEVER = Integer.MAX_VALUE / 4;

    private final long[] bootEndsMs = new long[32];
    private int starts;
    private double workingSlots;
    private double workMs;
    private int maxConcurrency;
    private long nowMs;

    SlotForecast reset(int slots, int workMs, int maxConcurrency, long now) {
        starts = 0;
        workingSlots = slots;
        this.workMs = workMs;
        this.maxConcurrency = maxConcurrency;
        this.nowMs = now;
        return this;
    }

    /** Adds an instance that is expected to be up at {@code at}. */
    void addBoot(long at) {
        if (starts < bootEndsMs.length) {
            bootEndsMs[starts++] = Math.max(0, at - nowMs);
        }
    }

    /**
     * Time until a slot is free for the request with {@code ahead} others before it, ms; {@link #NEVER} if no instance
     * is up or booting.
     */
    int waitMs(int ahead) {
        Arrays.sort(bootEndsMs, 0, starts);
        double neededSlots = ahead + 1;
        double freedSlots = 0;
        double slotsPerMs = workingSlots / workMs;
        long at = 0;
        for (int i = 0; i <= starts; i++) {
            long until = i < starts ? bootEndsMs[i] : NEVER;
            if (slotsPerMs > 0) {
                double freeAt = at + (neededSlots - freedSlots) / slotsPerMs;
                if (freeAt <= until) {
                    return (int) Math.ceil(freeAt);
                }
                freedSlots += (until - at) * slotsPerMs;
            }
            if (i == starts) {
                break;
            }
            at = until;
            freedSlots += maxConcurrency;
            if (freedSlots >= neededSlots) {
                return (int) at;
            }
            slotsPerMs += maxConcurrency / workMs;
        }
        return NEVER;
    }
}
