package brambletray.platform.provisioning;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;

/**
 * A new holder of the duty knows nothing: it waits until all edges have told what they know, or for a time, before it
 * calls a host unknown, or tells a home that it has none.
 */
final class CoordinatorTakeover {
    /** ms. */
    private static final long MOST = 1_500;

    private static final int CLAIMS_MOST = 4_096;

    private final long until;
    private final Set<String> expected = new HashSet<>();
    private final Set<String> told = new HashSet<>();
    private boolean roster;
    private boolean done;
    private boolean listed;
    private final Map<HomeClaim, String> claims = new LinkedHashMap<>();

    CoordinatorTakeover(long now) {
        until = now + MOST;
    }

    /** The edges that are there; may be said again as more are known. */
    void expect(Set<String> edges) {
        roster = true;
        expected.clear();
        expected.addAll(edges);
        expected.removeAll(told);
    }

    void told(String edge) {
        if (!done) {
            told.add(edge);
            expected.remove(edge);
        }
    }

    boolean over(long now) {
        if (!done && (now >= until || roster && expected.isEmpty())) {
            done = true;
            expected.clear();
            told.clear();
        }
        return done;
    }

    /** A whole list has been taken in. */
    void listed(long now) {
        listed |= over(now);
    }

    /** Nothing is known for sure yet. */
    boolean blind(long now) {
        return now < until && !(listed && over(now));
    }

    /** A claim that is to be answered once it is known whether there are hosts. */
    void await(String edge, HomeClaim claim) {
        if (claims.size() < CLAIMS_MOST) {
            claims.put(claim, edge);
        }
    }

    /** Hands out all claims that wait. */
    void drain(BiConsumer<String, HomeClaim> each) {
        if (!claims.isEmpty()) {
            List<Map.Entry<HomeClaim, String>> all = new ArrayList<>(claims.entrySet());
            claims.clear();
            all.forEach(entry -> each.accept(entry.getValue(), entry.getKey()));
        }
    }
}
