package brambletray.platform.replication;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Sees all and holds the rules: one order, nothing acknowledged lost, nothing delivered twice, one view a number, reads
 * not older than acknowledgements.
 */
public final class RuleChecker {
    /**
     * A second machine isn't lost so soon after the view without the first came active that only its leader knows of
     * it.
     */
    private static final int SPREAD_MS = 300;

    /** A machine counts as lost for so long after its return. */
    private static final int LOST_MS = 4000;

    private final SimulatedReplicas world;
    /** What was delivered anywhere, by place. */
    final TreeMap<Long, String> order = new TreeMap<>();

    private final Set<String> ordered = new HashSet<>();
    final Set<String> acknowledged = new HashSet<>();
    final Set<String> refused = new HashSet<>();
    private final Map<Long, String> proposed = new HashMap<>();
    private final Map<Long, Set<String>> expected = new HashMap<>();
    private final Map<Long, View> views = new TreeMap<>();
    private final Set<Long> lives = new HashSet<>();
    private final Map<String, Long> lifeAt = new HashMap<>();
    /** Machines whose disk was lost, or that take the place of one, and that aren't members yet. */
    final Set<String> recovering = new HashSet<>();

    View latest;
    private long latestAt;
    private long troubleAt = Long.MIN_VALUE / 2;
    /**
     * Whether disks are lost sooner after one another than is promised; then nobody promises that it goes on, only that
     * nothing breaks.
     */
    boolean harsh;

    int unclear;
    int confirmedOk;
    long tokens;

    RuleChecker(SimulatedReplicas world) {
        this.world = world;
    }

    public void fail(String reason) {
        StringBuilder text = new StringBuilder(reason).append(" at ").append(world.now);
        for (SimulatedReplica node : world.nodes.values()) {
            text.append("\n  ").append(node.address).append(node.isRunning() ? " " + node.replica.status() : " down");
        }
        throw new AssertionError(text.toString());
    }

    void born(SimulatedReplica node, long incarnation) {
        lifeAt.put(node.address, incarnation);
        lives.add(incarnation);
    }

    void wiped(SimulatedReplica node) {
        recovering.add(node.address);
        if (world.logsEvents) {
            world.events.add(world.now + " " + node.address + " wiped");
        }
        lives.remove(lifeAt.getOrDefault(node.address, 0L));
        lifeAt.put(node.address, 0L);
    }

    /** Whether one more disk may be lost without losing what is kept on more disks than one. */
    boolean intact() {
        if (latest == null || latest.members().size() < 2 || world.now - latestAt < SPREAD_MS) {
            return false;
        }
        recovering.removeIf(address -> latest.memberAt(address) != null
                && latest.memberAt(address).incarnation() == lifeAt.getOrDefault(address, 0L));
        if (!recovering.isEmpty()) {
            troubleAt = world.now;
            return false;
        }
        if (!harsh && world.now - troubleAt < LOST_MS) {
            return false;
        }
        for (Member member : latest.members()) {
            if (!lives.contains(member.incarnation())) {
                return false;
            }
        }
        return true;
    }

    void look(SimulatedReplica node) {
        ReplicaStatus status = node.replica.status();
        if (!status.active()) {
            return;
        }
        View view = views.get(status.viewNumber());
        View mine =
                new View(new Ballot(status.viewNumber(), status.leader().incarnation()), status.members(), List.of());
        if (view == null) {
            views.put(status.viewNumber(), mine);
            if (latest == null || mine.ballot().isAbove(latest.ballot())) {
                latest = mine;
                latestAt = world.now;
            }
        } else if (!view.equals(mine)) {
            fail("two views of number " + status.viewNumber() + ": " + view + " and " + mine);
        }
    }

    public void delivered(SimulatedReplica node, long index, String text) {
        String other = order.putIfAbsent(index, text);
        ordered.add(text);
        if (other != null && !other.equals(text)) {
            fail(node.address + " delivers " + text + " at " + index + ", others " + other);
        }
        if (refused.contains(text)) {
            fail(text + " was refused and is delivered");
        }
    }

    /** Proposes a text here, {@code c} and the token that this returns. */
    public long propose(SimulatedReplica node) {
        long token = ++tokens;
        String text = "c" + token;
        proposed.put(token, text);
        String whole = world.padding.isEmpty() ? text : text + ' ' + world.padding;
        node.replica.propose(token, whole.getBytes(java.nio.charset.StandardCharsets.UTF_8), world.now);
        return token;
    }

    void outcome(SimulatedReplica node, long token, ProposalOutcome outcome) {
        String text = proposed.get(token);
        if (outcome == ProposalOutcome.COMMITTED) {
            if (!ordered.contains(text)) {
                fail(text + " acknowledged but not in the order");
            }
            acknowledged.add(text);
        } else if (outcome == ProposalOutcome.REJECTED) {
            if (ordered.contains(text)) {
                fail(text + " refused but in the order");
            }
            refused.add(text);
        } else {
            unclear++;
        }
    }

    long confirm(SimulatedReplica node) {
        long token = ++tokens;
        expected.put(token, new HashSet<>(acknowledged));
        node.replica.requestReadIndex(token, world.now);
        return token;
    }

    void confirmed(SimulatedReplica node, long token, boolean yes) {
        Set<String> must = expected.remove(token);
        if (!yes) {
            return;
        }
        confirmedOk++;
        for (String text : must) {
            if (!node.applied.contains(text)) {
                fail(node.address + " reads without " + text + ", acknowledged before");
            }
        }
    }

    /** At the end: all members have the same and all that was acknowledged. */
    void end(List<SimulatedReplica> live) {
        for (String text : acknowledged) {
            for (SimulatedReplica node : live) {
                if (!node.applied.contains(text)) {
                    fail(node.address + " has lost " + text);
                }
            }
        }
        List<String> first = new ArrayList<>(live.get(0).state);
        for (SimulatedReplica node : live) {
            if (!node.state.equals(first)) {
                fail(node.address + " differs from " + live.get(0).address + ": " + node.state + " " + first);
            }
        }
    }

    int views() {
        return views.size();
    }
}
