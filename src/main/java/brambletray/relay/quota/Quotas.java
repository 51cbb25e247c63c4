package brambletray.relay.quota;

import brambletray.relay.quota.Member.Asked;
import brambletray.relay.quota.Member.Dimension;
import brambletray.relay.quota.Member.Limit;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Decides whether a message may be taken on, by a tree of members with limits and shares. It reads no clock:
 * times are microseconds, never going back. One thread.
 *
 * <p><b>Limits</b> are kept at every member from the root to the message's own, over every window, whoever
 * asks. <b>A share</b> is what a member gets of its parent each second; a message within the share of its
 * member, or of one above it, is <i>entitled</i>: nothing but limits refuses it. Any other is taken on
 * <i>loan</i>, by what its siblings leave idle: at each parent on the way where it is beyond the share, there
 * must be room besides what members that do not lend keep, and besides what entitled ones and those with a
 * better claim wished for in the last second and did not get. So nobody is refused for the sake of somebody
 * who does not want it, and whoever wants its share has the next room that comes free.
 *
 * <p>A loan is not taken back; it ends by itself, for all that counts in a second is past after one. What is
 * lent under one parent is evened out over eighths of a second, so that it comes back as evenly: a lender at
 * whose first wish all is lent out has an eighth of it back after an eighth of a second. Messages held on
 * loan would last longer. Where one with a right to their room asks, the newest that still wait are named to
 * be handed back.
 */
public final class Quotas {
    /** Members that claim or wish, looked at one by one for one decision: thousands may at one time. */
    private static final int LOOK_MOST = 64;
    /** Part of its share from which on a member is taken to want all of it. */
    private static final double KEEN = 0.9;
    /** What is lent in a second is evened out over so many parts of it. */
    private static final int LEASES = 8;
    /** us; told to come back after, where a message held has to end first. */
    private static final long HELD_AGAIN = 250_000;
    /** us; windows of this length and longer outlast the process; and the parts in which they are noted. */
    private static final long LASTS = 10 * Node.SECOND;

    private static final int NOTED_PARTS = 64;
    /** Messages named to be handed back for the sake of one. */
    private static final int RECALL_MOST = 1;

    private final Node root;
    private final Map<String, Node> byPath = new HashMap<>();
    private final Map<String, Holder> holders = new HashMap<>();
    /** Messages that are held and wait for room that they have a right to. */
    private final Map<String, Asked> atDoor = new HashMap<>();

    private final Set<Node> noteDue = new LinkedHashSet<>();
    private long now;
    private long seq;

    /** Of a message that is held: its member, and its place among those that wait there. */
    private record Holder(Node member, long seq) {}

    public Quotas(Member root) {
        this.root = node(null, root);
    }

    private Node node(Node parent, Member member) {
        Node node = new Node(parent, member);
        byPath.put(member.path(), node);
        member.members().forEach(m -> node.members.add(node(node, m)));
        node.index();
        return node;
    }

    private void at(long time) {
        if (time < now) {
            throw new IllegalArgumentException("clock went back from " + now + " to " + time);
        }
        now = time;
    }

    // ---- Asking ---------------------------------------------------------------------------------
    /** May this message be taken on? If so it counts, until {@link #ended}. */
    public Verdict ask(long time, Asked asked) {
        at(time);
        Node own = own(root, asked);
        Verdict.Refused refused = full(own);
        boolean room = refused == null;
        refused = room ? limits(own, asked) : refused;
        boolean borrowed = false;
        for (Dimension dimension : Dimension.values()) {
            long amount = amount(dimension, asked);
            Node right = entitled(own, dimension, amount);
            for (Node at = own; refused == null && at.parent != null && at != right; at = at.parent) {
                refused = loan(own, at, dimension, amount);
                borrowed = true;
            }
        }
        Verdict.Refused heldOut = room ? heldLoan(own) : null;
        if (refused != null && heldOut == null && room && refused.after() <= Node.SECOND && rightful(own, asked)) {
            wished(own, asked, false);
            hold(own, asked.id());
            atDoor.put(asked.id(), asked);
            return new Verdict.Waits(refused.after());
        }
        refused = refused != null ? refused : heldOut;
        if (refused != null) {
            wished(own, asked, refused.after() == Window.NEVER);
            return refused;
        }
        count(own, asked);
        hold(own, asked.id());
        return new Verdict.Taken(borrowed);
    }

