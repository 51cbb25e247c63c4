package brambletray.platform.replication;

import java.util.HashSet;
import java.util.Set;

/**
 * The last phase of a view change, at its proposer: sends view and log to all other members until each has both on
 * disk, then accepts them locally. Members that lack more than fits into a message fetch the log in chunks
 * ({@link #logForTransfer}). It ends with the view installed at all members ({@link ViewChange#onInstalledByAll}), or
 * with another view change without the members that did not respond in time.
 */
final class ViewInstallation {
    private static final int RETRY_INTERVAL_MS = 200;
    /**
     * Time without a chunk request after which the view change stops waiting for a member that fetches the log: longer
     * than its disk may take after the last chunk.
     */
    private static final int CHUNK_SERVED_TIMEOUT_MS = 2000;

    private final ReplicaState state;
    private final RoleState roles;
    private final ViewChange viewChange;
    private final PrepareResponses responses;
    private final View nextView;
    private final ReplicatedLog nextLog;
    private final Set<Long> installedBy = new HashSet<>();
    private final long startedAtMs;
    private long sentAtMs;
    private long chunkServedAtMs = Long.MIN_VALUE / 2;

    /**
     * Creates an installation; {@link #start} sends the first requests.
     *
     * @param responses  the prepare responses that the view is based on
     * @param nextLog the longest log among these responses
     */
    ViewInstallation(
            ReplicaState state,
            RoleState roles,
            ViewChange viewChange,
            PrepareResponses responses,
            View nextView,
            ReplicatedLog nextLog) {
        this.state = state;
        this.roles = roles;
        this.viewChange = viewChange;
        this.responses = responses;
        this.nextView = nextView;
        this.nextLog = nextLog;
        startedAtMs = state.nowMs();
    }

    View nextView() {
        return nextView;
    }

    /** Sends the first requests; the only member of a view accepts it immediately. */
    void start() {
        sendInstallRequests();
        if (nextView.members().size() == 1) {
            acceptLocally();
        }
    }

    /**
     * Accepts the view here once all others have it on disk. The proposer is the last to write it: the view cannot be
     * active before, so a failed view change has no active view.
     */
    private void acceptLocally() {
        if (state.view().ballot().equals(nextView.ballot())) {
            return;
        }
        if (!state.acceptView(nextView, nextLog)) {
            roles.abandonViewChange(
                    "the log lacks committed entries", state.settings().electionTimeoutMs());
            return;
        }
        roles.onOwnViewAccepted();
        state.writeAheadQueue().onSynced(() -> {
            if (roles.viewChange() == viewChange && state.isOperationalIn(nextView.ballot())) {
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
            LogPatch patch = patchFor(member.incarnation());
            ReplicationMessage message = patch.fitsInline()
                    ? new ReplicationMessage.InstallViewRequest(nextView, patch)
                    : new ReplicationMessage.InstallViewOffer(nextView, nextLog.lastIndex(), nextLog.lastView());
            state.actions().send(member.address(), message);
        }
    }

    /** The patch for this member's log, as described by its prepare response or its join request. */
    private LogPatch patchFor(long incarnation) {
        ReplicationMessage.PrepareResponse response = responses.fromIncarnation(incarnation);
        if (response != null) {
            return nextLog.patchFor(response.lastIndex(), response.lastView(), response.commitIndex());
        }
        ReplicationMessage.JoinRequest joinRequest =
                viewChange.plan().newcomers().get(incarnation);
        return nextLog.patchFor(joinRequest.lastIndex(), joinRequest.lastView(), joinRequest.commitIndex());
    }

    /** The log being installed, for a member that fetches it in chunks; null if another view is requested. */
    ReplicatedLog logForTransfer(Ballot view) {
        if (!nextView.ballot().equals(view)) {
            return null;
        }
        chunkServedAtMs = state.nowMs();
        return nextLog;
    }

    void onInstalled(long incarnation) {
        if (!nextView.contains(incarnation) || !installedBy.add(incarnation)) {
            return;
        }
        if (installedBy.size() == nextView.members().size() - 1
                && !installedBy.contains(state.self().incarnation())) {
            acceptLocally();
        }
        if (installedBy.size() == nextView.members().size()) {
            viewChange.onInstalledByAll();
        }
    }

    void onPatchMismatch(long incarnation) {
        if (nextView.contains(incarnation)) {
            roles.restartViewChange(
                    Set.of(incarnation), "patch does not match the log of " + Long.toHexString(incarnation));
        }
    }

    void tick() {
        boolean timedOut = state.nowMs() - startedAtMs > state.settings().installTimeoutMs();
        if (timedOut && (canExcludeAbsent() || state.nowMs() - chunkServedAtMs > CHUNK_SERVED_TIMEOUT_MS)) {
            roles.restartViewChange(absentMembers(), "not installed by all in time");
        } else if (state.nowMs() - sentAtMs >= RETRY_INTERVAL_MS) {
            sendInstallRequests();
        }
    }

    /** Whether a view without the members that have not installed it yet would be sufficient. */
    private boolean canExcludeAbsent() {
        Set<Long> absent = absentMembers();
        Set<Long> excluded = new HashSet<>(viewChange.plan().excluded());
        excluded.addAll(absent);
        return responses.nextMembers(excluded, state.settings().tolerance()).stream()
                .noneMatch(member -> absent.contains(member.incarnation()));
    }

    /** Other members that have not installed the view yet; empty if only this member's own disk is slow. */
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
