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
    private static final int ACTIVATION_SPREAD_MS = 300;

    /** A machine counts as lost for so long after its return. */
    private static final int RECOVERY_MS = 4000;

    private final SimulatedReplicas world;
    /** What was delivered anywhere, by place. */
    final TreeMap<Long, String> appliedByIndex = new TreeMap<>();

    private final Set<String> appliedTexts = new HashSet<>();
    final Set<String> acknowledged = new HashSet<>();
    final Set<String> rejected = new HashSet<>();
    private final Map<Long, String> proposed = new HashMap<>();
    private final Map<Long, Set<String>> expected = new HashMap<>();
    private final Map<Long, View> views = new TreeMap<>();
    private final Set<Long> liveIncarnations = new HashSet<>();
    private final Map<String, Long> incarnationByAddress = new HashMap<>();
    /** Machines whose disk was lost, or that take the place of one, and that aren't members yet. */
    final Set<String> recovering = new HashSet<>();

    View latestView;
    private long latestViewAtMs;
    private long recoveringAtMs = Long.MIN_VALUE / 2;
    /**
     * Whether disks are lost sooner after one another than is promised; then nobody promises that it goes on, only that
     * nothing breaks.
     */
    boolean rapidDiskLosses;

    int unknownOutcomes;
    int confirmedReads;
    long lastToken;

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

    void onStarted(SimulatedReplica node, long incarnation) {
        incarnationByAddress.put(node.address, incarnation);
        liveIncarnations.add(incarnation);
    }

    void onDiskWiped(SimulatedReplica node) {
        recovering.add(node.address);
        if (world.logsEvents) {
            world.events.add(world.now + " " + node.address + " wiped");
        }
        liveIncarnations.remove(incarnationByAddress.getOrDefault(node.address, 0L));
        incarnationByAddress.put(node.address, 0L);
    }

    /** Whether one more disk may be lost without losing what is kept on more disks than one. */
    boolean mayLoseDisk() {
        if (latestView == null || latestView.members().size() < 2 || world.now - latestViewAtMs < ACTIVATION_SPREAD_MS) {
            return false;
        }
        recovering.removeIf(address -> latestView.memberAt(address) != null
                && latestView.memberAt(address).incarnation() == incarnationByAddress.getOrDefault(address, 0L));
        if (!recovering.isEmpty()) {
            recoveringAtMs = world.now;
            return false;
        }
        if (!rapidDiskLosses && world.now - recoveringAtMs < RECOVERY_MS) {
            return false;
        }
        for (Member member : latestView.members()) {
            if (!liveIncarnations.contains(member.incarnation())) {
                return false;
            }
        }
        return true;
    }

    void checkView(SimulatedReplica node) {
        ReplicaStatus status = node.replica.status();
        if (!status.active()) {
            return;
        }
        View view = views.get(status.viewNumber());
        View mine =
                new View(new Ballot(status.viewNumber(), status.leader().incarnation()), status.members(), List.of());
        if (view == null) {
            views.put(status.viewNumber(), mine);
            if (latestView == null || mine.ballot().isAbove(latestView.ballot())) {
                latestView = mine;
                latestViewAtMs = world.now;
            }
        } else if (!view.equals(mine)) {
            fail("two views of number " + status.viewNumber() + ": " + view + " and " + mine);
        }
    }

    public void onApplied(SimulatedReplica node, long index, String text) {
        String other = appliedByIndex.putIfAbsent(index, text);
        appliedTexts.add(text);
        if (other != null && !other.equals(text)) {
            fail(node.address + " delivers " + text + " at " + index + ", others " + other);
        }
        if (rejected.contains(text)) {
            fail(text + " was refused and is delivered");
        }
    }

    /** Proposes a text here, {@code c} and the token that this returns. */
    public long propose(SimulatedReplica node) {
        long token = ++lastToken;
        String text = "c" + token;
        proposed.put(token, text);
        String whole = world.changePadding.isEmpty() ? text : text + ' ' + world.changePadding;
        node.replica.propose(token, whole.getBytes(java.nio.charset.StandardCharsets.UTF_8), world.now);
        return token;
    }

    void onProposalCompleted(SimulatedReplica node, long token, ProposalOutcome outcome) {
        String text = proposed.get(token);
        if (outcome == ProposalOutcome.COMMITTED) {
            if (!appliedTexts.contains(text)) {
                fail(text + " acknowledged but not in the order");
            }
            acknowledged.add(text);
        } else if (outcome == ProposalOutcome.REJECTED) {
            if (appliedTexts.contains(text)) {
                fail(text + " refused but in the order");
            }
            rejected.add(text);
        } else {
            unknownOutcomes++;
        }
    }

    long requestReadIndex(SimulatedReplica node) {
        long token = ++lastToken;
        expected.put(token, new HashSet<>(acknowledged));
        node.replica.requestReadIndex(token, world.now);
        return token;
    }

    void onReadIndexCompleted(SimulatedReplica node, long token, boolean yes) {
        Set<String> must = expected.remove(token);
        if (!yes) {
            return;
        }
        confirmedReads++;
        for (String text : must) {
            if (!node.applied.contains(text)) {
                fail(node.address + " reads without " + text + ", acknowledged before");
            }
        }
    }

    /** At the end: all members have the same and all that was acknowledged. */
    void checkFinalState(List<SimulatedReplica> live) {
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

    int viewCount() {
        return views.size();
    }
}
