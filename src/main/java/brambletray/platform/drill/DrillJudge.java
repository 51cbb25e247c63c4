package brambletray.platform.drill;

import brambletray.platform.configuration.Configuration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Judges a scenario by what operators were answered and what edges serve by, and by nothing else. What was applied is
 * known at the end: each change names the one it builds on, so the configuration that is read back names all that led
 * to it.
 */
final class DrillJudge {
    /** ms that looks may lie apart. */
    private static final int SLACK = 100;

    /** One answer to a reading. */
    private record Shown(int order, long revision, long askedAt, long at, int mostAcked) {}

    private final SimulatedCluster cluster;
    private final Map<Integer, OperatorRequest> orders = new LinkedHashMap<>();
    /** Given and not yet at an end. */
    private final Set<OperatorRequest> open = new LinkedHashSet<>();
    /** Of valid ones, by their base. */
    private final Map<Long, Integer> given = new HashMap<>();

    private final Map<Long, OperatorRequest> ackedByBase = new HashMap<>();
    private final Map<Long, OperatorRequest> ackedByRevision = new HashMap<>();
    /** Newest acknowledged revision, by the time from which it was. */
    private final TreeMap<Long, OperatorRequest> acked = new TreeMap<>();

    private final List<Shown> shown = new ArrayList<>();
    private final Map<Integer, String> servedRequestByEdge = new LinkedHashMap<>();
    private String broken;
    int acknowledged;
    int refused;
    int resent;
    int reads;
    /** ms: the longest time for which a proper order stood unacknowledged in a settled core; and in any. */
    long longestSettled;

    long longest;

    DrillJudge(SimulatedCluster cluster) {
        this.cluster = cluster;
    }

    String broken() {
        return broken;
    }

    void fail(String rule, String why) {
        if (broken == null) {
            broken = rule + " at " + cluster.now() + ": " + why;
            cluster.note(Timeline.OPERATORS, "BROKEN " + rule);
        }
    }

    void made(OperatorRequest request) {
        orders.put(request.id, request);
        if (request.kind == OperatorRequest.Kind.VALID) {
            open.add(request);
            given.merge(request.base, 1, Integer::sum);
        }
    }

    int next() {
        return orders.size() + 1;
    }

    OperatorRequest order(int id) {
        return orders.get(id);
    }

    OperatorRequest newestAcked() {
        return acked.isEmpty() ? null : acked.lastEntry().getValue();
    }

    private long revisionAcked(long at) {
        Map.Entry<Long, OperatorRequest> entry = acked.floorEntry(at);
        return entry == null ? 0 : entry.getValue().revision;
    }

    // ---- Changes --------------------------------------------------------------------------------
    /** Answered with 200. */
    void acked(OperatorRequest request) {
        if (request.ackedAt >= 0) {
            return;
        }
        if (request.kind == OperatorRequest.Kind.INVALID) {
            fail("INVALID-CONFIRMED", request.toString());
            return;
        }
        request.ackedAt = cluster.now();
        acknowledged++;
        cluster.timeline.acknowledged();
        longest = Math.max(longest, request.ackedAt - request.sentAt);
        OperatorRequest same = ackedByBase.put(request.base, request);
        if (same != null) {
            fail("TWO-ON-ONE-BASE", same + " and " + request);
        }
        same = ackedByRevision.put(request.revision, request);
        if (same != null) {
            fail("TWO-UNDER-ONE-NUMBER", same + " and " + request);
        }
        OperatorRequest newest = newestAcked();
        if (newest == null || request.revision > newest.revision) {
            acked.put(cluster.now(), request);
        }
    }

    /** Answered with a clear refusal; {@code triedAt}: when this try was sent. */
    void refused(OperatorRequest request, int status, long triedAt) {
        if (request.ackedAt >= 0) {
            fail("TAKEN-REFUSED", request + ", acknowledged at " + request.ackedAt + ", sent again, " + status);
        }
        request.refusedAt = cluster.now();
        request.refusal = status;
        request.refusedTryAt = triedAt;
        refused++;
    }

    // ---- Readings -------------------------------------------------------------------------------
    void shown(int request, long revision, long askedAt) {
        reads++;
        long must = revisionAcked(askedAt - 1);
        if (revision < must) {
            fail(
                    "OLD-READ",
                    "shows " + revision + " (o" + request + "), asked at " + askedAt + ", " + must
                            + " was acknowledged before");
        }
        for (Shown before : shown) {
            if (before.at < askedAt && before.revision > revision) {
                fail(
                        "READ-GOES-BACK",
                        "shows " + revision + " (o" + request + "), asked at " + askedAt + ", " + before.revision
                                + " (o"
                                + before.order
                                + ") was shown at " + before.at);
            }
        }
        known(request, revision);
        shown.removeIf(before -> before.revision < revision);
        shown.add(new Shown(request, revision, askedAt, cluster.now(), 0));
        servedRequestByEdge.putIfAbsent(request, "shown at " + cluster.now());
    }

