package brambletray.platform.provisioning;

import java.util.Map;

/**
 * What a deployment says about its platform. {@code zones}: zone to region; {@code lagMs}: how old its lists are, ms;
 * {@code ratePerS}: lists accepted a second; {@code dutyRatePerS}: starts and stops accepted a second, from all
 * together.
 */
public record PlatformTerms(Map<String, String> zones, int listLagMs, double ratePerS, double coordinatorRatePerS) {
    /** 0 in one zone, 1 in one region, 2 beyond. */
    int distance(String from, String to) {
        if (from.equals(to)) {
            return 0;
        }
        String region = zones.get(from);
        return region != null && region.equals(zones.get(to)) ? 1 : 2;
    }
}
