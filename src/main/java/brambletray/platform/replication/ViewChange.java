package brambletray.platform.replication;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * One view change, at the member that proposes it. Phases: prepare (ask the members of the last views to promise the
 * ballot and answer with their state), promise it itself, fetch the longest log, install view and log at all members.
 * It ends with an active view that this member leads, or is given up for a higher ballot. A view change that is still
 * preparing leaves no trace; after that this member has promised its own ballot.
 */
final class ViewChange {
    private static final int RETRY_INTERVAL_MS = 100;
    /** Fetching goes on while chunks come, but not longer than this: enough for 7 MB on a link of 2 Mbit/s. */
    private static final int FETCH_TIMEOUT_MS = 30_000;
    /**
     * Silence after which the view change does not wait for a member that fetches the log: longer than its disk may
     * take for the last chunk.
     */
    private static final int CHUNK_SERVED_TIMEOUT_MS = 2000;

    private static final int MAX_PREDECESSORS = 64;

    private enum Phase {
        PREPARING,
        PROMISING,
        FETCHING,
        INSTALLING
    }

    private final ReplicaState state;
    private final Replica replica;
    private final Ballot ballot;
    private final ViewChangePlan plan;
    private final Map<String, Member> contacted = new LinkedHashMap<>();
    private final Map<Long, ReplicationMessage.PrepareResponse> responses = new LinkedHashMap<>();
    private final Set<Long> rejectedBy = new HashSet<>();
    private final Set<Long> installedBy = new HashSet<>();
    private final long startedAtMs;
    private Phase phase = Phase.PREPARING;
    private long quorumAtMs = -1;
    private long sentAtMs;
    private long phaseSinceMs;
    private long chunkServedAtMs = Long.MIN_VALUE / 2;
    private StateTransferClient transfer;
    private View nextView;
    private PrepareResponses chosen;
    private ReplicatedLog nextLog;

    /** Sends the first prepare requests; {@code reason}: for the log. */
    ViewChange(ReplicaState state, Replica replica, ViewChangePlan plan, String reason) {
        this.state = state;
        this.replica = replica;
        this.plan = plan;
        this.startedAtMs = state.nowMs();
        ballot = state.ballots().next(state.view(), state.self().incarnation());
        state.actions()
                .log(new ReplicationEvent.ViewChangeStarted(
                        ballot,
                        state.view().ballot(),
                        reason,
                        plan.newcomers().size(),
                        state.log().lastIndex()));
        contactMembersOf(state.view());
        sendPrepareRequests();
        maybePromise();
    }

    Ballot ballot() {
        return ballot;
    }

    /** Whether it may still be dropped without a trace: the ballot was not promised by this member itself. */
    boolean isPreparing() {
        return phase == Phase.PREPARING;
    }

    private void contactMembersOf(View view) {
        for (ViewMembership membership : view.viewsToConsult(view == state.view() && state.isActive())) {
            for (Member member : membership.members()) {
                if (!member.address().equals(state.self().address())) {
                    contacted.putIfAbsent(member.address(), member);
                }
            }
        }
    }

    private void sendPrepareRequests() {
        sentAtMs = state.nowMs();
        PrepareResponses now = allResponses();
        for (String address : contacted.keySet()) {
            if (!now.hasAnswerFrom(address)) {
                state.actions()
                        .send(
                                address,
                                new ReplicationMessage.PrepareRequest(
                                        ballot, state.self(), List.copyOf(state.retiredIncarnations())));
            }
        }
    }

    void onPrepareResponse(ReplicationMessage.PrepareResponse response) {
        boolean open = phase == Phase.PREPARING || phase == Phase.PROMISING;
        if (!open
                || !response.ballot().equals(ballot)
                || response.responder().incarnation() == state.self().incarnation()) {
            return;
        }
        if (responses.put(response.responder().incarnation(), response) == null) {
            state.actions()
                    .log(new ReplicationEvent.PrepareAnswered(
                            ballot,
                            response.responder().name(),
                            response.view().ballot(),
                            response.active(),
                            response.lastIndex(),
                            response.diskUnhealthy()));
        }
        int before = contacted.size();
        contactMembersOf(response.view());
        if (state.retire(response.retiredIncarnations()) || contacted.size() > before) {
            sendPrepareRequests();
        }
        maybePromise();
    }

    void onBallotRejected(ReplicationMessage.BallotRejected rejection, String from) {
        if (!rejection.ballot().equals(ballot)) {
            return;
        }
        state.ballots().observe(rejection.promisedBallot().number());
        if (rejection.promisedBallot().isAbove(ballot)
                || rejection.promisedBallot().number() >= ballot.number() && !rejection.leaderIsHealthy()) {
            replica.abandonViewChange(
                    "promised " + rejection.promisedBallot(),
                    (long) (1 + replica.rank()) * state.settings().rankDelayMs());
        } else if (rejection.leaderIsHealthy()) {
            Member member = contacted.get(from);
            if (member != null) {
                rejectedBy.add(member.incarnation());
            }
            if (phase == Phase.PREPARING
                    && 2 * rejectedBy.size() >= state.view().members().size()) {
                replica.abandonViewChange("the leader is well", state.settings().electionTimeoutMs());
            }
        }
    }

