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
 * Judges by what operators were told and what edges serve by, and by nothing else. What was taken is known at the end:
 * each change names the one
 * it builds on, so the configuration that is read back names all that led to it.
 */
final class DrillJudge {
    /** ms that looks may lie apart. */
    private static final int SLACK = 100;

    /** One answer to a reading. */
    private record Shown(int order, long revision, long askedAt, long at, int mostAcked) {}

    private final World world;
    private final Map<Integer, Order> orders = new LinkedHashMap<>();
    /** Given and not yet at an end. */
    private final Set<Order> open = new LinkedHashSet<>();
    /** Of valid ones, by their base. */
    private final Map<Long, Integer> given = new HashMap<>();

    private final Map<Long, Order> ackedByBase = new HashMap<>();
    private final Map<Long, Order> ackedByRevision = new HashMap<>();
    /** Newest acknowledged revision, by the time from which it was. */
    private final TreeMap<Long, Order> acked = new TreeMap<>();

    private final List<Shown> shown = new ArrayList<>();
    private final Map<Integer, String> inForce = new LinkedHashMap<>();
    private String broken;
    int acknowledged;
    int refused;
    int resent;
    int reads;
    /** ms: the longest time for which a proper order stood unacknowledged in a settled core; and in any. */
    long longestSettled;

    long longest;

    DrillJudge(World world) {
        this.world = world;
    }

    String broken() {
        return broken;
    }

    void fail(String rule, String why) {
        if (broken == null) {
            broken = rule + " at " + world.now() + ": " + why;
            world.note(Timeline.OPERATORS, "BROKEN " + rule);
        }
    }

    void made(Order order) {
        orders.put(order.id, order);
        if (order.kind == Order.Kind.VALID) {
            open.add(order);
            given.merge(order.base, 1, Integer::sum);
        }
    }

    int next() {
        return orders.size() + 1;
    }

    Order order(int id) {
        return orders.get(id);
    }

    Order newestAcked() {
        return acked.isEmpty() ? null : acked.lastEntry().getValue();
    }

    private long revisionAcked(long at) {
        Map.Entry<Long, Order> entry = acked.floorEntry(at);
        return entry == null ? 0 : entry.getValue().revision;
    }

    // ---- Orders ---------------------------------------------------------------------------------
    /** Answered with 200. */
    void acked(Order order) {
        if (order.ackedAt >= 0) {
            return;
        }
        if (order.kind == Order.Kind.INVALID) {
            fail("INVALID-CONFIRMED", order.toString());
            return;
        }
        order.ackedAt = world.now();
        acknowledged++;
        world.timeline.acknowledged();
        longest = Math.max(longest, order.ackedAt - order.sentAt);
        Order same = ackedByBase.put(order.base, order);
        if (same != null) {
            fail("TWO-ON-ONE-BASE", same + " and " + order);
        }
        same = ackedByRevision.put(order.revision, order);
        if (same != null) {
            fail("TWO-UNDER-ONE-NUMBER", same + " and " + order);
        }
        Order newest = newestAcked();
        if (newest == null || order.revision > newest.revision) {
            acked.put(world.now(), order);
        }
    }

    /** Answered with a clear refusal; {@code triedAt}: when this try was sent. */
    void refused(Order order, int status, long triedAt) {
        if (order.ackedAt >= 0) {
            fail("TAKEN-REFUSED", order + ", acknowledged at " + order.ackedAt + ", sent again, " + status);
        }
        order.refusedAt = world.now();
        order.refusal = status;
        order.refusedTryAt = triedAt;
        refused++;
    }

    // ---- Readings -------------------------------------------------------------------------------
    void shown(int order, long revision, long askedAt) {
        reads++;
        long must = revisionAcked(askedAt - 1);
        if (revision < must) {
            fail(
                    "OLD-READ",
                    "shows " + revision + " (o" + order + "), asked at " + askedAt + ", " + must
                            + " was acknowledged before");
        }
        for (Shown before : shown) {
            if (before.at < askedAt && before.revision > revision) {
                fail(
                        "READ-GOES-BACK",
                        "shows " + revision + " (o" + order + "), asked at " + askedAt + ", " + before.revision + " (o"
                                + before.order
                                + ") was shown at " + before.at);
            }
        }
        known(order, revision);
        shown.removeIf(before -> before.revision < revision);
        shown.add(new Shown(order, revision, askedAt, world.now(), 0));
        inForce.putIfAbsent(order, "shown at " + world.now());
    }

