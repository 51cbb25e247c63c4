package brambletray.platform.failuredetection;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Assigns each service to a home peer in each zone of a roster: the active peer with the highest hash of service and
 * peer name (rendezvous hashing, Thaler and Ravishankar 1998). A change of the roster moves only services of peers that
 * were added or removed, and all processes with the same roster compute the same home. Results are cached; each roster
 * has its own assignment.
 */
public final class HomeAssignment {
    /** Maximum number of cached results per zone, and of root zones; others are computed each time. */
    private static final int MAX_CACHED = 8_192;

    private record ZonePeers(String zone, long hash, Peer[] peers, long[] hashes, Map<String, Peer> homeCache) {}

    private final Roster roster;
    private final Map<String, ZonePeers> zones = new LinkedHashMap<>();
    private final Map<String, String> rootZoneCache = new HashMap<>();

    /** Groups the active peers of this roster by zone. */
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

    /** The roster that this assignment was computed from. */
    public Roster roster() {
        return roster;
    }

    /** The home of a service in a zone, or null if the zone has no active peer. */
    public Peer homeOf(String service, String zone) {
        ZonePeers zonePeers = zones.get(zone);
        if (zonePeers == null) {
            return null;
        }
        Peer cached = zonePeers.homeCache().get(service);
        if (cached != null) {
            return cached;
        }
        long hash = StableHash.of(service);
        int bestIndex = 0;
        long highestWeight = 0;
        for (int i = 0; i < zonePeers.hashes().length; i++) {
            long weight = StableHash.of(hash, zonePeers.hashes()[i]);
            if (i == 0 || Long.compareUnsigned(weight, highestWeight) > 0) {
                bestIndex = i;
                highestWeight = weight;
            }
        }
        return cache(zonePeers.homeCache(), service, zonePeers.peers()[bestIndex]);
    }

    /**
     * The home of a service in a zone, followed by the peers that would be next in line; at most {@code maxCount}
     * peers.
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
        List<Peer> ranked = new ArrayList<>();
        for (int i = 0; i < maxCount && i < order.size(); i++) {
            ranked.add(zonePeers.peers()[order.get(i)]);
        }
        return ranked;
    }

    /**
     * The zone whose home grants slots of a rarely used service to the other zones. It is chosen by the same hashing
     * among the zones with active peers; null if there is none.
     */
    public String rootZone(String service) {
        String cached = rootZoneCache.get(service);
        if (cached != null) {
            return cached;
        }
        long hash = StableHash.of(service);
        String bestZone = null;
        long highestWeight = 0;
        for (ZonePeers zonePeers : zones.values()) {
            long weight = StableHash.of(hash, zonePeers.hash());
            if (bestZone == null || Long.compareUnsigned(weight, highestWeight) > 0) {
                bestZone = zonePeers.zone();
                highestWeight = weight;
            }
        }
        return bestZone == null ? null : cache(rootZoneCache, service, bestZone);
    }

    /** The home of a service in its root zone, or null. */
    public Peer rootOf(String service) {
        String zone = rootZone(service);
        return zone == null ? null : homeOf(service, zone);
    }

    /** The zones with active peers, sorted by name. */
    public List<String> zones() {
        return List.copyOf(zones.keySet());
    }

    private static <T> T cache(Map<String, T> cache, String service, T result) {
        if (cache.size() < MAX_CACHED) {
            cache.put(service, result);
        }
        return result;
    }
}
