package brambletray.platform.replication;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * A member outside the view: sends join requests to all members it knows, fetches the state from the leader into
 * memory, and asks again. Nothing of the fetched state counts before a view is installed with it, so a process that
 * dies on the way leaves nothing behind.
 */
final class JoinRequester {
    private static final int RETRY_INTERVAL_MS = 250;
    /** Silence of the source after which the transfer moves to another leader. */
    private static final int SOURCE_IDLE_TIMEOUT_MS = 1000;

    private final ReplicaState state;
    private final RoleState roles;
    private final LeaderMonitor leaderMonitor;
    private List<String> seeds;
    private ReplicatedLog fetchedLog;
    private long fetchedCommitIndex;
    private StateTransferClient transfer;
    /** A transfer whose source fell silent or has nothing to offer; the next source goes on with it. */
    private StateTransferClient interrupted;

    private long requestedAtMs = Long.MIN_VALUE / 2;
    private long transferStartedAtMs = Long.MIN_VALUE / 2;

    JoinRequester(ReplicaState state, RoleState roles, LeaderMonitor leaderMonitor, List<String> seeds) {
        this.state = state;
        this.roles = roles;
        this.leaderMonitor = leaderMonitor;
        this.seeds = seeds;
    }

    /** Other addresses to ask first, from the settings. */
    void updateSeeds(List<String> newSeeds) {
        seeds = newSeeds;
    }

    /**
     * A process that has just started may have been left out while it was away: a member of the later view will say
     * so.
     */
    private boolean mayHaveBeenExcluded() {
        return state.view() != null
                && leaderMonitor.noLeaderSeenYet()
                && !state.view().isFounding();
    }

    /** The log that a patch is applied to. */
    ReplicatedLog patchBase() {
        return fetchedLog != null && roles.isOutsideView() ? fetchedLog : state.log();
    }

    void onViewAccepted() {
        fetchedLog = null;
        transfer = null;
        interrupted = null;
    }

    /** Continues a transfer, and sends join requests if this member is outside the view and they are due. */
    void tick() {
        if (transfer != null) {
            transfer.tick();
            if (transfer.failed()) {
                interruptTransfer();
            }
        }
        if (!(roles.isOutsideView() || mayHaveBeenExcluded())
                || state.diskUnhealthy()
                || state.isLeaving()
                || state.nowMs() - requestedAtMs < RETRY_INTERVAL_MS) {
            return;
        }
        sendJoinRequests(seeds);
    }

    private void interruptTransfer() {
        if (transfer.isResumable()) {
            interrupted = transfer;
        }
        transfer = null;
    }

    /** Asks at these addresses, and wherever else a member of the view may be. */
    void sendJoinRequests(List<String> addresses) {
        if (state.isLeaving()) {
            return;
        }
        requestedAtMs = state.nowMs();
        Set<String> all = new LinkedHashSet<>();
        all.addAll(addresses);
        all.addAll(state.knownAddresses());
        if (roles.successorView() != null) {
            roles.successorView().members().forEach(member -> all.add(member.address()));
        }
        all.remove(state.self().address());
        ReplicationMessage.JoinRequest joinRequest = joinRequest();
        for (String address : all) {
            state.actions().send(address, joinRequest);
        }
    }

    private ReplicationMessage.JoinRequest joinRequest() {
        ReplicatedLog log = patchBase();
        long commit = fetchedLog != null ? fetchedCommitIndex : state.commitIndex();
        return new ReplicationMessage.JoinRequest(
                state.self(),
                state.view() == null ? Ballot.NONE : state.view().ballot(),
                log.lastIndex(),
                log.lastView(),
                Math.min(commit, log.lastIndex()));
    }

    /** The active view; its leader says whether the state that was fetched is recent enough to join with. */
    void onJoinResponse(String from, ReplicationMessage.JoinResponse response) {
        if (!roles.isOutsideView()) {
            roles.onNotMember(response.view());
        }
        if (!roles.isOutsideView()) {
            return;
        }
        for (Member member : response.view().members()) {
            state.addKnownAddress(member.address());
        }
        Member leader = response.view().leader();
        // the source may be gone, and another member lead
        boolean leads = leader != null && leader.address().equals(from);
        if (leads
                && transfer != null
                && !transfer.source().equals(from)
                && transfer.idleMs() > SOURCE_IDLE_TIMEOUT_MS) {
            interruptTransfer();
        }
        if (leader == null || response.caughtUp() || transfer != null) {
            return;
        }
        if (!leader.address().equals(from)) {
            state.actions().send(leader.address(), joinRequest());
            return;
        }
        if (state.nowMs() - transferStartedAtMs < RETRY_INTERVAL_MS) {
            return;
        }
        transferStartedAtMs = state.nowMs();
        startTransfer(from);
    }

    private void startTransfer(String from) {
        if (interrupted != null) {
            transfer = interrupted;
            interrupted = null;
            transfer.resume(from, Ballot.NONE);
            return;
        }
        transfer = new StateTransferClient(state, from, patchBase(), Ballot.NONE);
        transfer.tick();
    }

    void onChunk(ReplicationMessage.FetchChunkResponse chunk) {
        if (transfer == null || !transfer.onChunk(chunk)) {
            return;
        }
        if (transfer.failed()) {
            interruptTransfer();
            return;
        }
        if (transfer.log() != null) {
            fetchedLog = transfer.log();
            fetchedCommitIndex = transfer.commitIndex();
            state.actions().log(new ReplicationEvent.TransferCompleted(transfer.source(), fetchedLog.lastIndex()));
            state.actions().send(transfer.source(), joinRequest());
        }
        transfer = null;
    }
}