    private void known(int id, long revision) {
        OperatorRequest request = orders.get(id);
        if (id != 0
                && (request == null || request.revision != revision || request.kind == OperatorRequest.Kind.INVALID)) {
            fail("NOT-AS-SENT", "o" + id + " under " + revision + ", sent as " + request);
        }
    }

    // ---- Edges and time -------------------------------------------------------------------------
    void look() {
        cluster.look();
        for (EdgeNode edge : cluster.edges) {
            if (edge.isOutOfTouch()) {
                edge.outOfTouchSinceMs = cluster.now();
            }
            if (edge.isRunning()) {
                look(edge);
            }
        }
        long since = cluster.settledSince();
        if (since >= 0) {
            open.removeIf(OperatorRequest::ended);
            open.forEach(request -> overdue(request, since));
        }
    }

    private void look(EdgeNode edge) {
        Configuration configuration = edge.configuration();
        long revision = configuration.revision();
        if (revision < edge.newest) {
            fail("EDGE-GOES-BACK", edge.name + " from " + edge.newest + " to " + revision);
        }
        if (revision != edge.newest) {
            edge.newest = revision;
            int request = EdgeNode.order(configuration);
            known(request, revision);
            servedRequestByEdge.putIfAbsent(request, "in force on " + edge.name + " at " + cluster.now());
        }
        long must = revisionAcked(cluster.now() - SimulatedCluster.APPLY - SLACK);
        if (revision < must
                && cluster.settledSince() >= 0
                && cluster.now() - edge.outOfTouchSinceMs > SimulatedCluster.CONTACT + SLACK) {
            fail(
                    "EDGE-BEHIND",
                    edge.name + (edge.ready() ? " (ready)" : " (not ready)") + " holds " + revision + ", " + must
                            + " was acknowledged over " + SimulatedCluster.APPLY + " ms ago; out of touch last at "
                            + edge.outOfTouchSinceMs
                            + ", settled since "
                            + cluster.settledSince());
        }
    }

    private void overdue(OperatorRequest request, long since) {
        // where another may have been taken in its stead, nothing is owed
        if (request.sentAt < 0 || request.base != revisionAcked(cluster.now()) || given.get(request.base) > 1) {
            return;
        }
        long waits = cluster.now() - Math.max(request.sentAt, since);
        longestSettled = Math.max(longestSettled, waits);
        if (waits > SimulatedCluster.ACK + SLACK) {
            fail("ACKS", request + " sent at " + request.sentAt + " has no answer, settled since " + since);
        }
    }

    // ---- After the last fault --------------------------------------------------------------------
    /** The last reading, after all have returned. */
    void end(int last) {
        Map<Integer, Integer> place = new HashMap<>();
        List<OperatorRequest> chain = new ArrayList<>();
        for (OperatorRequest request = orders.get(last); request != null; request = orders.get(request.parent)) {
            chain.add(0, request);
        }
        for (int i = 0; i < chain.size(); i++) {
            place.put(chain.get(i).id, i);
        }
        Set<Integer> taken = new HashSet<>(place.keySet());
        for (OperatorRequest request : orders.values()) {
            if (request.ackedAt >= 0 && !taken.contains(request.id)) {
                fail("LOST", request + " acknowledged at " + request.ackedAt + " did not lead to o" + last);
            }
            if (request.refusedAt >= 0 && taken.contains(request.id)) {
                fail(
                        "TAKEN-REFUSED",
                        request + " refused with " + request.refusal + " at " + request.refusedAt + " led to o" + last);
            }
        }
        servedRequestByEdge.forEach((id, where) -> {
            if (id != 0 && !taken.contains(id)) {
                fail("NOT-TAKEN-IN-FORCE", orders.get(id) + " " + where + " did not lead to o" + last);
            }
        });
        for (OperatorRequest request : orders.values()) {
            if (request.kind == OperatorRequest.Kind.VALID && request.refusedAt >= 0 && !taken.contains(request.id)) {
                refusedRightly(request, chain, place);
            }
        }
    }

    /** It was refused: then another had been sent on the same base before the refusal came, and was taken. */
    private void refusedRightly(OperatorRequest request, List<OperatorRequest> chain, Map<Integer, Integer> place) {
        Integer at = request.parent == 0 ? Integer.valueOf(-1) : place.get(request.parent);
        if (at == null) {
            return;
        }
        OperatorRequest next = at + 1 < chain.size() ? chain.get(at + 1) : null;
        if (next == null || next.sentAt > request.refusedAt) {
            fail(
                    "VALID-REFUSED",
                    request + " refused with " + request.refusal + " at " + request.refusedAt
                            + ", next on the same base: " + next);
        }
    }

    int made() {
        return orders.size();
    }
}
