package brambletray.platform.replication;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * What one member knows and has promised. In memory it runs ahead of the disk; nothing of it is said before the
 * {@link WriteAheadQueue} has it synced.
 */
final class ReplicaState {
    private static final int MAX_RETIRED_INCARNATIONS = 64;
    private static final int MAX_KNOWN_ADDRESSES = 16;
    private static final int MAX_LINEAGE = 8;

    ReplicationSettings settings;
    final ReplicationActions actions;
    final StateMachine stateMachine;
    final WriteAheadQueue writeAheadQueue;
    /** Drawn at each start of the process: the origin of its proposals. */
    final long origin;

    Member self;
    /** Last view kept; null for who was never in one; the list of seeds for a founder. */
    View view;

    boolean active;
    Ballot promisedBallot = Ballot.NONE;
    /** Highest number heard of. */
    long highestSeenNumber;

    ReplicatedLog log = ReplicatedLog.empty();
    final Set<Long> retiredIncarnations = new LinkedHashSet<>();
    final Set<String> knownAddresses = new LinkedHashSet<>();
    long commitIndex;
    long appliedIndex;
    /** Number of the view that the present one came from, if known to be in force; else -1. */
    long previousViewNumber = -1;
    /** Views that the present one came from, each straight from the one before it, as kept by this process. */
    List<ViewMembership> lineage = List.of();
    /** Where the log ended when the view was installed: what earlier views may have acknowledged lies up to there. */
    long viewStartIndex = Long.MAX_VALUE;
    /** Up to here the log is on the disk, as a log of the present view. */
    long durableIndex;

    long nowMs;
    /** This process is about to end. */
    boolean leaving;
    /** It leads and is about to hand over: what is under way is finished, nothing more is begun. */
    boolean draining;
    /** Transfers begun in this process. */
    long transferCount;
    /** Called when the state above has jumped by a snapshot. */
    Runnable jumped = () -> {};
    /** Called for each entry delivered. */
    java.util.function.Consumer<LogEntry> passed = entry -> {};

    ReplicaState(ReplicationSettings settings, ReplicationActions out, StateMachine stateMachine, long origin) {
        this.settings = settings;
        this.actions = out;
        this.stateMachine = stateMachine;
        this.origin = origin;
        this.writeAheadQueue = new WriteAheadQueue(out);
    }

    void load(DurableState durableState) {
        view = durableState.view();
        active = durableState.active();
        promisedBallot = durableState.promisedBallot();
        highestSeenNumber = promisedBallot.number();
        log = durableState.readLog();
        durableIndex = log.lastIndex();
        retiredIncarnations.addAll(durableState.retiredIncarnations());
        knownAddresses.addAll(durableState.knownAddresses());
        stateMachine.restore(log.snapshot());
        appliedIndex = log.snapshotIndex();
        commitIndex = log.snapshotIndex();
    }

    /** Whether a promise forbids to acknowledge anything in the present view. */
    boolean hasPromisedHigherBallot() {
        return view != null && promisedBallot.isAbove(view.ballot());
    }

    /** Whether this is the present view, and no promise forbids to work in it. */
    boolean isOperationalIn(Ballot ballot) {
        return view != null && view.ballot().equals(ballot) && !hasPromisedHigherBallot() && !view.isFounding();
    }

    boolean diskUnhealthy() {
        return writeAheadQueue.isFailing() || writeAheadQueue.oldestWriteAgeMs(nowMs) > settings.syncTimeoutMs();
    }

    void promise(Ballot ballot) {
        promisedBallot = ballot;
        highestSeenNumber = Math.max(highestSeenNumber, ballot.number());
        writeAheadQueue.put(DurableState.PROMISED_BALLOT_KEY, ReplicationCodec.ballot(ballot), nowMs);
        actions.statusChanged();
    }

    /** Keeps lives whose disks are proven lost; they count only after the sync. Returns whether one is new. */
    boolean retire(Iterable<Long> incarnations) {
        boolean some = false;
        for (long incarnation : incarnations) {
            some |= incarnation != self.incarnation() && retiredIncarnations.add(incarnation);
        }
        if (!some) {
            return false;
        }
        while (retiredIncarnations.size() > MAX_RETIRED_INCARNATIONS) {
            retiredIncarnations.remove(retiredIncarnations.iterator().next());
        }
        writeAheadQueue.put(DurableState.RETIRED_INCARNATIONS_KEY, ReplicationCodec.longs(retiredIncarnations), nowMs);
        return true;
    }

    void addKnownAddress(String address) {
        if (address.equals(self.address()) || knownAddresses.contains(address)) {
            return;
        }
        while (knownAddresses.size() >= MAX_KNOWN_ADDRESSES) {
            knownAddresses.remove(knownAddresses.iterator().next());
        }
        knownAddresses.add(address);
        writeAheadQueue.put(
                DurableState.KNOWN_ADDRESSES_KEY, ReplicationCodec.strings(new ArrayList<>(knownAddresses)), nowMs);
    }