    private void known(int id, long revision) {
        Order order = orders.get(id);
        if (id != 0 && (order == null || order.revision != revision || order.kind == Order.Kind.INVALID)) {
            fail("NOT-AS-SENT", "o" + id + " under " + revision + ", sent as " + order);
        }
    }

    // ---- Edges and time -------------------------------------------------------------------------
    void look() {
        world.look();
        for (EdgeNode edge : world.edges) {
            if (edge.out()) {
                edge.outAt = world.now();
            }
            if (edge.up()) {
                look(edge);
            }
        }
        long since = world.settledSince();
        if (since >= 0) {
            open.removeIf(Order::ended);
            open.forEach(order -> overdue(order, since));
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
            int order = EdgeNode.order(configuration);
            known(order, revision);
            inForce.putIfAbsent(order, "in force on " + edge.name + " at " + world.now());
        }
        long must = revisionAcked(world.now() - World.APPLY - SLACK);
        if (revision < must && world.settledSince() >= 0 && world.now() - edge.outAt > World.CONTACT + SLACK) {
            fail(
                    "EDGE-BEHIND",
                    edge.name + (edge.ready() ? " (ready)" : " (not ready)") + " holds " + revision + ", " + must
                            + " was acknowledged over " + World.APPLY + " ms ago; out of touch last at " + edge.outAt
                            + ", settled since "
                            + world.settledSince());
        }
    }

    private void overdue(Order order, long since) {
        // where another may have been taken in its stead, nothing is owed
        if (order.sentAt < 0 || order.base != revisionAcked(world.now()) || given.get(order.base) > 1) {
            return;
        }
        long waits = world.now() - Math.max(order.sentAt, since);
        longestSettled = Math.max(longestSettled, waits);
        if (waits > World.ACK + SLACK) {
            fail("ACKS", order + " sent at " + order.sentAt + " has no answer, settled since " + since);
        }
    }

    // ---- The end --------------------------------------------------------------------------------
    /** The last reading, after all have returned. */
    void end(int last) {
        Map<Integer, Integer> place = new HashMap<>();
        List<Order> chain = new ArrayList<>();
        for (Order order = orders.get(last); order != null; order = orders.get(order.parent)) {
            chain.add(0, order);
        }
        for (int i = 0; i < chain.size(); i++) {
            place.put(chain.get(i).id, i);
        }
        Set<Integer> taken = new HashSet<>(place.keySet());
        for (Order order : orders.values()) {
            if (order.ackedAt >= 0 && !taken.contains(order.id)) {
                fail("LOST", order + " acknowledged at " + order.ackedAt + " did not lead to o" + last);
            }
            if (order.refusedAt >= 0 && taken.contains(order.id)) {
                fail(
                        "TAKEN-REFUSED",
                        order + " refused with " + order.refusal + " at " + order.refusedAt + " led to o" + last);
            }
        }
        inForce.forEach((id, where) -> {
            if (id != 0 && !taken.contains(id)) {
                fail("NOT-TAKEN-IN-FORCE", orders.get(id) + " " + where + " did not lead to o" + last);
            }
        });
        for (Order order : orders.values()) {
            if (order.kind == Order.Kind.VALID && order.refusedAt >= 0 && !taken.contains(order.id)) {
                refusedRightly(order, chain, place);
            }
        }
    }

    /** It was refused: then another had been sent on the same base before the refusal came, and was taken. */
    private void refusedRightly(Order order, List<Order> chain, Map<Integer, Integer> place) {
        Integer at = order.parent == 0 ? Integer.valueOf(-1) : place.get(order.parent);
        if (at == null) {
            return;
        }
        Order next = at + 1 < chain.size() ? chain.get(at + 1) : null;
        if (next == null || next.sentAt > order.refusedAt) {
            fail(
                    "VALID-REFUSED",
                    order + " refused with " + order.refusal + " at " + order.refusedAt + ", next on the same base: "
                            + next);
        }
    }

    int made() {
        return orders.size();
    }
}
