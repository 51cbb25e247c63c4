package brambletray.platform.replication;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/**
 * The leader of an active view: assigns indices, sends entries and heartbeats, and commits the entries that all members
 * have on disk. Invariant: an index is assigned at most once in a view, because only the proposer of a view leads it,
 * within a single process. This class reports silent and slow members; {@link ViewChangeInitiator} acts on them.
 */
final class LeaderState {
    private static final int MAX_APPEND_BYTES = 256 << 10;
    private static final int MAX_UNCOMMITTED_ENTRIES = 128;
    /** Limit of bytes waiting for the disk. Above it, proposals are rejected. */
    private static final int MAX_QUEUED_BYTES = 4 << 20;
    /** Limit of unacknowledged bytes per follower above which nothing more is sent; the last append may exceed it. */
    private static final int MAX_IN_FLIGHT_BYTES = 1 << 20;
    /** Time without progress after which entries are retransmitted. */
    private static final int RESEND_BACKOFF_MS = 200;
    /** Unacknowledged bytes that each extend the retransmission time-out by 1 ms: 1 Mbit/s. */
    private static final int RESEND_BYTES_PER_MS = 125;

    private static final int HEALTHY_TIMEOUT_MS = 350;
    private static final int SUPERSEDED_TIMEOUT_MS = 300;
    private static final int MIN_VIEW_AGE_MS = 100;
    private static final int ANNOUNCE_EVERY_HEARTBEATS = 10;
    private static final int ANNOUNCE_DURATION_MS = 30_000;
    private static final int MAX_RECENT_PROPOSALS = 1024;

    /** Identifies a proposal, to recognise retries of one that already has an index. */
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

    /** Starts leading the current view, which is active. */
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

    /** Whether a majority of the members answered recently and has not stopped for another view change. */
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
     * Assigns an index to a proposal, unless it already has one.
     *
     * @return false if this member cannot lead now, is draining, or has too much in flight; the proposer retries
     */
    boolean propose(long origin, long token, byte[] bytes) {
        if (!state.isOperationalIn(view.ballot())) {
            return false;
        }
        ProposalId proposal = new ProposalId(origin, token);
        if (recentProposals.contains(proposal)) {
            return true;
        }
        // while draining, uncommitted entries are to be committed before another member leads: take no new ones
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
            // unreachable unless there is a bug: compacted entries are committed, so all members have them on disk
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

    /** Records that a follower has all entries up to this index on disk. */
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
     * Retransmits entries that a connection reset may have lost, or that were not acknowledged for long. Happens before
     * {@code ackTimeoutMs}, at which the follower counts as slow.
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

    /** Commits what all members have on disk, provided that the members of the view tolerate the configured losses. */
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
     * Whether the view has reached the minimum age for a planned view change (a newcomer, a leave). Without it, two
     * view changes could follow each other so closely that callers see them as one longer pause.
     */
    boolean hasReachedMinViewAge() {
        return state.nowMs() - activeSinceMs >= MIN_VIEW_AGE_MS;
    }

    /** Called when the connection to this address was refused or reset. */
    void onDisconnected(String address) {
        for (FollowerProgress follower : followers.values()) {
            if (follower.member().address().equals(address)) {
                follower.onDisconnected(state.nowMs());
            }
        }
    }

    /** Restarts all time-outs after this process was paused, so that no follower is suspected because of it. */
    void resetTimers() {
        for (FollowerProgress follower : followers.values()) {
            follower.resetTimers(state.log().lastIndex(), state.nowMs());
        }
    }

    /** Must be called every 25 to 50 ms. */
    void tick() {
        if (state.nowMs() - heartbeatSentAtMs >= state.settings().heartbeatIntervalMs()) {
            sendHeartbeats();
        }
    }

    /** Sends the commit index to the followers at once if it has advanced. */
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

    /**
     * Sends the known addresses to machines outside the view, for {@link #ANNOUNCE_DURATION_MS} after a view change: an
     * excluded machine may be back with an empty disk and know no member.
     */
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

    /** Incarnations that have not answered for too long; a view change does not wait for them. */
    Set<Long> silentMembers() {
        return membersWith(
                follower -> follower.isSilent(state.nowMs(), state.settings().electionTimeoutMs(), HEALTHY_TIMEOUT_MS));
    }

    /** Incarnations that answer heartbeats, but whose disk delays every commit. */
    Set<Long> slowMembers() {
        return membersWith(follower -> follower.wasHeardWithin(state.nowMs(), HEALTHY_TIMEOUT_MS)
                && follower.isSlow(state.nowMs(), state.settings().ackTimeoutMs()));
    }

    /** Whether a member has stopped for another member's view change that did not complete in time. */
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
