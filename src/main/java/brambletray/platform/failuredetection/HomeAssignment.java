package brambletray.platform.failuredetection;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Which peer is home of a service, in each zone, by one roster: the one with the highest hash of service and name
 * among the active peers (rendezvous hashing, Thaler and Ravishankar 1998). So a change of the roster moves only
 * services of peers that came or went, and every process with the same roster finds the same home. Results are
 * cached; a new roster has a new assignment.
 */
public final class HomeAssignment {
    /** Results that are cached at most, of each kind; others are computed each time. */
    private static final int MAX_CACHED = 8_192;

    private record ZonePeers(String zone, long hash, Peer[] peers, long[] hashes, Map<String, Peer> homeCache) {}

    private final Roster roster;
    private final Map<String, ZonePeers> zones = new LinkedHashMap<>();
    private final Map<String, String> rootZoneCache = new HashMap<>();

    /** The assignment by this roster. */
    public HomeAssignment(Roster roster) {
        this.roster = roster;
        Map<String, List<Peer>> byZone = new TreeMap<>();
        for (Peer peer : roster.peers()) {
            if (peer.isActive()) {
                byZone.computeIfAbsent(peer.zone(), zone -> new ArrayList<>()).add(peer);
            }
        }
        byZone.forEach((zone, peers) -> {
            long[] hashes = new long[peers.size()];
            for (int i = 0; i < hashes.length; i++) {
                hashes[i] = StableHash.of(peers.get(i).name());
            }
            zones.put(
                    zone,
                    new ZonePeers(zone, StableHash.of(zone), peers.toArray(new Peer[0]), hashes, new HashMap<>()));
        });
    }

    /** The roster that it follows. */
    public Roster roster() {
        return roster;
    }

    /** The home of a service in a zone, or null if no peer is in there. */
    public Peer homeOf(String service, String zone) {
        ZonePeers zonePeers = zones.get(zone);
        if (zonePeers == null) {
            return null;
        }
        Peer known = zonePeers.homeCache().get(service);
        if (known != null) {
            return known;
        }
        long hash = StableHash.of(service);
        int best = 0;
        long highest = 0;
        for (int i = 0; i < zonePeers.hashes().length; i++) {
            long weight = StableHash.of(hash, zonePeers.hashes()[i]);
            if (i == 0 || Long.compareUnsigned(weight, highest) > 0) {
                best = i;
                highest = weight;
            }
        }
        return cache(zonePeers.homeCache(), service, zonePeers.peers()[best]);
    }

    /**
     * The home and those that would be home without it, the next best first; {@code maxCount} of them or as many as
     * are in.
     */
    public List<Peer> homes(String service, String zone, int maxCount) {
        ZonePeers zonePeers = zones.get(zone);
        if (zonePeers == null) {
            return List.of();
        }
        long hash = StableHash.of(service);
        List<Integer> order = new ArrayList<>();
        for (int i = 0; i < zonePeers.hashes().length; i++) {
            order.add(i);
        }
        order.sort((a, b) -> Long.compareUnsigned(
                StableHash.of(hash, zonePeers.hashes()[b]),
                StableHash.of(hash, zonePeers.hashes()[a])));
        List<Peer> best = new ArrayList<>();
        for (int i = 0; i < maxCount && i < order.size(); i++) {
            best.add(zonePeers.peers()[order.get(i)]);
        }
        return best;
    }

    /**
     * The zone whose home lends a rare service to the others: found like a home, among the zones that have peers in;
     * null if none has.
     */
    public String rootZone(String service) {
        String known = rootZoneCache.get(service);
        if (known != null) {
            return known;
        }
        long hash = StableHash.of(service);
        String best = null;
        long highest = 0;
        for (ZonePeers zonePeers : zones.values()) {
            long weight = StableHash.of(hash, zonePeers.hash());
            if (best == null || Long.compareUnsigned(weight, highest) > 0) {
                best = zonePeers.zone();
                highest = weight;
            }
        }
        return best == null ? null : cache(rootZoneCache, service, best);
    }

    /** The home in the root zone, or null. */
    public Peer rootOf(String service) {
        String zone = rootZone(service);
        return zone == null ? null : homeOf(service, zone);
    }

    /** The zones that have peers in, by name. */
    public List<String> zones() {
        return List.copyOf(zones.keySet());
    }

    private static <T> T cache(Map<String, T> cache, String service, T answer) {
        if (cache.size() < MAX_CACHED) {
            cache.put(service, answer);
        }
        return answer;
    }
}
