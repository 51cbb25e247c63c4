package brambletray.platform.replication;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/**
 * The leader of an active view: assigns indices, sends entries and heartbeats, and commits what all members have on
 * disk. Invariant: an index is assigned once in a view, as only the proposer of a view leads it and it does so in one
 * process. It says which members are silent or slow; {@link ViewChangeInitiator} decides what follows.
 */
final class LeaderState {
    private static final int MAX_APPEND_BYTES = 256 << 10;
    private static final int MAX_UNCOMMITTED_ENTRIES = 128;
    /** Bytes waiting for the disk beyond which proposals are rejected. */
    private static final int MAX_QUEUED_BYTES = 4 << 20;
    /** Bytes on their way to a member, besides the first entry: what more it lacks follows its acknowledgements. */
    private static final int MAX_IN_FLIGHT_BYTES = 1 << 20;
    /** Silence after which entries are sent again. */
    private static final int RESEND_BACKOFF_MS = 200;
    /** Bytes of those entries for which a ms is added: 1 Mbit/s. */
    private static final int RESEND_BYTES_PER_MS = 125;

    private static final int HEALTHY_TIMEOUT_MS = 350;
    private static final int SUPERSEDED_TIMEOUT_MS = 300;
    private static final int MIN_VIEW_AGE_MS = 100;
    private static final int ANNOUNCE_EVERY_HEARTBEATS = 10;
    private static final int ANNOUNCE_DURATION_MS = 30_000;
    private static final int MAX_RECENT_PROPOSALS = 1024;

    /** A proposal that has an index in this view. */
    private record ProposalId(long origin, long token) {}

    private final ReplicaState state;
    private final View view;
    private final Map<Long, FollowerProgress> followers = new HashMap<>();
    private final Set<ProposalId> recentProposals = new LinkedHashSet<>();
    private long ownDurableIndex;
    private long heartbeatSequence;
    private long heartbeatSentAtMs = Long.MIN_VALUE / 2;
    private long announcedCommitIndex;
    private final long activeSinceMs;

    /** Begins to lead the view of the state, which is active. */
    LeaderState(ReplicaState state) {
        this.state = state;
        this.view = state.view();
        ownDurableIndex = state.log().lastIndex();
        activeSinceMs = state.nowMs();
        for (Member member : view.members()) {
            if (member.incarnation() != state.self().incarnation()) {
                followers.put(member.incarnation(), new FollowerProgress(member, ownDurableIndex, state.nowMs()));
            }
        }
        for (LogEntry entry : state.log().entries()) {
            recentProposals.add(new ProposalId(entry.origin(), entry.token()));
        }
        maybeAdvanceCommit();
        sendHeartbeats();
    }

    /** Whether more than half of the members answered lately and have not stopped for another view change. */
    boolean hasActiveQuorum() {
        int responsive = 1;
        for (FollowerProgress follower : followers.values()) {
            if (follower.isResponsive(state.nowMs(), HEALTHY_TIMEOUT_MS)) {
                responsive++;
            }
        }
        return 2 * responsive > view.members().size() && !state.diskUnhealthy();
    }

    /**
     * Assigns an index to a proposal, unless it has one.
     *
     * @return false if this member may not lead now, or too much is in flight; the proposer tries again
     */
    boolean propose(long origin, long token, byte[] bytes) {
        if (!state.isOperationalIn(view.ballot())) {
            return false;
        }
        ProposalId proposal = new ProposalId(origin, token);
        if (recentProposals.contains(proposal)) {
            return true;
        }
        // draining: what is in flight is to be committed before another leads, so nothing more is begun
        if (state.isDraining() || isOverloaded()) {
            return false;
        }
        remember(proposal);
        LogEntry entry = new LogEntry(state.log().lastIndex() + 1, view.ballot(), origin, token, bytes);
        state.append(entry);
        state.writeAheadQueue().onSynced(() -> onOwnEntrySynced(entry));
        followers.values().forEach(this::sendEntries);
        return true;
    }

    private boolean isOverloaded() {
        return state.log().lastIndex() - state.commitIndex() >= MAX_UNCOMMITTED_ENTRIES
                || state.writeAheadQueue().hasOpenBytesAbove(MAX_QUEUED_BYTES);
    }

