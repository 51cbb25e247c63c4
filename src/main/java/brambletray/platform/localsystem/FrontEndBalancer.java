package brambletray.platform.localsystem;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Which edges the stand-in's platform sends new connections to (page PROTOCOL, How clients arrive): those that call
 * themselves ready; one that misses twice is out until it says so again; with fewer than half of a zone's in, all of
 * them; with none, those of the other zones. Pure.
 */
final class FrontEndBalancer {
    private static final int MISSES = 2;

    private final List<LocalSite.ProcessSpec> edges;
    private final Map<String, Integer> misses = new HashMap<>();

    FrontEndBalancer(List<LocalSite.ProcessSpec> edges) {
        this.edges = edges;
        edges.forEach(edge -> misses.put(edge.name(), MISSES));
    }

    /** What became of one question whether it is ready. */
    void heard(String edge, boolean ready) {
        misses.merge(edge, 1, (before, one) -> ready ? 0 : Math.min(MISSES, before + one));
    }

    /** Edges that are in. */
    int in() {
        return (int) edges.stream().filter(this::in).count();
    }

    private boolean in(LocalSite.ProcessSpec edge) {
        return misses.get(edge.name()) < MISSES;
    }

    /** For a client of this zone, by a hash of it; {@code turn}: 0 for its first try, other edges for further ones. */
    LocalSite.ProcessSpec pick(String zone, int hash, int turn) {
        List<LocalSite.ProcessSpec> of = of(zone);
        return of.get(Math.floorMod(hash + turn, of.size()));
    }

    private List<LocalSite.ProcessSpec> of(String zone) {
        List<LocalSite.ProcessSpec> own = new ArrayList<>();
        List<LocalSite.ProcessSpec> ownIn = new ArrayList<>();
        List<LocalSite.ProcessSpec> allIn = new ArrayList<>();
        for (LocalSite.ProcessSpec edge : edges) {
            boolean here = edge.zone().equals(zone);
            if (here) {
                own.add(edge);
            }
            if (in(edge)) {
                allIn.add(edge);
                if (here) {
                    ownIn.add(edge);
                }
            }
        }
        if (ownIn.isEmpty()) {
            return allIn.isEmpty() ? edges : allIn;
        }
        return ownIn.size() * 2 < own.size() ? own : ownIn;
    }
}
