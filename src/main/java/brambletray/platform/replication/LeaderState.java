package brambletray.platform.replication;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The part of the leader of a view in force: gives places, sends entries, counts acknowledgements, beats, suspects. */
final class LeaderState {
    private static final int MAX_APPEND_BYTES = 256 << 10;
    private static final int MAX_UNCOMMITTED_ENTRIES = 128;
    /** Bytes on their way to a member, besides the first entry: what more it lacks follows its acknowledgements. */
    private static final int MAX_IN_FLIGHT_BYTES = 1 << 20;
    /** Silence after which entries are sent again, and how many of their bytes a ms may take besides: 1 Mbit/s. */
    private static final int RESEND_BACKOFF_MS = 200;

    private static final int RESEND_BYTES_PER_MS = 125;
    private static final int HEALTHY_TIMEOUT_MS = 350;
    private static final int SUPERSEDED_TIMEOUT_MS = 300;
    private static final int MIN_VIEW_AGE_MS = 100;
    private static final int ANNOUNCE_EVERY_HEARTBEATS = 10;
    private static final int ANNOUNCE_DURATION_MS = 30_000;
    private static final int MAX_RECENT_PROPOSALS = 1024;

    private static final class FollowerProgress {
        final Member member;
        long durableIndex;
        long nextIndex;
        long lastHeardAtMs;
        long progressAtMs = -1;
        long disconnectedAtMs = Long.MIN_VALUE / 2;
        long supersededSinceMs = -1;
        long resentAtMs = -1;
        boolean diskUnhealthy;

        FollowerProgress(Member member, long end, long now) {
            this.member = member;
            durableIndex = end;
            nextIndex = end + 1;
            lastHeardAtMs = now;
        }
    }

    /** A proposal already given a place in this view. */
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

    LeaderState(ReplicaState state) {
        this.state = state;
        this.view = state.view;
        ownDurableIndex = state.log.lastIndex();
        activeSinceMs = state.nowMs;
        for (Member member : view.members()) {
            if (member.incarnation() != state.self.incarnation()) {
                followers.put(member.incarnation(), new FollowerProgress(member, ownDurableIndex, state.nowMs));
            }
        }
        for (LogEntry entry : state.log.entries()) {
            recentProposals.add(new ProposalId(entry.origin(), entry.token()));
        }
        maybeAdvanceCommit();
        sendHeartbeats();
    }

    /** Whether more than half of the members have answered of late without having stopped. */
    boolean hasActiveQuorum() {
        int well = 1;
        for (FollowerProgress peer : followers.values()) {
            if (peer.supersededSinceMs < 0 && state.nowMs - peer.lastHeardAtMs <= HEALTHY_TIMEOUT_MS) {
                well++;
            }
        }
        return 2 * well > view.members().size() && !state.diskUnhealthy();
    }

    /** Gives a proposal a place, unless it has one; false when too much is open. */
    boolean propose(long origin, long token, byte[] bytes) {
        if (!state.isOperationalIn(view.ballot())) {
            return false;
        }
        ProposalId given = new ProposalId(origin, token);
        if (recentProposals.contains(given)) {
            return true;
        }
        // what is under way is to be kept before another leads: nothing more is begun
        if (state.draining) {
            return false;
        }
        if (state.log.lastIndex() - state.commitIndex >= MAX_UNCOMMITTED_ENTRIES
                || state.writeAheadQueue.hasOpenBytesAbove(4 << 20)) {
            return false;
        }
        recentProposals.add(given);
        if (recentProposals.size() > MAX_RECENT_PROPOSALS + MAX_UNCOMMITTED_ENTRIES) {
            recentProposals.remove(recentProposals.iterator().next());
        }
        LogEntry entry = new LogEntry(state.log.lastIndex() + 1, view.ballot(), origin, token, bytes);
        state.append(entry);
        state.writeAheadQueue.onSynced(() -> {
            if (!state.view.ballot().equals(view.ballot())) {
                return;
            }
            ownDurableIndex = Math.max(ownDurableIndex, entry.index());
            state.durableIndex = Math.max(state.durableIndex, ownDurableIndex);
            maybeAdvanceCommit();
        });
        for (FollowerProgress peer : followers.values()) {
            sendEntries(peer);
        }
        return true;
    }