    /** One that {@link Verdict.Waits} asks again: taken, or to wait on. */
    public Verdict again(long time, String id) {
        at(time);
        Holder holder = holders.get(id);
        Asked asked = atDoor.get(id);
        if (holder == null || asked == null) {
            return new Verdict.Taken(false);
        }
        Verdict.Refused refused = limits(holder.member, asked);
        if (refused != null) {
            return new Verdict.Waits(Math.min(Node.SECOND, refused.after()));
        }
        atDoor.remove(id);
        count(holder.member, asked);
        return new Verdict.Taken(false);
    }

    /** Within shares in every dimension, counted with what was wished for and not had. */
    private boolean rightful(Node own, Asked asked) {
        for (Dimension dimension : Dimension.values()) {
            Node right = entitled(own, dimension, amount(dimension, asked));
            boolean bound = false;
            for (Node at = own; at != null; at = at.parent) {
                bound |= at.member.aSecond(dimension) != Long.MAX_VALUE;
            }
            if (bound
                    && (right == null
                            || right.counts.get(dimension).rightful.used(now) + amount(dimension, asked)
                                    > right.shareLeft(dimension, now))) {
                return false;
            }
        }
        return true;
    }

    /** The deepest member whose messages these are; among siblings the first that fits. */
    private static Node own(Node at, Asked asked) {
        Node below = at.below(asked);
        return below == null ? at : own(below, asked);
    }

    private static long amount(Dimension dimension, Asked asked) {
        return dimension == Dimension.MESSAGES ? 1 : asked.bytes();
    }

    /** The lowest member on the way up within whose share this is, which entitles from there on; or null. */
    private Node entitled(Node own, Dimension dimension, long amount) {
        Node at = own;
        while (at.parent != null && (at.share(dimension) == 0 || amount > at.shareLeft(dimension, now))) {
            at = at.parent;
        }
        return at.parent == null ? null : at;
    }

    /** Limits hold for all. */
    private Verdict.Refused limits(Node own, Asked asked) {
        Verdict.Refused worst = null;
        for (Node at = own; at != null; at = at.parent) {
            for (int i = 0; i < at.windows.size(); i++) {
                Limit limit = at.member.limits().get(i);
                long amount = amount(limit.dimension(), asked);
                Window window = at.windows.get(i);
                long free = window.freeAt(now, amount, limit.amount());
                if (free > now && free != Window.NEVER) {
                    // Those of the same member that were refused before come first: a crowd is spread out.
                    long ahead =
                            Math.min(own.counts.get(limit.dimension()).wished.used(now), limit.amount() - amount);
                    free = Math.max(
                            free, Math.min(now + Node.SECOND, window.freeAt(now, amount + ahead, limit.amount())));
                }
                if (free > now && (worst == null || free - now > worst.after())) {
                    worst = new Verdict.Refused(
                            at.member.path(), words(limit), free == Window.NEVER ? free : free - now, List.of());
                }
            }
        }
        return worst;
    }

    /** Nor is more held than any of its members may hold. */
    private Verdict.Refused full(Node own) {
        for (Node at = own; at != null; at = at.parent) {
            if (at.held >= at.member.held()) {
                return new Verdict.Refused(at.member.path(), at.member.held() + " held", HELD_AGAIN, recall(at, own));
            }
        }
        return null;
    }

    static String words(Limit limit) {
        return limit.amount() + (limit.dimension() == Dimension.MESSAGES ? " messages" : " bytes") + " in "
                + (limit.window() % Node.SECOND == 0
                        ? limit.window() / Node.SECOND + " s"
                        : limit.window() / 1_000 + " ms");
    }