    /**
     * Keeps a proposed view with its log. False if that log would lose what is known to be kept: then nothing is
     * changed.
     */
    boolean acceptView(View next, ReplicatedLog chosen) {
        boolean both = commitIndex >= chosen.snapshotIndex() && commitIndex >= log.snapshotIndex();
        boolean broken = chosen.lastIndex() < commitIndex
                || (both && !chosen.viewAt(commitIndex).equals(log.viewAt(commitIndex)));
        if (broken) {
            actions.log(new ReplicationEvent.CommittedEntriesMissing(next.ballot(), chosen.lastIndex(), commitIndex));
            return false;
        }
        Map<String, byte[]> changes = new LinkedHashMap<>();
        ReplicatedLog.collectChanges(log, chosen, changes);
        boolean jump = chosen.snapshotIndex() > appliedIndex;
        log = chosen;
        lineage = lineageOf(next);
        view = next;
        active = false;
        previousViewNumber = next.predecessors().size() == 1
                ? next.predecessors().get(0).ballot().number()
                : -1;
        viewStartIndex = Long.MAX_VALUE;
        durableIndex = 0;
        if (next.ballot().isAbove(promisedBallot)) {
            promise(next.ballot());
        }
        writeAheadQueue.put(changes, nowMs);
        writeAheadQueue.put(DurableState.VIEW_KEY, ReplicationCodec.view(view, false), nowMs);
        for (Member member : next.members()) {
            addKnownAddress(member.address());
        }
        long end = log.lastIndex();
        writeAheadQueue.onSynced(() -> {
            if (view == next) {
                durableIndex = Math.max(durableIndex, end);
            }
        });
        if (jump) {
            stateMachine.restore(log.snapshot());
            appliedIndex = log.snapshotIndex();
            commitIndex = Math.max(commitIndex, appliedIndex);
            jumped.run();
        }
        actions.statusChanged();
        return true;
    }

    /**
     * That of the present view and the one after it, where the next came straight from it; else what the next tells of
     * itself.
     */
    private List<ViewMembership> lineageOf(View next) {
        if (next.predecessors().size() != 1) {
            return List.of();
        }
        ViewMembership last = next.predecessors().get(0);
        if (view == null || !view.ballot().equals(last.ballot())) {
            return List.of(last);
        }
        List<ViewMembership> longer = new ArrayList<>(lineage);
        longer.add(last);
        return List.copyOf(longer.subList(Math.max(0, longer.size() - MAX_LINEAGE), longer.size()));
    }

    /** The view is in force: all its members have kept it. */
    void activateView() {
        active = true;
        view = new View(view.ballot(), view.members(), List.of());
        writeAheadQueue.put(DurableState.VIEW_KEY, ReplicationCodec.view(view, true), nowMs);
        actions.log(new ReplicationEvent.ViewActivated(
                view.ballot(), names(view.members()), view.leader().name(), log.lastIndex()));
        warnOfZonesHoldingHalf();
        actions.statusChanged();
    }

    /**
     * Zones that may be lost with half of the view or more: said by each member, once for each view that is in force.
     */
    private void warnOfZonesHoldingHalf() {
        List<String> zones = settings.tolerance().groupsHoldingHalf(view.members());
        if (!zones.isEmpty()) {
            actions.log(new ReplicationEvent.ZonesHoldHalf(
                    view.ballot(),
                    String.join(" ", zones),
                    names(view.members()),
                    "if they are lost, the rest waits until they are back"));
        }
    }

    /** Puts an entry at the end; {@code then} runs once it is on the disk. */
    void append(LogEntry entry) {
        log.append(entry);
        writeAheadQueue.put(DurableState.logKey(entry.index()), ReplicationCodec.entry(entry), nowMs);
    }

    /** All up to this place is kept on enough disks: delivers it. */
    void advanceCommit(long index) {
        commitIndex = Math.max(commitIndex, Math.min(index, log.lastIndex()));
        while (appliedIndex < commitIndex) {
            LogEntry entry = log.entryAt(appliedIndex + 1);
            appliedIndex++;
            stateMachine.apply(entry.index(), entry.bytes());
            passed.accept(entry);
        }
        if (!log.needsSnapshot(appliedIndex)) {
            return;
        }
        ReplicatedLog before =
                new ReplicatedLog(log.snapshotIndex(), log.snapshotView(), log.snapshot(), log.entries());
        log.compact(appliedIndex, stateMachine.snapshot());
        Map<String, byte[]> changes = new LinkedHashMap<>();
        ReplicatedLog.collectChanges(before, log, changes);
        writeAheadQueue.put(changes, nowMs);
    }

    /** Ballot of the last view, for log lines; "none" before the first. */
    String viewName() {
        return view == null ? "none" : view.ballot().toString();
    }

    boolean settled() {
        return active && commitIndex >= viewStartIndex;
    }

    ReplicationMessage.PrepareResponse prepareResponse(Ballot ballot) {
        return new ReplicationMessage.PrepareResponse(
                ballot,
                self,
                view == null ? View.NONE : view,
                active,
                log.lastIndex(),
                log.lastView(),
                commitIndex,
                diskUnhealthy(),
                List.copyOf(retiredIncarnations));
    }

    static String names(List<Member> members) {
        StringBuilder names = new StringBuilder();
        for (Member member : members) {
            if (names.length() > 0) {
                names.append(' ');
            }
            names.append(member.name()).append('/').append(Long.toHexString(member.incarnation()));
        }
        return names.toString();
    }
}