    private void remember(ProposalId proposal) {
        recentProposals.add(proposal);
        if (recentProposals.size() > MAX_RECENT_PROPOSALS + MAX_UNCOMMITTED_ENTRIES) {
            recentProposals.remove(recentProposals.iterator().next());
        }
    }

    private void onOwnEntrySynced(LogEntry entry) {
        if (!state.view().ballot().equals(view.ballot())) {
            return;
        }
        ownDurableIndex = Math.max(ownDurableIndex, entry.index());
        state.commits().advanceDurable(ownDurableIndex);
        maybeAdvanceCommit();
    }

    private void sendEntries(FollowerProgress follower) {
        long nextIndex = follower.nextIndex();
        ReplicatedLog log = state.log();
        boolean nothingToSend = nextIndex > log.lastIndex();
        boolean windowFull = nextIndex - follower.durableIndex() > MAX_UNCOMMITTED_ENTRIES
                || log.bytesBetween(follower.durableIndex(), nextIndex - 1) > MAX_IN_FLIGHT_BYTES;
        if (nothingToSend || windowFull) {
            return;
        }
        if (nextIndex <= log.snapshotIndex()) {
            // cannot be: what is compacted is committed, and all members have that on disk
            state.actions()
                    .log(new ReplicationEvent.BehindSnapshot(follower.member().name(), nextIndex, log.snapshotIndex()));
            return;
        }
        List<LogEntry> entries = log.entriesAfter(nextIndex - 1, MAX_APPEND_BYTES);
        sendAppend(follower, nextIndex - 1, log.viewAt(nextIndex - 1), entries);
        follower.onSent(entries.size(), state.nowMs());
    }

    private void sendAppend(
            FollowerProgress follower, long previousIndex, Ballot previousView, List<LogEntry> entries) {
        state.actions()
                .send(
                        follower.member().address(),
                        new ReplicationMessage.AppendRequest(
                                view.ballot(), previousIndex, previousView, entries, state.commitIndex()));
    }

    /** A follower has all entries up to this index on disk. */
    void onDurable(long incarnation, long index) {
        FollowerProgress follower = followers.get(incarnation);
        if (follower != null) {
            onDurable(follower, index);
        }
    }

    private void onDurable(FollowerProgress follower, long index) {
        if (follower.onDurable(index, state.log().lastIndex(), state.nowMs())) {
            maybeAdvanceCommit();
        }
        sendEntries(follower);
    }

    /** A follower has answered a heartbeat. */
    void onHeartbeatResponse(ReplicationMessage.HeartbeatResponse response) {
        FollowerProgress follower = followers.get(response.incarnation());
        if (follower == null) {
            return;
        }
        boolean superseded = response.promisedBallot().isAbove(view.ballot());
        follower.onHeartbeatResponse(response.diskUnhealthy(), superseded, state.nowMs(), HEALTHY_TIMEOUT_MS);
        state.ballots().observe(response.promisedBallot().number());
        if (!superseded) {
            onDurable(follower, response.durableIndex());
        }
        resendIfStalled(follower, response.durableIndex());
    }

    /**
     * Sends again what a broken link took with it, and what was not acknowledged for long, before it counts as slow.
     */
    private void resendIfStalled(FollowerProgress follower, long durableIndex) {
        ReplicatedLog log = state.log();
        long inFlightBytes =
                follower.mayHaveLostEntries() ? 0 : log.bytesBetween(durableIndex, follower.nextIndex() - 1);
        long backoffMs = Math.min(
                RESEND_BACKOFF_MS + inFlightBytes / RESEND_BYTES_PER_MS,
                state.settings().ackTimeoutMs() * 3L / 4);
        boolean stalled = durableIndex < follower.nextIndex() - 1
                && state.nowMs() - follower.stalledSinceMs() > backoffMs
                && durableIndex >= log.snapshotIndex();
        if (stalled) {
            follower.resendFrom(Math.max(durableIndex, log.snapshotIndex()) + 1, state.nowMs());
            sendEntries(follower);
        }
    }