    /** The responses, with what this member would answer itself. */
    private PrepareResponses allResponses() {
        List<ReplicationMessage.PrepareResponse> all = new ArrayList<>();
        all.add(state.prepareResponse(ballot));
        all.addAll(responses.values());
        return new PrepareResponses(all);
    }

    /** Promises the ballot once a quorum has answered and the others have been waited for. */
    private void maybePromise() {
        PrepareResponses now = allResponses();
        if (!now.hasQuorum()) {
            quorumAtMs = -1;
            return;
        }
        if (quorumAtMs < 0) {
            quorumAtMs = state.nowMs();
        }
        if (phase == Phase.PROMISING) {
            return;
        }
        int wait = now.latestView.isFounding()
                ? state.settings().foundingGraceMs()
                : replica.noLeaderSeenYet()
                        ? 3 * state.settings().prepareGraceMs()
                        : state.settings().prepareGraceMs();
        if (state.nowMs() - quorumAtMs < wait && isWaitingForResponses(now)) {
            return;
        }
        phase = Phase.PROMISING;
        phaseSinceMs = state.nowMs();
        replica.stopLeading();
        state.promise(ballot);
        state.writeAheadQueue().onSynced(() -> {
            if (replica.viewChange() == this && state.promisedBallot().equals(ballot)) {
                chooseLog();
            }
        });
    }

    private boolean isWaitingForResponses(PrepareResponses now) {
        for (Member member : contacted.values()) {
            if (!now.hasAnswerFrom(member.address())
                    && !plan.suspected().contains(member.incarnation())
                    && !state.retiredIncarnations().contains(member.incarnation())) {
                return true;
            }
        }
        return false;
    }

    /**
     * The ballot is promised: the responses until now are final, as all who sent them have stopped; later ones do not
     * count.
     */
    private void chooseLog() {
        chosen = allResponses();
        if (!chosen.hasQuorum()) {
            phase = Phase.PREPARING;
            return;
        }
        ReplicationMessage.PrepareResponse longest = chosen.longestLog();
        phaseSinceMs = state.nowMs();
        if (longest.responder().incarnation() == state.self().incarnation()) {
            install(state.log());
            return;
        }
        phase = Phase.FETCHING;
        transfer = new StateTransferClient(state, longest.responder().address(), state.log(), Ballot.NONE);
        transfer.tick();
    }

    void onChunk(ReplicationMessage.FetchChunkResponse chunk) {
        if (phase != Phase.FETCHING || !transfer.onChunk(chunk)) {
            return;
        }
        ReplicatedLog fetched = transfer.log();
        ReplicationMessage.PrepareResponse longest = chosen.longestLog();
        // the member may have promised a higher ballot since, and have another log with it
        boolean response = fetched != null
                && fetched.lastIndex() == longest.lastIndex()
                && fetched.lastView().equals(longest.lastView());
        if (response) {
            install(fetched);
        } else {
            replica.abandonViewChange("log can't be fetched", state.settings().rankDelayMs());
        }
    }

    private void install(ReplicatedLog log) {
        List<Member> in = chosen.nextMembers(plan.excluded(), state.settings().tolerance());
        for (ReplicationMessage.JoinRequest joinRequest : plan.newcomers().values()) {
            boolean free = in.stream()
                    .noneMatch(member ->
                            member.address().equals(joinRequest.requester().address()));
            // a newcomer that has fallen behind since its request fetches the rest outside of the view change, and
            // asks again
            boolean near = log.patchFor(joinRequest.lastIndex(), joinRequest.lastView(), joinRequest.commitIndex())
                    .fitsInline();
            if (free
                    && near
                    && in.size() < ReplicationSettings.MAX_MEMBERS
                    && !state.retiredIncarnations()
                            .contains(joinRequest.requester().incarnation())) {
                in.add(joinRequest.requester());
            }
        }
        List<ViewMembership> past = chosen.viewsToConsult();
        if (past.size() > MAX_PREDECESSORS) {
            replica.abandonViewChange(
                    "too many unfinished views", state.settings().electionTimeoutMs());
            return;
        }
        phase = Phase.INSTALLING;
        nextLog = log;
        nextView = new View(ballot, List.copyOf(in), List.copyOf(past));
        phaseSinceMs = state.nowMs();
        state.actions()
                .log(new ReplicationEvent.ViewProposed(
                        ballot, ReplicaState.names(in), log.lastIndex(), chosen.latestView.ballot()));
        sendInstallRequests();
        if (nextView.members().size() == 1) {
            acceptLocally();
        }
    }