    /** Beyond the share of a member: what its parent can lend it; null if it can. */
    private Verdict.Refused loan(Node own, Node of, Dimension dimension, long amount) {
        Node parent = of.parent;
        long capacity = parent.member.aSecond(dimension);
        if (capacity == Long.MAX_VALUE) {
            return null;
        }
        long lenders = parent.shares(dimension) - (of.member.lends() ? of.share(dimension) : 0);
        long leased = lenders <= 0
                ? now
                : parent.counts.get(dimension).lent.freeAt(now, amount, Math.max(amount, capacity / LEASES + 1));
        if (leased > now) {
            return new Verdict.Refused(parent.member.path(), "loans of an eighth of a second", leased - now, List.of());
        }
        long kept = 0;
        int looked = 0;
        for (var it = parent.claiming.iterator(); it.hasNext() && looked++ < LOOK_MOST; ) {
            Node other = it.next();
            if (!other.claims(now)) {
                it.remove();
            } else if (other.member.lends() && !own.isBelow(other)) {
                kept = plus(kept, rightful(other, dimension));
            }
        }
        // Where more claim than are looked at one by one, what they wished for is known in all.
        kept = Math.max(
                kept,
                parent.counts.get(dimension).rightful.used(now)
                        - own.counts.get(dimension).rightful.used(now));
        for (Node other : parent.keeping) {
            kept = other == of ? kept : plus(kept, other.shareLeft(dimension, now));
        }
        looked = 0;
        for (var it = parent.wishing.iterator(); it.hasNext() && looked++ < LOOK_MOST; ) {
            Node other = it.next();
            if (!other.wishes(now)) {
                it.remove();
            } else if (other != of && other.member.lends()) {
                kept = plus(kept, better(other, of, dimension, amount));
            }
        }
        long wanted = plus(kept, amount);
        if (wanted <= parent.free(dimension, now) && leavesLongWindows(parent, dimension, lenders, wanted)) {
            return null;
        }
        long after = Node.SECOND;
        for (int i = 0; i < parent.windows.size(); i++) {
            Limit limit = parent.member.limits().get(i);
            if (limit.dimension() == dimension) {
                long free =
                        parent.windows.get(i).freeAt(now, Math.min(limit.amount(), plus(kept, amount)), limit.amount());
                after = Math.min(after, Math.max(Node.SECOND / 64, free - now));
            }
        }
        return new Verdict.Refused(parent.member.path(), "nothing to lend beyond shares", after, List.of());
    }

    /**
     * What is lent must not use up the hours of those that lend: of windows longer than a second it takes no
     * more in any second than they bear in every one, unless they have room besides all shares.
     */
    private boolean leavesLongWindows(Node parent, Dimension dimension, long lenders, long wanted) {
        long used = parent.counts.get(dimension).used.used(now);
        for (int i = 0; i < parent.windows.size(); i++) {
            Limit limit = parent.member.limits().get(i);
            if (limit.dimension() == dimension && limit.window() > Node.SECOND) {
                double seconds = (double) limit.window() / Node.SECOND;
                boolean paced = used + wanted <= limit.amount() / seconds;
                boolean besides = limit.amount() - parent.windows.get(i).used(now) - lenders * seconds >= wanted;
                if (!paced && !besides) {
                    return false;
                }
            }
        }
        return true;
    }

    /**
     * What is kept for a member that wished for some of its share and did not get it: that; and all that is
     * left of the share where it wants nearly all of it, for the next wish comes before the room does.
     */
    private long rightful(Node other, Dimension dimension) {
        Node.Count count = other.counts.get(dimension);
        long wished = count.rightful.used(now);
        boolean keen = wished > 0 && count.used.used(now) + wished >= KEEN * other.share(dimension);
        return keen ? other.shareLeft(dimension, now) : Math.min(wished, other.shareLeft(dimension, now));
    }

