package brambletray.platform.provisioning;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;

/**
 * A new coordinator has no state: it waits until all edges have reported what they know, or for a time, before it
 * treats an instance as unknown or answers a home that it has none.
 */
final class CoordinatorTakeover {
    /** ms. */
    private static final long MAX_WAIT_MS = 1_500;

    private static final int MAX_CLAIMS = 4_096;

    private final long untilMs;
    private final Set<String> expected = new HashSet<>();
    private final Set<String> reported = new HashSet<>();
    private boolean roster;
    private boolean done;
    private boolean listed;
    private final Map<HomeClaim, String> claims = new LinkedHashMap<>();

    CoordinatorTakeover(long now) {
        untilMs = now + MAX_WAIT_MS;
    }

    /** The edges that are there; may be said again as more are known. */
    void expect(Set<String> edges) {
        roster = true;
        expected.clear();
        expected.addAll(edges);
        expected.removeAll(reported);
    }

    void onReported(String edge) {
        if (!done) {
            reported.add(edge);
            expected.remove(edge);
        }
    }

    boolean isOver(long now) {
        if (!done && (now >= untilMs || roster && expected.isEmpty())) {
            done = true;
            expected.clear();
            reported.clear();
        }
        return done;
    }

    /** A complete list of instances has been processed. */
    void onListed(long now) {
        listed |= isOver(now);
    }

    /** Nothing is known for sure yet. */
    boolean isIncomplete(long now) {
        return now < untilMs && !(listed && isOver(now));
    }

    /** A claim that is to be answered once it is known whether there are hosts. */
    void deferClaim(String edge, HomeClaim claim) {
        if (claims.size() < MAX_CLAIMS) {
            claims.put(claim, edge);
        }
    }

    /** Hands out all claims that wait. */
    void releaseClaims(BiConsumer<String, HomeClaim> each) {
        if (!claims.isEmpty()) {
            List<Map.Entry<HomeClaim, String>> all = new ArrayList<>(claims.entrySet());
            claims.clear();
            all.forEach(entry -> each.accept(entry.getValue(), entry.getKey()));
        }
    }
}
