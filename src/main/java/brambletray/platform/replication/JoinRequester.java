package brambletray.platform.replication;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * A member outside the view: sends join requests to all members it knows, fetches the state from the leader into
 * memory, and asks again. The fetched state is not used before a view is installed with it, so a process that is killed
 * during the transfer leaves no partial state behind.
 */
final class JoinRequester {
    private static final int RETRY_INTERVAL_MS = 250;
    /** Time without chunks from the source after which the transfer moves to another leader. */
    private static final int SOURCE_IDLE_TIMEOUT_MS = 1000;

    private final ReplicaState state;
    private final RoleState roles;
    private final LeaderMonitor leaderMonitor;
    private List<String> seeds;
    private ReplicatedLog fetchedLog;
    private long fetchedCommitIndex;
    private StateTransferClient transfer;
    /** A transfer whose source stopped responding or has nothing to offer; it is resumed from the next source. */
    private StateTransferClient interrupted;

    private long requestedAtMs = Long.MIN_VALUE / 2;
    private long transferStartedAtMs = Long.MIN_VALUE / 2;

    JoinRequester(ReplicaState state, RoleState roles, LeaderMonitor leaderMonitor, List<String> seeds) {
        this.state = state;
        this.roles = roles;
        this.leaderMonitor = leaderMonitor;
        this.seeds = seeds;
    }

    /** Replaces the addresses that are asked first, after the settings have changed. */
    void updateSeeds(List<String> newSeeds) {
        seeds = newSeeds;
    }

    /**
     * Whether this process may have been excluded while it was down: true after a start until a leader is heard. A
     * member of the later view answers its join request with that view.
     */
    private boolean mayHaveBeenExcluded() {
        return state.view() != null
                && leaderMonitor.noLeaderSeenYet()
                && !state.view().isFounding();
    }

    /** The log that patches are applied to. */
    ReplicatedLog patchBase() {
        return fetchedLog != null && roles.isOutsideView() ? fetchedLog : state.log();
    }

    void onViewAccepted() {
        fetchedLog = null;
        transfer = null;
        interrupted = null;
    }

    /**
     * Drives the transfer, and sends join requests if this member is outside the view and the retry interval is over.
     */
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

    /** Sends join requests to these addresses and to all other addresses where a member of the view may be. */
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
        long commitIndex = fetchedLog != null ? fetchedCommitIndex : state.commitIndex();
        return new ReplicationMessage.JoinRequest(
                state.self(),
                state.view() == null ? Ballot.NONE : state.view().ballot(),
                log.lastIndex(),
                log.lastView(),
                Math.min(commitIndex, log.lastIndex()));
    }

    /** Handles the active view. The leader's response also says whether the fetched state is recent enough to join. */
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
        // the source of the transfer may be down, with another member leading now
        boolean fromLeader = leader != null && leader.address().equals(from);
        if (fromLeader
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