    /** What one that wants to borrow keeps from another, beyond shares. */
    private long better(Node other, Node borrower, Dimension dimension, long amount) {
        Node.Count count = other.counts.get(dimension);
        long wished = Math.max(0, count.wished.used(now) - count.rightful.used(now));
        if (wished == 0) {
            return 0;
        }
        // A higher priority first; of one priority, what has had less for its weight.
        if (other.member.priority() != borrower.member.priority()) {
            return other.member.priority() > borrower.member.priority() ? wished : 0;
        }
        double mine = (borrower.borrowed(dimension, now) + (double) amount) / borrower.member.weight();
        long behind = (long) Math.max(0, mine * other.member.weight() - other.borrowed(dimension, now));
        return Math.min(wished, behind);
    }

    private static long plus(long a, long b) {
        long sum = a + b;
        return sum < 0 ? Long.MAX_VALUE : sum;
    }

    // ---- Messages held --------------------------------------------------------------------------
    /** Beyond its share of messages held: not while somebody wants the room that it has a right to. */
    private Verdict.Refused heldLoan(Node own) {
        for (Node at = own; at.parent != null; at = at.parent) {
            if (at.held < at.member.guaranteedHeld()) {
                return null;
            }
            if (at.parent.member.held() == Long.MAX_VALUE) {
                continue;
            }
            long kept = 0;
            for (Node other : at.parent.holding) {
                boolean wants = other != at && (!other.member.lends() || other.wantsHeldUntil > now);
                kept += wants ? Math.max(0, other.member.guaranteedHeld() - other.held) : 0;
            }
            if (at.parent.held + 1 + kept > at.parent.member.held()) {
                return new Verdict.Refused(
                        at.parent.member.path(),
                        "nothing to lend of " + at.parent.member.held() + " held",
                        HELD_AGAIN,
                        List.of());
            }
        }
        return null;
    }

    /** A full member: the newest that wait there on loan, if the one that asks has a right to room. */
    private List<String> recall(Node full, Node asking) {
        boolean right = false;
        for (Node at = asking; at != full; at = at.parent) {
            right |= at.held < at.member.guaranteedHeld();
            if (right) {
                at.wantsHeldUntil = now + Node.SECOND;
            }
        }
        List<String> ids = new ArrayList<>();
        Node most = right ? mostBorrowed(full) : null;
        while (most != null && ids.size() < RECALL_MOST && !most.waiting.isEmpty()) {
            ids.add(most.waiting.pollLastEntry().getValue());
        }
        return ids;
    }

    /** Below this member, the one with messages that wait whose way up holds most on loan. */
    private Node mostBorrowed(Node full) {
        Node best = null;
        long most = 0;
        for (Node below : full.members) {
            if (below.borrowedHeld() > most) {
                Node found = below.waiting.isEmpty() ? mostBorrowed(below) : below;
                if (found != null) {
                    most = below.borrowedHeld();
                    best = found;
                }
            }
        }
        return best;
    }

    // ---- Counting -------------------------------------------------------------------------------
    private void count(Node own, Asked asked) {
        for (Dimension dimension : Dimension.values()) {
            long amount = amount(dimension, asked);
            Node right = entitled(own, dimension, amount);
            boolean loan = true;
            for (Node at = own; at != null; at = at.parent) {
                loan &= at != right && at.parent != null;
                Node.Count count = at.counts.get(dimension);
                count.used.add(now, amount);
                count.wished.settle(now, amount);
                if (!loan) {
                    count.rightful.settle(now, amount);
                }
                count.usedInAll += amount;
                if (loan) {
                    count.borrowedInAll += amount;
                    at.parent.counts.get(dimension).lent.add(now, amount);
                }
                for (int i = 0; i < at.windows.size(); i++) {
                    Limit limit = at.member.limits().get(i);
                    if (limit.dimension() == dimension) {
                        at.windows.get(i).add(now, amount);
                        at.unnoted[i] += amount;
                        if (limit.window() >= LASTS && at.unnoted[i] >= part(limit)) {
                            noteDue.add(at);
                        }
                    }
                }
            }
        }
    }

