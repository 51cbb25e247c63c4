package brambletray.platform.replication;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The state of one member, by owner: {@link BallotState} what it has promised, {@link MembershipState} the view and
 * the machines it knows, {@link CommitState} the log and how far it is committed. In memory the state is ahead of the
 * disk; messages that reveal it are sent from {@link WriteAheadQueue#onSynced}. One thread only.
 */
final class ReplicaState {
    private ReplicationSettings settings;
    private final ReplicationActions actions;
    private final StateMachine stateMachine;
    private final WriteAheadQueue writeAheadQueue;
    private final BallotState ballots = new BallotState();
    private final MembershipState membership;
    private final CommitState commits;
    private final long origin;
    private long nowMs;
    private boolean leaving;
    private boolean draining;
    private long transferCount;

    ReplicaState(
            ReplicaConfig config,
            DurableState stored,
            ReplicationActions actions,
            StateMachine stateMachine,
            AppliedEntryListener listener,
            long nowMs) {
        this.settings = config.settings();
        this.actions = actions;
        this.stateMachine = stateMachine;
        this.origin = config.origin();
        this.nowMs = nowMs;
        writeAheadQueue = new WriteAheadQueue(actions);
        membership = new MembershipState(config.self(stored));
        membership.restore(stored);
        ballots.restore(stored.promisedBallot());
        commits = new CommitState(stateMachine, listener);
        commits.restore(stored.log());
    }

    ReplicationSettings settings() {
        return settings;
    }

    void updateSettings(ReplicationSettings next) {
        settings = next;
    }

    ReplicationActions actions() {
        return actions;
    }

    StateMachine stateMachine() {
        return stateMachine;
    }

    WriteAheadQueue writeAheadQueue() {
        return writeAheadQueue;
    }

    BallotState ballots() {
        return ballots;
    }

    MembershipState membership() {
        return membership;
    }

    CommitState commits() {
        return commits;
    }

    /** Drawn at each start of the process: the origin of its proposals. */
    long origin() {
        return origin;
    }

    /** Steady clock, ms. */
    long nowMs() {
        return nowMs;
    }

    void advanceTo(long timeMs) {
        nowMs = Math.max(timeMs, nowMs);
    }

    Member self() {
        return membership.self();
    }

    View view() {
        return membership.view();
    }

    boolean isActive() {
        return membership.isActive();
    }

    Set<Long> retiredIncarnations() {
        return membership.retiredIncarnations();
    }

    Set<String> knownAddresses() {
        return membership.knownAddresses();
    }

    Ballot promisedBallot() {
        return ballots.promised();
    }

    ReplicatedLog log() {
        return commits.log();
    }

    long commitIndex() {
        return commits.commitIndex();
    }

    long appliedIndex() {
        return commits.appliedIndex();
    }

    long durableIndex() {
        return commits.durableIndex();
    }

    long viewStartIndex() {
        return commits.viewStartIndex();
    }

    /** Whether this process is about to end. */
    boolean isLeaving() {
        return leaving;
    }

    void startLeaving() {
        leaving = true;
    }

    /** Whether this member leads and is about to hand over: what is in flight is finished, nothing more is begun. */
    boolean isDraining() {
        return draining;
    }

    void setDraining(boolean next) {
        draining = next;
    }

    /** Counts the state transfers that this process has begun. */
    long nextTransferNumber() {
        return ++transferCount;
    }

    /** Whether a promise forbids to acknowledge anything in the present view. */
    boolean hasPromisedHigherBallot() {
        return view() != null && promisedBallot().isAbove(view().ballot());
    }

    /** Whether this is the present view, and no promise forbids to work in it. */
    boolean isOperationalIn(Ballot ballot) {
        return view() != null && view().ballot().equals(ballot) && !hasPromisedHigherBallot() && !view().isFounding();
    }

    /** Whether writes fail, or the oldest one has been waiting for too long. */
    boolean diskUnhealthy() {
        return writeAheadQueue.isFailing() || writeAheadQueue.oldestWriteAgeMs(nowMs) > settings.syncTimeoutMs();
    }

    /** Promises to acknowledge nothing in views below this ballot; it counts once it is synced. */
    void promise(Ballot ballot) {
        ballots.promise(ballot);
        put(DurableState.PROMISED_BALLOT_KEY, ReplicationCodec.ballot(ballot));
        actions.statusChanged();
    }

    /** Remembers incarnations that are gone for good, which counts once it is synced; whether one of them is new. */
    boolean retire(Iterable<Long> incarnations) {
        if (!membership.retire(incarnations)) {
            return false;
        }
        put(DurableState.RETIRED_INCARNATIONS_KEY, ReplicationCodec.longs(membership.retiredIncarnations()));
        return true;
    }

    void addKnownAddress(String address) {
        if (membership.addKnownAddress(address)) {
            put(
                    DurableState.KNOWN_ADDRESSES_KEY,
                    ReplicationCodec.strings(new ArrayList<>(membership.knownAddresses())));
        }
    }

    /**
     * Takes a proposed view with its log.
     *
     * @return false, with nothing changed, if that log lacks an entry that is known to be committed
     */
    boolean acceptView(View next, ReplicatedLog chosen) {
        if (commits.losesCommitted(chosen)) {
            actions.log(new ReplicationEvent.CommittedEntriesMissing(
                    next.ballot(), chosen.lastIndex(), commits.commitIndex()));
            return false;
        }
        Map<String, byte[]> changes = commits.replaceLog(chosen);
        membership.install(next);
        if (next.ballot().isAbove(ballots.promised())) {
            promise(next.ballot());
        }
        writeAheadQueue.put(changes, nowMs);
        put(DurableState.VIEW_KEY, ReplicationCodec.view(next, false));
        for (Member member : next.members()) {
            addKnownAddress(member.address());
        }
        long lastIndex = chosen.lastIndex();
        writeAheadQueue.onSynced(() -> {
            if (view() == next) {
                commits.advanceDurable(lastIndex);
            }
        });
        commits.installSnapshotIfAhead();
        actions.statusChanged();
        return true;
    }

    /** All members have the view: it is active. */
    void activateView() {
        membership.activate();
        put(DurableState.VIEW_KEY, ReplicationCodec.view(view(), true));
        actions.log(new ReplicationEvent.ViewActivated(
                view().ballot(), names(view().members()), view().leader().name(), log().lastIndex()));
        warnIfZonesHoldHalf();
        actions.statusChanged();
    }

    private void warnIfZonesHoldHalf() {
        List<String> zones = settings.tolerance().groupsHoldingHalf(view().members());
        if (!zones.isEmpty()) {
            actions.log(new ReplicationEvent.ZonesHoldHalf(
                    view().ballot(),
                    String.join(" ", zones),
                    names(view().members()),
                    "if they are lost, the rest waits until they are back"));
        }
    }

    /** Appends an entry; {@link WriteAheadQueue#onSynced} runs a callback once it is on disk. */
    void append(LogEntry entry) {
        log().append(entry);
        put(DurableState.logKey(entry.index()), ReplicationCodec.entry(entry));
    }

    /** Everything up to this index is on enough disks: applies it. */
    void advanceCommit(long index) {
        writeAheadQueue.put(commits.advanceCommit(index), nowMs);
    }

    /** Whether the view is active and everything that earlier views committed has been committed in it. */
    boolean isSettled() {
        return isActive() && commits.coversEarlierViews();
    }

    /** The state of this member as it answers a prepare request. */
    ReplicationMessage.PrepareResponse prepareResponse(Ballot ballot) {
        return new ReplicationMessage.PrepareResponse(
                ballot,
                self(),
                view() == null ? View.NONE : view(),
                isActive(),
                log().lastIndex(),
                log().lastView(),
                commitIndex(),
                diskUnhealthy(),
                List.copyOf(retiredIncarnations()));
    }

    /** Ballot of the last view, for log lines; "none" before the first. */
    String viewName() {
        return view() == null ? "none" : view().ballot().toString();
    }

    private void put(String key, byte[] value) {
        writeAheadQueue.put(key, value, nowMs);
    }

    /** Names and incarnations of members, for log lines. */
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