    private void sendEntries(FollowerProgress peer) {
        if (peer.nextIndex > state.log.lastIndex() || peer.nextIndex - peer.durableIndex > MAX_UNCOMMITTED_ENTRIES) {
            return;
        }
        long flying = state.log.bytesBetween(peer.durableIndex, peer.nextIndex - 1);
        if (flying > MAX_IN_FLIGHT_BYTES) {
            return;
        }
        if (peer.nextIndex <= state.log.snapshotIndex()) {
            // can't be: what is compacted all members have on disk
            state.actions.log(
                    new ReplicationEvent.BehindSnapshot(peer.member.name(), peer.nextIndex, state.log.snapshotIndex()));
            return;
        }
        List<LogEntry> entries = state.log.entriesAfter(peer.nextIndex - 1, MAX_APPEND_BYTES);
        state.actions.send(
                peer.member.address(),
                new ReplicationMessage.AppendRequest(
                        view.ballot(),
                        peer.nextIndex - 1,
                        state.log.viewAt(peer.nextIndex - 1),
                        entries,
                        state.commitIndex));
        if (peer.progressAtMs < 0) {
            peer.progressAtMs = state.nowMs;
        }
        peer.nextIndex += entries.size();
    }

    void onDurable(long incarnation, long index) {
        FollowerProgress peer = followers.get(incarnation);
        if (peer == null) {
            return;
        }
        if (index > peer.durableIndex && index <= state.log.lastIndex()) {
            peer.durableIndex = index;
            peer.nextIndex = Math.max(peer.nextIndex, index + 1);
            peer.progressAtMs = index >= state.log.lastIndex() ? -1 : state.nowMs;
            maybeAdvanceCommit();
        }
        sendEntries(peer);
    }

    void onHeartbeatResponse(ReplicationMessage.HeartbeatResponse response) {
        FollowerProgress peer = followers.get(response.incarnation());
        if (peer == null) {
            return;
        }
        // who was away couldn't acknowledge: its disk is timed from its return
        if (state.nowMs - peer.lastHeardAtMs > HEALTHY_TIMEOUT_MS && peer.progressAtMs >= 0) {
            peer.progressAtMs = state.nowMs;
        }
        peer.lastHeardAtMs = state.nowMs;
        peer.diskUnhealthy = response.diskUnhealthy();
        state.highestSeenNumber =
                Math.max(state.highestSeenNumber, response.promisedBallot().number());
        if (!response.promisedBallot().isAbove(view.ballot())) {
            peer.supersededSinceMs = -1;
            onDurable(response.incarnation(), response.durableIndex());
        } else if (peer.supersededSinceMs < 0) {
            peer.supersededSinceMs = state.nowMs;
        }
        // what a broken link took with it goes again at once; and before the member is held to be slow
        long from = Math.max(peer.progressAtMs, peer.resentAtMs);
        boolean broken = peer.disconnectedAtMs >= from;
        long taken =
                broken ? 0 : state.log.bytesBetween(response.durableIndex(), peer.nextIndex - 1) / RESEND_BYTES_PER_MS;
        long patience = Math.min(RESEND_BACKOFF_MS + taken, state.settings.ackTimeoutMs() * 3L / 4);
        if (response.durableIndex() < peer.nextIndex - 1
                && state.nowMs - from > patience
                && response.durableIndex() >= state.log.snapshotIndex()) {
            peer.resentAtMs = state.nowMs;
            peer.nextIndex = Math.max(response.durableIndex(), state.log.snapshotIndex()) + 1;
            sendEntries(peer);
        }
    }

    /** Kept is what all members have on disk, when one of them is left whichever of those that may be lost are. */
    private void maybeAdvanceCommit() {
        if (!state.isOperationalIn(view.ballot()) || !state.settings.tolerance().toleratesLossWith(view.members())) {
            return;
        }
        long all = ownDurableIndex;
        for (FollowerProgress peer : followers.values()) {
            all = Math.min(all, peer.durableIndex);
        }
        if (all > state.commitIndex || state.appliedIndex < state.commitIndex) {
            state.advanceCommit(all);
        }
    }