    private void hold(Node own, String id) {
        for (Node at = own; at != null; at = at.parent) {
            at.held++;
        }
        own.waiting.put(++seq, id);
        holders.put(id, new Holder(own, seq));
    }

    private void wished(Node own, Asked asked, boolean never) {
        for (Dimension dimension : Dimension.values()) {
            long amount = amount(dimension, asked);
            Node right = entitled(own, dimension, amount);
            // No more is kept for a member than its share: it may ask for that again and again.
            boolean rightful = right != null
                    && right.counts.get(dimension).rightful.used(now) + amount <= right.shareLeft(dimension, now);
            boolean above = false;
            for (Node at = own; at != null; at = at.parent) {
                above |= at == right;
                Node.Count count = at.counts.get(dimension);
                count.refusedInAll += amount;
                if (!never) {
                    count.wished.add(now, amount);
                    if (rightful && above) {
                        count.rightful.add(now, amount);
                    }
                    if (rightful && above && at.parent != null) {
                        at.parent.claiming.add(right);
                    }
                    if (at.parent != null) {
                        at.parent.wishing.add(at);
                    }
                }
            }
        }
    }

    /** It has been sent: it may have taken effect, and is not handed back for a lender's sake. */
    public void sent(String id) {
        Holder holder = holders.get(id);
        if (holder != null) {
            holder.member.waiting.remove(holder.seq);
        }
    }

    /** It is held no longer. */
    public void ended(String id) {
        Holder holder = holders.remove(id);
        atDoor.remove(id);
        if (holder != null) {
            Node own = holder.member;
            own.waiting.remove(holder.seq);
            for (Node at = own; at != null; at = at.parent) {
                at.held--;
            }
            prune(own);
        }
    }

    /** A message from before a restart is held again; it was counted when it was taken on. */
    public void recovered(Asked asked) {
        hold(own(root, asked), asked.id());
    }

    // ---- Another file ---------------------------------------------------------------------------
    /**
     * Another tree counts from now on. What was used and what is held is kept by path; a limit that is lower
     * than what is out binds until that is past; a member that is gone keeps what it holds until it ends.
     */
    public void reload(long time, Member tree) {
        at(time);
        if (!tree.path().equals(root.member.path())) {
            throw new IllegalArgumentException("the root is " + root.member.path() + ", not " + tree.path());
        }
        merge(root, tree);
    }

    private void merge(Node node, Member next) {
        List<Window> windows = new ArrayList<>();
        for (Limit limit : next.limits()) {
            Window kept = null;
            for (int i = 0; i < node.windows.size(); i++) {
                Limit old = node.member.limits().get(i);
                kept = old.dimension() == limit.dimension() && old.window() == limit.window()
                        ? node.windows.get(i)
                        : kept;
            }
            windows.add(kept != null ? kept : seeded(node, limit));
        }
        node.unnoted = Node.neverNoted(windows.size());
        node.windows.clear();
        node.windows.addAll(windows);
        node.member = next;
        node.removed = false;
        List<Node> order = new ArrayList<>();
        for (Member m : next.members()) {
            Node below = byPath.get(m.path());
            if (below == null) {
                below = node(node, m);
            } else {
                merge(below, m);
            }
            order.add(below);
        }
        for (Node below : List.copyOf(node.members)) {
            if (!order.contains(below)) {
                remove(below);
                order.add(below);
            }
        }
        node.members.clear();
        node.members.addAll(order);
        node.wishing.retainAll(order);
        node.index();
        List.copyOf(order).forEach(this::prune);
    }

    /** A limit that was not there before: what the last second brought is known, and counts. */
    private Window seeded(Node node, Limit limit) {
        Window window = new Window(limit.window());
        long used = node.counts.get(limit.dimension()).used.used(now);
        if (used > 0) {
            window.add(now, used);
        }
        return window;
    }

    private void remove(Node node) {
        node.removed = true;
        node.members.forEach(this::remove);
    }

