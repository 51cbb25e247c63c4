package brambletray.relay.quota;

import brambletray.relay.quota.Member.Dimension;
import brambletray.relay.quota.Member.Limit;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** What is known of one member: facts and counts; {@link Quotas} decides by them. */
final class Node {
    /** us; over which shares are counted, and for which a refused wish is remembered. */
    static final long SECOND = 1_000_000;

    private static final Object ANY = new Object();
    /** us; over which lending is evened out, so that what was lent comes back evenly too. */
    static final long LEASE = SECOND / 8;

    /** What is counted of one dimension. */
    static final class Count {
        /** Used in the last second. */
        final Window used = new Window(SECOND);
        /** Wished for in the last second and not had yet; of that, what there was a right to. */
        final Window wished = new Window(SECOND);

        final Window rightful = new Window(SECOND);
        /** Of what its members used: what was beyond their shares. */
        final Window lent = new Window(LEASE);
        /** Sums since the start, for the live view. */
        long usedInAll;

        long borrowedInAll;
        long refusedInAll;
    }

    final Node parent;
    Member member;
    final List<Node> members = new ArrayList<>();
    /** One for each limit of the member, in its order. */
    final List<Window> windows = new ArrayList<>();

    final Map<Dimension, Count> counts = new EnumMap<>(Dimension.class);
    /** For each window, what was used since {@link Quotas#note}; more than any part before the first. */
    long[] unnoted;
    /** Messages held, of this member and of all below it. */
    long held;
    /** Ids of messages that wait and are this very member's own, by the order in which they were taken on. */
    final TreeMap<Long, String> waiting = new TreeMap<>();
    /** Members right below that wished for something in the last second, perhaps; those that do not lend. */
    final Set<Node> wishing = new LinkedHashSet<>();
    /** Members anywhere below that wished for some of their share in the last second, perhaps. */
    final Set<Node> claiming = new LinkedHashSet<>();

    final List<Node> keeping = new ArrayList<>();
    /** Members right below that have a share of messages held. */
    final List<Node> holding = new ArrayList<>();

    private final Map<Dimension, Long> sharesBelow = new EnumMap<>(Dimension.class);
    private final Map<Object, List<Node>> index = new HashMap<>();
    private int order;
    /** Until when a wish for room among the messages held, that it has a right to, is remembered. */
    long wantsHeldUntil = Long.MIN_VALUE;
    /** Off the tree; what it holds still counts, nothing new is taken on. */
    boolean removed;

    Node(Node parent, Member member) {
        this.parent = parent;
        this.member = member;
        for (Limit limit : member.limits()) {
            windows.add(new Window(limit.window()));
        }
        unnoted = neverNoted(windows.size());
        for (Dimension dimension : Dimension.values()) {
            counts.put(dimension, new Count());
        }
    }

    static long[] neverNoted(int windows) {
        long[] all = new long[windows];
        java.util.Arrays.fill(all, Long.MAX_VALUE / 2);
        return all;
    }

    long share(Dimension dimension) {
        return member.guaranteed().getOrDefault(dimension, 0L);
    }

    /** Of those right below that lend, all shares. */
    long shares(Dimension dimension) {
        return sharesBelow.getOrDefault(dimension, 0L);
    }

    /** Members below by what they match, for {@link #below}; made anew when they change. */
    void index() {
        index.clear();
        keeping.clear();
        holding.clear();
        sharesBelow.clear();
        int number = 0;
        for (Node node : members) {
            node.order = number++;
            if (!node.removed && node.member.lends()) {
                node.member
                        .guaranteed()
                        .forEach((dimension, amount) -> sharesBelow.merge(dimension, amount, Long::sum));
            }
            Member.Match match = node.member.match();
            if (node.removed) {
                continue;
            }
            if (!node.member.lends()) {
                keeping.add(node);
            }
            if (node.member.guaranteedHeld() > 0) {
                holding.add(node);
            }
            if (match.tenant() != null) {
                index.computeIfAbsent(match.tenant(), k -> new ArrayList<>(1)).add(node);
            } else if (!match.destinations().isEmpty()) {
                match.destinations()
                        .forEach(d -> index.computeIfAbsent(d, k -> new ArrayList<>(1))
                                .add(node));
            } else {
                index.computeIfAbsent(ANY, k -> new ArrayList<>(1)).add(node);
            }
        }
    }

    /** The first member below, in the file's order, whose message this is; null for none. */
    Node below(Member.Asked asked) {
        Node first = null;
        for (Object key : new Object[] {asked.tenant(), (Object) asked.destination(), ANY}) {
            List<Node> some = key == null ? null : index.get(key);
            for (int i = 0; some != null && i < some.size(); i++) {
                Node node = some.get(i);
                if ((first == null || node.order < first.order)
                        && node.member.match().fits(asked)) {
                    first = node;
                    break;
                }
            }
        }
        return first;
    }

    /** What it has left of its share of this second. */
    long shareLeft(Dimension dimension, long now) {
        return Math.max(0, share(dimension) - counts.get(dimension).used.used(now));
    }

    /** True while it wished for something in the last second that it has not had. */
    boolean wishes(long now) {
        for (Count count : counts.values()) {
            if (count.wished.used(now) > 0) {
                return true;
            }
        }
        return false;
    }

    /** True while it wished for some of its share in the last second and has not had it. */
    boolean claims(long now) {
        for (Count count : counts.values()) {
            if (count.rightful.used(now) > 0) {
                return true;
            }
        }
        return false;
    }

    /** True for this member itself, and for those above it. */
    boolean isBelow(Node other) {
        Node at = this;
        while (at != null && at != other) {
            at = at.parent;
        }
        return at != null;
    }

    /** What it used beyond its share in this second. */
    long borrowed(Dimension dimension, long now) {
        return Math.max(0, counts.get(dimension).used.used(now) - share(dimension));
    }

    long borrowedHeld() {
        return Math.max(0, held - member.guaranteedHeld());
    }

    /** The least that any of its limits of a dimension leaves; {@link Long#MAX_VALUE} without a limit. */
    long free(Dimension dimension, long now) {
        long least = Long.MAX_VALUE;
        for (int i = 0; i < windows.size(); i++) {
            Limit limit = member.limits().get(i);
            if (limit.dimension() == dimension) {
                least = Math.min(least, limit.amount() - windows.get(i).used(now));
            }
        }
        return least;
    }
}