    /**
     * All others have the view on disk. This member comes last: before that the view cannot be active, and a view
     * change that fails binds nobody to it.
     */
    private void acceptLocally() {
        if (state.view().ballot().equals(ballot)) {
            return;
        }
        if (!state.acceptView(nextView, nextLog)) {
            replica.abandonViewChange(
                    "the log lacks committed entries", state.settings().electionTimeoutMs());
            return;
        }
        replica.onViewAccepted();
        state.writeAheadQueue().onSynced(() -> {
            if (replica.viewChange() == this && state.isOperationalIn(ballot)) {
                onInstalled(state.self().incarnation());
            }
        });
    }

    private void sendInstallRequests() {
        sentAtMs = state.nowMs();
        for (Member member : nextView.members()) {
            if (member.incarnation() == state.self().incarnation() || installedBy.contains(member.incarnation())) {
                continue;
            }
            ReplicationMessage.PrepareResponse response = chosen.fromIncarnation(member.incarnation());
            ReplicationMessage.JoinRequest joinRequest = plan.newcomers().get(member.incarnation());
            LogPatch patch = response != null
                    ? nextLog.patchFor(response.lastIndex(), response.lastView(), response.commitIndex())
                    : nextLog.patchFor(joinRequest.lastIndex(), joinRequest.lastView(), joinRequest.commitIndex());
            ReplicationMessage frame = patch.fitsInline()
                    ? new ReplicationMessage.InstallViewRequest(nextView, patch)
                    : new ReplicationMessage.InstallViewOffer(nextView, nextLog.lastIndex(), nextLog.lastView());
            state.actions().send(member.address(), frame);
        }
    }

    /**
     * The log of the view that is being installed, for a member that fetches it in chunks; null if that view is not
     * being installed.
     */
    ReplicatedLog logForTransfer(Ballot view) {
        if (phase != Phase.INSTALLING || !ballot.equals(view)) {
            return null;
        }
        chunkServedAtMs = state.nowMs();
        return nextLog;
    }

    void onInstalled(long incarnation) {
        if (phase != Phase.INSTALLING || !nextView.contains(incarnation) || !installedBy.add(incarnation)) {
            return;
        }
        if (installedBy.size() == nextView.members().size() - 1
                && !installedBy.contains(state.self().incarnation())) {
            acceptLocally();
        }
        if (installedBy.size() < nextView.members().size()) {
            return;
        }
        List<String> excludedAddresses = new ArrayList<>();
        for (Member member : contacted.values()) {
            if (nextView.memberAt(member.address()) == null) {
                excludedAddresses.add(member.address());
            }
        }
        state.actions().log(new ReplicationEvent.ViewInstalled(ballot, state.nowMs() - startedAtMs));
        replica.becomeLeader(excludedAddresses);
    }

    void onPatchMismatch(long incarnation) {
        if (phase == Phase.INSTALLING && nextView.contains(incarnation)) {
            replica.restartViewChange(
                    Set.of(incarnation), "patch of " + Long.toHexString(incarnation) + " doesn't fit");
        }
    }

    void tick() {
        switch (phase) {
            case PREPARING, PROMISING -> {
                if (state.nowMs() - sentAtMs >= RETRY_INTERVAL_MS) {
                    sendPrepareRequests();
                }
                if (phase == Phase.PREPARING) {
                    maybePromise();
                }
            }
            case FETCHING -> {
                if (transfer.failed() || state.nowMs() - phaseSinceMs > FETCH_TIMEOUT_MS) {
                    replica.abandonViewChange(
                            "log isn't fetched in time", state.settings().rankDelayMs());
                } else {
                    transfer.tick();
                }
            }
            default -> {
                if (state.nowMs() - phaseSinceMs > state.settings().installTimeoutMs()
                        && (canDoWithoutAbsent() || state.nowMs() - chunkServedAtMs > CHUNK_SERVED_TIMEOUT_MS)) {
                    replica.restartViewChange(absentMembers(), "not installed by all in time");
                } else if (state.nowMs() - sentAtMs >= 2 * RETRY_INTERVAL_MS) {
                    sendInstallRequests();
                }
            }
        }
    }

    /** Whether the view may be installed without those that do not have it yet. */
    private boolean canDoWithoutAbsent() {
        Set<Long> absent = absentMembers();
        Set<Long> excludedAddresses = new HashSet<>(plan.excluded());
        excludedAddresses.addAll(absent);
        return chosen.nextMembers(excludedAddresses, state.settings().tolerance()).stream()
                .noneMatch(member -> absent.contains(member.incarnation()));
    }

    /** Other members that do not have the view yet; none if it is this member's own disk that is slow. */
    private Set<Long> absentMembers() {
        Set<Long> absent = new HashSet<>();
        for (Member member : nextView.members()) {
            if (!installedBy.contains(member.incarnation())) {
                absent.add(member.incarnation());
            }
        }
        absent.remove(state.self().incarnation());
        return absent;
    }
}
