package brambletray.platform.replication;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * One view change, at the member that proposes it. Phases: prepare (ask the members of the last views to promise the
 * ballot and answer with their state), promise it itself, fetch the longest log, install view and log at all members.
 * It ends with an active view that this member leads, or is given up for a higher ballot. A view change that is still
 * preparing leaves no trace; after that this member has promised its own ballot.
 */
final class ViewChange {
    /** Fetching goes on while chunks come, but not longer than this: enough for 7 MB on a link of 2 Mbit/s. */
    private static final int FETCH_TIMEOUT_MS = 30_000;

    private static final int MAX_PREDECESSORS = 64;
    /** A member that has not heard any leader since its start waits so many times longer for the others. */
    private static final int STARTUP_GRACE_FACTOR = 3;

    private enum Phase {
        PREPARING,
        PROMISING,
        FETCHING,
        INSTALLING
    }

    private final ReplicaState state;
    private final RoleState roles;
    private final LeaderMonitor leaderMonitor;
    private final Ballot ballot;
    private final ViewChangePlan plan;
    private final PrepareRound prepareRound;
    private final Set<Long> rejectedBy = new HashSet<>();
    private final long startedAtMs;
    private Phase phase = Phase.PREPARING;
    private long quorumAtMs = -1;
    private long phaseSinceMs;
    private StateTransferClient transfer;
    private PrepareResponses finalResponses;
    /** Set in the phase {@link Phase#INSTALLING} only. */
    private ViewInstallation installation;

    /** Sends the first prepare requests; {@code reason}: for the log. */
    ViewChange(ReplicaState state, RoleState roles, LeaderMonitor leaderMonitor, ViewChangePlan plan, String reason) {
        this.state = state;
        this.roles = roles;
        this.leaderMonitor = leaderMonitor;
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
        prepareRound = new PrepareRound(state, ballot);
        prepareRound.contactMembersOf(state.view());
        prepareRound.sendRequests();
        maybePromise();
    }

    Ballot ballot() {
        return ballot;
    }

    ViewChangePlan plan() {
        return plan;
    }

    /** Whether it may still be dropped without a trace: the ballot was not promised by this member itself. */
    boolean isPreparing() {
        return phase == Phase.PREPARING;
    }

    void onPrepareResponse(ReplicationMessage.PrepareResponse response) {
        boolean open = phase == Phase.PREPARING || phase == Phase.PROMISING;
        if (!open
                || !response.ballot().equals(ballot)
                || response.responder().incarnation() == state.self().incarnation()) {
            return;
        }
        prepareRound.onResponse(response);
        maybePromise();
    }

    void onBallotRejected(ReplicationMessage.BallotRejected rejection, String from) {
        if (!rejection.ballot().equals(ballot)) {
            return;
        }
        state.ballots().observe(rejection.promisedBallot().number());
        if (rejection.promisedBallot().isAbove(ballot)
                || rejection.promisedBallot().number() >= ballot.number() && !rejection.leaderIsHealthy()) {
            roles.abandonViewChange(
                    "promised " + rejection.promisedBallot(),
                    (long) (1 + leaderMonitor.rank()) * state.settings().rankDelayMs());
        } else if (rejection.leaderIsHealthy()) {
            Member member = prepareRound.contactedAt(from);
            if (member != null) {
                rejectedBy.add(member.incarnation());
            }
            if (phase == Phase.PREPARING
                    && 2 * rejectedBy.size() >= state.view().members().size()) {
                roles.abandonViewChange(
                        "the leader is healthy", state.settings().electionTimeoutMs());
            }
        }
    }

    /** Promises the ballot once a quorum has answered and the others have been waited for. */
    private void maybePromise() {
        PrepareResponses answered = prepareRound.responses();
        if (!answered.hasQuorum()) {
            quorumAtMs = -1;
            return;
        }
        if (quorumAtMs < 0) {
            quorumAtMs = state.nowMs();
        }
        if (phase == Phase.PROMISING) {
            return;
        }
        if (state.nowMs() - quorumAtMs < graceMs(answered) && prepareRound.isWaitingFor(answered, plan.suspected())) {
            return;
        }
        phase = Phase.PROMISING;
        phaseSinceMs = state.nowMs();
        roles.stopLeading();
        state.promise(ballot);
        state.writeAheadQueue().onSynced(() -> {
            if (roles.viewChange() == this && state.promisedBallot().equals(ballot)) {
                chooseLog();
            }
        });
    }