    /**
     * Whether the view has been in force for a while, so that a planned change of it (a newcomer, a leave) doesn't
     * follow so close on the last that callers feel both as one pause.
     */
    boolean hasBeenActiveForAWhile() {
        return state.nowMs - activeSinceMs >= MIN_VIEW_AGE_MS;
    }

    void onDisconnected(String address) {
        for (FollowerProgress peer : followers.values()) {
            if (peer.member.address().equals(address)) {
                peer.disconnectedAtMs = state.nowMs;
            }
        }
    }

    /** Nobody is suspected until spans have run anew. */
    void resetTimers() {
        for (FollowerProgress peer : followers.values()) {
            peer.lastHeardAtMs = state.nowMs;
            peer.progressAtMs = peer.durableIndex < state.log.lastIndex() ? state.nowMs : -1;
            peer.disconnectedAtMs = Long.MIN_VALUE / 2;
            peer.supersededSinceMs = -1;
        }
    }

    void tick() {
        if (state.nowMs - heartbeatSentAtMs >= state.settings.heartbeatIntervalMs()) {
            sendHeartbeats();
        }
    }

    /** Tells the others soon what is kept. */
    void announceCommit() {
        if (state.commitIndex <= announcedCommitIndex) {
            return;
        }
        announcedCommitIndex = state.commitIndex;
        for (FollowerProgress peer : followers.values()) {
            state.actions.send(
                    peer.member.address(),
                    new ReplicationMessage.AppendRequest(
                            view.ballot(), state.log.lastIndex(), state.log.lastView(), List.of(), state.commitIndex));
        }
    }

    private void sendHeartbeats() {
        heartbeatSentAtMs = state.nowMs;
        if (++heartbeatSequence % ANNOUNCE_EVERY_HEARTBEATS == 0) {
            announceMembership();
        }
        for (FollowerProgress peer : followers.values()) {
            state.actions.send(
                    peer.member.address(),
                    new ReplicationMessage.HeartbeatRequest(
                            view.ballot(),
                            heartbeatSequence,
                            state.commitIndex,
                            state.viewStartIndex,
                            true,
                            state.diskUnhealthy()));
        }
    }

    /** After a change of view: who has left may be back with another disk and know nobody. */
    private void announceMembership() {
        if (state.knownAddresses.isEmpty() || state.nowMs - activeSinceMs > ANNOUNCE_DURATION_MS) {
            return;
        }
        ReplicationMessage.KnownMembers knownMembers =
                new ReplicationMessage.KnownMembers(List.copyOf(state.knownAddresses));
        for (String address : state.knownAddresses) {
            if (view.memberAt(address) == null) {
                state.actions.send(address, knownMembers);
            }
        }
    }

    /** Members not heard for too long, or stopped for too long: not waited for in a change. */
    Set<Long> silentMembers() {
        Set<Long> silent = new HashSet<>();
        for (FollowerProgress peer : followers.values()) {
            long silence = state.nowMs - peer.lastHeardAtMs;
            boolean hint = peer.disconnectedAtMs >= peer.lastHeardAtMs && silence > HEALTHY_TIMEOUT_MS;
            if (silence > state.settings.electionTimeoutMs() || hint) {
                silent.add(peer.member.incarnation());
            }
        }
        return silent;
    }

    /** Members that are there but whose disk is in the way of everything. */
    Set<Long> slowMembers() {
        Set<Long> slow = new HashSet<>();
        for (FollowerProgress peer : followers.values()) {
            boolean there = state.nowMs - peer.lastHeardAtMs <= HEALTHY_TIMEOUT_MS;
            boolean late = peer.progressAtMs >= 0 && state.nowMs - peer.progressAtMs > state.settings.ackTimeoutMs();
            if (there && (peer.diskUnhealthy || late)) {
                slow.add(peer.member.incarnation());
            }
        }
        return slow;
    }

    /** Whether a member has stopped for another's change of which nothing came. */
    boolean hasSupersededMember() {
        for (FollowerProgress peer : followers.values()) {
            if (peer.supersededSinceMs >= 0 && state.nowMs - peer.supersededSinceMs > SUPERSEDED_TIMEOUT_MS) {
                return true;
            }
        }
        return false;
    }

    List<Member> others() {
        List<Member> others = new ArrayList<>();
        for (FollowerProgress peer : followers.values()) {
            others.add(peer.member);
        }
        return others;
    }
}
