package brambletray.platform.replication;

import java.util.HashSet;
import java.util.Set;

/**
 * The last phase of a view change, at its proposer: sends view and log to all other members until each has both on
 * disk, then accepts them itself. Members whose log lacks more than a message may hold fetch it in chunks
 * ({@link #logForTransfer}). It ends with the view installed at all ({@link ViewChange#onInstalledByAll}), or with
 * another view change without those that did not answer in time.
 */
final class ViewInstallation {
    private static final int RETRY_INTERVAL_MS = 200;
    /**
     * Silence after which the view change does not wait for a member that fetches the log: longer than its disk may
     * take for the last chunk.
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

    /** {@code chosen}: the responses that the view was made from; {@code nextLog}: the longest log of theirs. */
    ViewInstallation(
            ReplicaState state,
            RoleState roles,
            ViewChange viewChange,
            PrepareResponses chosen,
            View nextView,
            ReplicatedLog nextLog) {
        this.state = state;
        this.roles = roles;
        this.viewChange = viewChange;
        this.responses = chosen;
        this.nextView = nextView;
        this.nextLog = nextLog;
        startedAtMs = state.nowMs();
    }

    View nextView() {
        return nextView;
    }

    /** Sends the first requests; a member alone accepts the view at once. */
    void start() {
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
            ReplicationMessage frame = patch.fitsInline()
                    ? new ReplicationMessage.InstallViewRequest(nextView, patch)
                    : new ReplicationMessage.InstallViewOffer(nextView, nextLog.lastIndex(), nextLog.lastView());
            state.actions().send(member.address(), frame);
        }
    }

    /** What the log of this member lacks, by its answer to the prepare request, or by its join request. */
    private LogPatch patchFor(long incarnation) {
        ReplicationMessage.PrepareResponse response = responses.fromIncarnation(incarnation);
        if (response != null) {
            return nextLog.patchFor(response.lastIndex(), response.lastView(), response.commitIndex());
        }
        ReplicationMessage.JoinRequest joinRequest =
                viewChange.plan().newcomers().get(incarnation);
        return nextLog.patchFor(joinRequest.lastIndex(), joinRequest.lastView(), joinRequest.commitIndex());
    }

    /** The log that is being installed, for a member that fetches it in chunks; null if it is of another view. */
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
            roles.restartViewChange(Set.of(incarnation), "patch of " + Long.toHexString(incarnation) + " doesn't fit");
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

    /** Whether the view may be installed without those that do not have it yet. */
    private boolean canExcludeAbsent() {
        Set<Long> absent = absentMembers();
        Set<Long> excluded = new HashSet<>(viewChange.plan().excluded());
        excluded.addAll(absent);
        return responses.nextMembers(excluded, state.settings().tolerance()).stream()
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
