package brambletray.platform.admission;

import java.util.HashMap;
import java.util.Map;

/**
 * At the root seat: which zones have a seat of their own. One opens where the zone's demand would pay for hosts of its
 * own (crossing saved beside a host's memory) or fill a whole host, for {@code openMs}. An opening seat is sent one
 * ask, and boots; the root serves the others until the boot must be over. An ask that comes back from a zone tells that
 * its seat is not open (any more).
 */
final class ZoneSpread {
    private static final int RETURNS = 32;

    private static final class Zone {
        final EventRate rate = new EventRate(2000);
        long aboveSince = Long.MIN_VALUE;
        boolean open;
        long warmAt;
    }

    private final AdmissionParameters.Spread law;
    private final Map<String, Zone> zones = new HashMap<>();
    private final long[] sent = new long[RETURNS];
    private int sentAt;

    ZoneSpread(AdmissionParameters.Spread law) {
        this.law = law;
    }

    /** Requests per ms above which a zone pays for hosts of its own. */
    static double pays(AdmissionParameters.Spread law, ServiceSpec spec, int workMs) {
        double byPrice = law.crossGbS() <= 0 ? Double.MAX_VALUE : spec.memoryMb() / 1024.0 / law.crossGbS() / 1000;
        return Math.min(byPrice, (double) spec.most() / Math.max(1, workMs));
    }

    /** Whether an ask from {@code zone} is sent to that zone's seat. */
    boolean away(SlotRequest ask, ServiceSpec spec, int workMs, int bootMs, long now) {
        Zone zone = zones.computeIfAbsent(ask.zone(), z -> new Zone());
        if (!ask.copy() && !ask.again()) {
            zone.rate.add(now);
        }
        long key = key(ask);
        for (long one : sent) {
            if (one == key) {
                zone.open &= zone.rate.perMs(now) >= pays(law, spec, workMs);
                zone.warmAt = now + bootMs + bootMs / 2;
                return false;
            }
        }
        if (!zone.open) {
            if (zone.rate.perMs(now) < pays(law, spec, workMs)) {
                zone.aboveSince = Long.MIN_VALUE;
                return false;
            }
            if (zone.aboveSince == Long.MIN_VALUE) {
                zone.aboveSince = now;
            }
            if (now - zone.aboveSince < law.openMs() || ask.copy()) {
                return false;
            }
            zone.open = true;
            zone.warmAt = now;
        }
        if (now < zone.warmAt || ask.copy()) {
            return false;
        }
        sent[sentAt] = key;
        sentAt = (sentAt + 1) % RETURNS;
        return true;
    }

    private static long key(SlotRequest ask) {
        return ask.id() * 31 + ask.edge().hashCode() | 1;
    }
}
