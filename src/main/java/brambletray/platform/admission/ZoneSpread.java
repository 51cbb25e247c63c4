package brambletray.platform.admission;

import java.util.HashMap;
import java.util.Map;

/**
 * Decides, in the root zone, which zones have a queue of their own. A zone's queue opens if for {@code openAfterMs} the
 * zone's demand justified an instance (saved cross-zone traffic outweighs the instance's memory) or filled an instance.
 * An opening queue is sent one request, which makes it start an instance; the root zone serves the zone's other
 * requests until the expected end of the boot. A request that comes back from a zone shows that the zone's queue is not
 * open, or no longer open.
 */
final class ZoneSpread {
    private static final int MAX_REMEMBERED_REDIRECTS = 32;

    private static final class Zone {
        final EventRate rate = new EventRate(2000);
        long aboveSinceMs = Long.MIN_VALUE;
        boolean open;
        long warmAtMs;
    }

    private final AdmissionParameters.Spread parameters;
    private final Map<String, Zone> zones = new HashMap<>();
    private final long[] redirected = new long[MAX_REMEMBERED_REDIRECTS];
    private int redirectedIndex;

    ZoneSpread(AdmissionParameters.Spread parameters) {
        this.parameters = parameters;
    }

    /** Request rate per ms above which instances in a zone of its own cost less than cross-zone traffic. */
    static double breakEvenRate(AdmissionParameters.Spread parameters, ServiceSpec spec, int workMs) {
        double byPrice = parameters.crossZoneGbS() <= 0
                ? Double.MAX_VALUE
                : spec.memoryMb() / 1024.0 / parameters.crossZoneGbS() / 1000;
        return Math.min(byPrice, (double) spec.maxConcurrency() / Math.max(1, workMs));
    }

    /** Whether a request is redirected to the queue of the requester's zone. */
    boolean shouldRedirect(SlotRequest request, ServiceSpec spec, int workMs, int bootMs, long now) {
        Zone zone = zones.computeIfAbsent(request.zone(), z -> new Zone());
        if (!request.hedge() && !request.retry()) {
            zone.rate.add(now);
        }
        long key = key(request);
        for (long one : redirected) {
            if (one == key) {
                zone.open &= zone.rate.perMs(now) >= breakEvenRate(parameters, spec, workMs);
                zone.warmAtMs = now + bootMs + bootMs / 2;
                return false;
            }
        }
        if (!zone.open) {
            if (zone.rate.perMs(now) < breakEvenRate(parameters, spec, workMs)) {
                zone.aboveSinceMs = Long.MIN_VALUE;
                return false;
            }
            if (zone.aboveSinceMs == Long.MIN_VALUE) {
                zone.aboveSinceMs = now;
            }
            if (now - zone.aboveSinceMs < parameters.openAfterMs() || request.hedge()) {
                return false;
            }
            zone.open = true;
            zone.warmAtMs = now;
        }
        if (now < zone.warmAtMs || request.hedge()) {
            return false;
        }
        redirected[redirectedIndex] = key;
        redirectedIndex = (redirectedIndex + 1) % MAX_REMEMBERED_REDIRECTS;
        return true;
    }

    private static long key(SlotRequest request) {
        return request.id() * 31 + request.edge().hashCode() | 1;
    }
}