    private void prune(Node node) {
        if (node.removed && node.held == 0 && node.members.isEmpty() && node.parent != null) {
            node.parent.members.remove(node);
            for (Node at = node.parent; at != null; at = at.parent) {
                at.wishing.remove(node);
                at.claiming.remove(node);
            }
            byPath.remove(node.member.path(), node);
            prune(node.parent);
        }
    }

    // ---- What outlasts the process --------------------------------------------------------------
    /** One long window of a member: times and amounts by turns, as {@link #restore} takes them. */
    public record Use(Dimension dimension, long window, long[] uses) {}

    /** What is used unnoted at most, of a limit: so much counts as used after a restart. */
    private static long part(Limit limit) {
        return Math.max(1, limit.amount() / NOTED_PARTS);
    }

    /**
     * Paths of members of which something has to be written down before what was taken on is answered: their
     * long windows have moved on by a part of their limit since they were written down last.
     */
    public List<String> noteDue() {
        List<String> paths = noteDue.stream().map(n -> n.member.path()).toList();
        noteDue.clear();
        return paths;
    }

    /** The long windows of a member, to be written down now. */
    public List<Use> note(long time, String path) {
        at(time);
        Node node = byPath.get(path);
        List<Use> all = new ArrayList<>();
        for (int i = 0; node != null && i < node.windows.size(); i++) {
            Limit limit = node.member.limits().get(i);
            if (limit.window() >= LASTS) {
                all.add(new Use(
                        limit.dimension(), limit.window(), node.windows.get(i).uses(now)));
                node.unnoted[i] = 0;
            }
        }
        return all;
    }

    /**
     * What was written down of a member before a restart, times on this clock. A part of each limit counts as
     * used just now besides: it may have been used and not been written down.
     */
    public void restore(long time, String path, List<Use> noted) {
        at(time);
        Node node = byPath.get(path);
        for (int i = 0; node != null && i < node.windows.size(); i++) {
            Limit limit = node.member.limits().get(i);
            for (Use use : noted) {
                if (use.dimension() == limit.dimension() && use.window() == limit.window()) {
                    Window window = node.windows.get(i);
                    for (int u = 0; u + 1 < use.uses().length; u += 2) {
                        window.add(Math.min(now, use.uses()[u]), use.uses()[u + 1]);
                    }
                    window.add(now, Math.min(part(limit), Math.max(0, limit.amount() - window.used(now))));
                }
            }
        }
    }

    // ---- Looking --------------------------------------------------------------------------------
    /** How one member stands. Amounts of the last second but for the sums since the start. */
    public record Standing(
            String path,
            long held,
            long heldMost,
            long used,
            long share,
            long borrowed,
            long lent,
            long wished,
            long usedInAll,
            long borrowedInAll,
            long refusedInAll) {}

    /** How each member stands in a dimension, the root first, then by the file's order. */
    public List<Standing> standing(long time, Dimension dimension) {
        at(time);
        List<Standing> all = new ArrayList<>();
        stand(root, dimension, all);
        return all;
    }

    private void stand(Node node, Dimension dimension, List<Standing> all) {
        Node.Count count = node.counts.get(dimension);
        long below = 0;
        for (Node m : node.members) {
            below += m.borrowed(dimension, now);
        }
        all.add(new Standing(
                node.member.path(),
                node.held,
                node.member.held(),
                count.used.used(now),
                node.share(dimension),
                node.borrowed(dimension, now),
                below,
                count.wished.used(now),
                count.usedInAll,
                count.borrowedInAll,
                count.refusedInAll));
        node.members.forEach(m -> stand(m, dimension, all));
    }

    /** The member that a message would be; null where there is none of that path. */
    public Member member(String path) {
        Node node = byPath.get(path);
        return node == null ? null : node.member;
    }

    /** The path of the member whose messages these are. */
    public String pathOf(Asked asked) {
        return own(root, asked).member.path();
    }

    Node root() {
        return root;
    }
}
