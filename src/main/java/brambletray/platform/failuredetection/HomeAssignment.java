package brambletray.platform.failuredetection;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Which peer is home of a service, in each zone, by one roster: the one with the highest hash of service and name among
 * those that are in (rendezvous hashing). So a change of the roster moves only services of those who came or went, and
 * every process that has the roster finds the same home. Answers are kept; a new roster begins a new one of these.
 */
public final class HomeAssignment {
    /** Answers that are kept at most, of each kind; what is asked beyond that is reckoned each time. */
    private static final int MOST = 8_192;

    private record Seat(String zone, long hash, Peer[] peers, long[] hashes, Map<String, Peer> homes) {}

    private final Roster roster;
    private final Map<String, Seat> zones = new LinkedHashMap<>();
    private final Map<String, String> roots = new HashMap<>();

    public HomeAssignment(Roster roster) {
        this.roster = roster;
        Map<String, List<Peer>> byZone = new TreeMap<>();
        for (Peer peer : roster.peers()) {
            if (peer.in()) {
                byZone.computeIfAbsent(peer.zone(), zone -> new ArrayList<>()).add(peer);
            }
        }
        byZone.forEach((zone, peers) -> {
            long[] hashes = new long[peers.size()];
            for (int i = 0; i < hashes.length; i++) {
                hashes[i] = StableHash.of(peers.get(i).name());
            }
            zones.put(zone, new Seat(zone, StableHash.of(zone), peers.toArray(new Peer[0]), hashes, new HashMap<>()));
        });
    }

    public Roster roster() {
        return roster;
    }

    /** The home of a service in a zone, or null if no peer is in there. */
    public Peer homeOf(String service, String zone) {
        Seat seat = zones.get(zone);
        if (seat == null) {
            return null;
        }
        Peer known = seat.homes().get(service);
        if (known != null) {
            return known;
        }
        long hash = StableHash.of(service);
        int best = 0;
        long most = 0;
        for (int i = 0; i < seat.hashes().length; i++) {
            long weight = StableHash.of(hash, seat.hashes()[i]);
            if (i == 0 || Long.compareUnsigned(weight, most) > 0) {
                best = i;
                most = weight;
            }
        }
        return keep(seat.homes(), service, seat.peers()[best]);
    }

    /**
     * The home and those that would be home without it, the next best first; {@code most} of them or as many as are in.
     */
    public List<Peer> homes(String service, String zone, int most) {
        Seat seat = zones.get(zone);
        if (seat == null) {
            return List.of();
        }
        long hash = StableHash.of(service);
        List<Integer> order = new ArrayList<>();
        for (int i = 0; i < seat.hashes().length; i++) {
            order.add(i);
        }
        order.sort((a, b) ->
                Long.compareUnsigned(StableHash.of(hash, seat.hashes()[b]), StableHash.of(hash, seat.hashes()[a])));
        List<Peer> best = new ArrayList<>();
        for (int i = 0; i < most && i < order.size(); i++) {
            best.add(seat.peers()[order.get(i)]);
        }
        return best;
    }

    /**
     * The zone whose home lends a rare service to the others: found like a home, among the zones that have peers in;
     * null if none has.
     */
    public String rootZone(String service) {
        String known = roots.get(service);
        if (known != null) {
            return known;
        }
        long hash = StableHash.of(service);
        String best = null;
        long most = 0;
        for (Seat seat : zones.values()) {
            long weight = StableHash.of(hash, seat.hash());
            if (best == null || Long.compareUnsigned(weight, most) > 0) {
                best = seat.zone();
                most = weight;
            }
        }
        return best == null ? null : keep(roots, service, best);
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

    private static <T> T keep(Map<String, T> kept, String service, T answer) {
        if (kept.size() < MOST) {
            kept.put(service, answer);
        }
        return answer;
    }
}