    /** ms that members beyond the quorum have to answer; longer where many may be starting at the same time. */
    private int graceMs(PrepareResponses answered) {
        if (answered.latestView.isFounding()) {
            return state.settings().foundingGraceMs();
        }
        int graceMs = state.settings().prepareGraceMs();
        return leaderMonitor.noLeaderSeenYet() ? STARTUP_GRACE_FACTOR * graceMs : graceMs;
    }

    /**
     * The ballot is promised: the responses until now are final, as all who sent them have stopped; later ones do not
     * count.
     */
    private void chooseLog() {
        finalResponses = prepareRound.responses();
        if (!finalResponses.hasQuorum()) {
            phase = Phase.PREPARING;
            return;
        }
        ReplicationMessage.PrepareResponse longest = finalResponses.longestLog();
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
        ReplicationMessage.PrepareResponse longest = finalResponses.longestLog();
        // the member may have promised a higher ballot since, and have another log with it
        boolean asAnswered = fetched != null
                && fetched.lastIndex() == longest.lastIndex()
                && fetched.lastView().equals(longest.lastView());
        if (asAnswered) {
            install(fetched);
        } else {
            roles.abandonViewChange("log can't be fetched", state.settings().rankDelayMs());
        }
    }

    private void install(ReplicatedLog log) {
        List<ViewMembership> past = finalResponses.viewsToConsult();
        List<Member> members = nextMembers(log);
        if (past.size() > MAX_PREDECESSORS) {
            roles.abandonViewChange(
                    "too many unfinished views", state.settings().electionTimeoutMs());
            return;
        }
        phase = Phase.INSTALLING;
        View nextView = new View(ballot, List.copyOf(members), List.copyOf(past));
        state.actions()
                .log(new ReplicationEvent.ViewProposed(
                        ballot, ReplicaState.names(members), log.lastIndex(), finalResponses.latestView.ballot()));
        installation = new ViewInstallation(state, roles, this, finalResponses, nextView, log);
        installation.start();
    }

    /** Those of the last views that answered and are not excluded, and the newcomers that can join now. */
    private List<Member> nextMembers(ReplicatedLog log) {
        List<Member> members =
                finalResponses.nextMembers(plan.excluded(), state.settings().tolerance());
        for (ReplicationMessage.JoinRequest joinRequest : plan.newcomers().values()) {
            if (members.size() < ReplicationSettings.MAX_MEMBERS && canJoin(joinRequest, members, log)) {
                members.add(joinRequest.requester());
            }
        }
        return members;
    }

    /**
     * A newcomer that has fallen behind since its request fetches the rest outside of the view change, and asks again.
     */
    private boolean canJoin(ReplicationMessage.JoinRequest joinRequest, List<Member> members, ReplicatedLog log) {
        Member newcomer = joinRequest.requester();
        boolean addressIsFree =
                members.stream().noneMatch(member -> member.address().equals(newcomer.address()));
        boolean caughtUp = log.patchFor(joinRequest.lastIndex(), joinRequest.lastView(), joinRequest.commitIndex())
                .fitsInline();
        return addressIsFree && caughtUp && !state.retiredIncarnations().contains(newcomer.incarnation());
    }

    /**
     * The log of the view that is being installed, for a member that fetches it in chunks; null if that view is not
     * being installed.
     */
    ReplicatedLog logForTransfer(Ballot view) {
        return installation == null ? null : installation.logForTransfer(view);
    }

    void onInstalled(long incarnation) {
        if (installation != null) {
            installation.onInstalled(incarnation);
        }
    }

    void onPatchMismatch(long incarnation) {
        if (installation != null) {
            installation.onPatchMismatch(incarnation);
        }
    }

    /** All members have the view: this one leads it. */
    void onInstalledByAll() {
        List<String> excludedAddresses = new ArrayList<>();
        for (Member member : prepareRound.contacted()) {
            if (installation.nextView().memberAt(member.address()) == null) {
                excludedAddresses.add(member.address());
            }
        }
        state.actions().log(new ReplicationEvent.ViewInstalled(ballot, state.nowMs() - startedAtMs));
        roles.becomeLeader(excludedAddresses);
    }

    void tick() {
        switch (phase) {
            case PREPARING, PROMISING -> {
                prepareRound.tick();
                if (phase == Phase.PREPARING) {
                    maybePromise();
                }
            }
            case FETCHING -> {
                if (transfer.failed() || state.nowMs() - phaseSinceMs > FETCH_TIMEOUT_MS) {
                    roles.abandonViewChange(
                            "log isn't fetched in time", state.settings().rankDelayMs());
                } else {
                    transfer.tick();
                }
            }
            default -> installation.tick();
        }
    }
}