    /** Committed is what all members have on disk, if one disk is left whichever of those that may be lost are. */
    private void maybeAdvanceCommit() {
        if (!state.isOperationalIn(view.ballot())
                || !state.settings().tolerance().toleratesLossWith(view.members())) {
            return;
        }
        long durableOnAll = ownDurableIndex;
        for (FollowerProgress follower : followers.values()) {
            durableOnAll = Math.min(durableOnAll, follower.durableIndex());
        }
        if (durableOnAll > state.commitIndex() || state.appliedIndex() < state.commitIndex()) {
            state.advanceCommit(durableOnAll);
        }
    }

    /**
     * Whether the view has been active for a while, so that a planned view change (a newcomer, a leave) does not follow
     * so closely on the last that callers feel both as one pause.
     */
    boolean hasReachedMinViewAge() {
        return state.nowMs() - activeSinceMs >= MIN_VIEW_AGE_MS;
    }

    /** The connection to this address was refused or reset. */
    void onDisconnected(String address) {
        for (FollowerProgress follower : followers.values()) {
            if (follower.member().address().equals(address)) {
                follower.onDisconnected(state.nowMs());
            }
        }
    }

    /** This process was paused: nobody is suspected before the time-outs have run anew. */
    void resetTimers() {
        for (FollowerProgress follower : followers.values()) {
            follower.resetTimers(state.log().lastIndex(), state.nowMs());
        }
    }

    /** To be called every 25 to 50 ms. */
    void tick() {
        if (state.nowMs() - heartbeatSentAtMs >= state.settings().heartbeatIntervalMs()) {
            sendHeartbeats();
        }
    }

    /** Tells the followers at once of a commit index that has advanced. */
    void announceCommit() {
        if (state.commitIndex() <= announcedCommitIndex) {
            return;
        }
        announcedCommitIndex = state.commitIndex();
        for (FollowerProgress follower : followers.values()) {
            sendAppend(follower, state.log().lastIndex(), state.log().lastView(), List.of());
        }
    }

    private void sendHeartbeats() {
        heartbeatSentAtMs = state.nowMs();
        heartbeatSequence++;
        if (heartbeatSequence % ANNOUNCE_EVERY_HEARTBEATS == 0) {
            announceMembership();
        }
        for (FollowerProgress follower : followers.values()) {
            state.actions()
                    .send(
                            follower.member().address(),
                            new ReplicationMessage.HeartbeatRequest(
                                    view.ballot(),
                                    heartbeatSequence,
                                    state.commitIndex(),
                                    state.viewStartIndex(),
                                    true,
                                    state.diskUnhealthy()));
        }
    }

    /** After a view change: a machine that was left out may be back with another disk and know nobody. */
    private void announceMembership() {
        if (state.knownAddresses().isEmpty() || state.nowMs() - activeSinceMs > ANNOUNCE_DURATION_MS) {
            return;
        }
        ReplicationMessage.KnownMembers knownMembers =
                new ReplicationMessage.KnownMembers(List.copyOf(state.knownAddresses()));
        for (String address : state.knownAddresses()) {
            if (view.memberAt(address) == null) {
                state.actions().send(address, knownMembers);
            }
        }
    }

    /** Incarnations that were not heard for too long: a view change does not wait for them. */
    Set<Long> silentMembers() {
        return membersWith(
                follower -> follower.isSilent(state.nowMs(), state.settings().electionTimeoutMs(), HEALTHY_TIMEOUT_MS));
    }

    /** Incarnations that answer, but whose disk holds up every commit. */
    Set<Long> slowMembers() {
        return membersWith(follower -> follower.wasHeardWithin(state.nowMs(), HEALTHY_TIMEOUT_MS)
                && follower.isSlow(state.nowMs(), state.settings().ackTimeoutMs()));
    }

    /** Whether a member has stopped for the view change of another, of which nothing came. */
    boolean hasSupersededMember() {
        return !membersWith(follower -> follower.isSupersededFor(state.nowMs(), SUPERSEDED_TIMEOUT_MS))
                .isEmpty();
    }

    private Set<Long> membersWith(Predicate<FollowerProgress> condition) {
        Set<Long> incarnations = new HashSet<>();
        for (FollowerProgress follower : followers.values()) {
            if (condition.test(follower)) {
                incarnations.add(follower.member().incarnation());
            }
        }
        return incarnations;
    }
}
