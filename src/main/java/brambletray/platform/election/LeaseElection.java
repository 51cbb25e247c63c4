package brambletray.platform.election;

import brambletray.platform.replication.Member;
import brambletray.platform.replication.ReplicaStatus;

/**
 * The lease on a singleton role, held by at most one member of the active view, under a term that only grows (lease:
 * Gray and Cheriton, 1989). Pure; one thread only.
 *
 * <p>Why terms only grow: a term lies in the range of the view that it was requested in, {@code number << 20} and up,
 * and a voter grants it only while that view is its own and active. Numbers of active views grow over restarts and
 * lost disks (see the replication package), so terms of different views are in order. Within one view any two
 * majorities share a member, which has the highest granted term on its disk before it answers and refuses lower and
 * equal ones; a member that loses its disk is out of that view. So nothing goes through the log for it.
 *
 * <p>Why the old holder has stopped before a new one starts: it acts for {@link LeaseTimings#holderLeaseMs} from the
 * sending of what a majority granted; each member that granted refuses others for {@link LeaseTimings#voterLeaseMs}
 * from receiving it. In one view the majorities share a member. After a view change some member of the new view had
 * granted in the old one, before it stopped: a candidate waits for the answers of all, or until that long after it
 * saw the view active.
 */
public final class LeaseElection {
    /** Bits of a term below the number of its view. */
    private static final int TERM_BITS_PER_VIEW = 20;

    private static final int RETRY_INTERVAL_MS = 150;
    private static final int NAMED_SUCCESSOR_WAIT_MS = 600;
    private static final int INITIAL_WAIT_MS = 300;

    private final String role;
    private final Member self;
    private final LeaseTimings timings;
    private final ElectionActions actions;
    private final LeaseVoter voter;
    /**
     * Number of the last view in which this incarnation held the lease before its process ended, until it has won it
     * again or has granted it to another; 0 for none. Its own lease ended with its process. Whoever won after it was
     * granted by a majority, of that view or of a later one; a view that descends from it ({@link
     * ElectionView#descendsFrom}) has a member of each such majority, which refuses until that lease is over. So once
     * all members of such a view have granted there is nothing to wait for.
     */
    private long resumableViewNumber;

    private boolean wantsLease = true;
    private final ElectionView electionView = new ElectionView();
    private LeaseAttempt attempt;
    private long highestSeenTerm;
    private long revalidateSinceMs = Long.MIN_VALUE / 2;
    private long noCandidacyBeforeMs = Long.MIN_VALUE / 2;
    private long lastTickAtMs;
    private ElectionMessage.LeaseReleased release;
    private long releaseResendUntilMs;
    private long nowMs;

    /** Starts without the lease; {@code stored}: what the disk has under {@link #key}, or null. */
    public LeaseElection(
            String role, Member self, byte[] stored, LeaseTimings timings, ElectionActions actions, long nowMs) {
        this.role = role;
        this.self = self;
        this.timings = timings;
        this.actions = actions;
        this.nowMs = nowMs;
        lastTickAtMs = nowMs;
        voter = new LeaseVoter(role, stored, actions, timings, nowMs);
        resumableViewNumber = voter.previouslyHeldInView(self.incarnation());
    }

    /** Key under which the grant of a role is stored. */
    public static String key(String role) {
        return LeaseVoter.key(role);
    }

    /** Whether this process stands for the lease; one that is about to end does not. */
    public void setWantsLease(boolean yes) {
        wantsLease = yes;
    }

    /** The present status of the replica; to be called at each change and at each tick. */
    public void updateView(ReplicaStatus status, long timeMs) {
        advanceTime(timeMs);
        if (electionView.update(status, nowMs) && attempt != null && !attempt.isWon()) {
            attempt = null;
        }
        flush();
    }

    /** To be called every 25 to 50 ms. */
    public void tick(long timeMs) {
        advanceTime(timeMs);
        lastTickAtMs = nowMs;
        if (attempt != null && attempt.isWon()) {
            maintainLease();
        } else if (attempt != null) {
            requestLease();
        } else if (electionView.isMember() && wantsLease && release == null) {
            maybeStartCandidacy();
        }
        if (release != null) {
            sendRelease();
        }
        flush();
    }

    private void advanceTime(long timeMs) {
        nowMs = Math.max(nowMs, timeMs);
        if (nowMs - lastTickAtMs <= timings.maxTickDelayMs()) {
            return;
        }
        lastTickAtMs = nowMs;
        revalidateSinceMs = nowMs;
        if (attempt != null && !attempt.isWon()) {
            attempt = null;
        }
    }

    private void sendToOthers(ElectionMessage message) {
        for (Member member : electionView.members()) {
            if (member.incarnation() != self.incarnation()) {
                actions.send(member.address(), message);
            }
        }
    }

    private void flush() {
        voter.flush(nowMs);
    }

    private void maybeStartCandidacy() {
        if (nowMs < noCandidacyBeforeMs) {
            return;
        }
        if (resumableViewNumber != 0) {
            startCandidacy(true);
            return;
        }
        if (voter.remainingMs(nowMs) > 0) {
            return;
        }
        int rank = electionView.rank(self.incarnation());
        if (rank < 0) {
            return;
        }
        long wait = (long) rank * timings.rankDelayMs();
        if (voter.namedSuccessor() != 0) {
            wait = voter.namedSuccessor() == self.incarnation() ? 0 : NAMED_SUCCESSOR_WAIT_MS + wait;
        } else if (voter.grantedTerm() == 0 && rank > 0) {
            wait += INITIAL_WAIT_MS;
        }
        long since = electionView.knowsRunningLeases(nowMs, timings.voterLeaseMs())
                ? electionView.activeSinceMs()
                : electionView.activeSinceMs() + timings.voterLeaseMs();
        if (nowMs - Math.max(voter.vacantSinceMs(), since) >= wait) {
            startCandidacy(true);
        }
    }

    private void startCandidacy(boolean probe) {
        long term = Math.max(
                        Math.max(voter.grantedTerm(), highestSeenTerm), electionView.viewNumber() << TERM_BITS_PER_VIEW)
                + 1;
        if (term >= (electionView.viewNumber() + 1) << TERM_BITS_PER_VIEW) {
            return;
        }
        attempt = new LeaseAttempt(term, probe, nowMs);
        requestLease();
    }

    private void requestLease() {
        if (!electionView.isMember() || nowMs - attempt.startedAtMs() > timings.holderLeaseMs()) {
            abandonCandidacy(RETRY_INTERVAL_MS);
            return;
        }
        if (nowMs - attempt.lastSentAtMs() < RETRY_INTERVAL_MS) {
            return;
        }
        ElectionMessage.LeaseRequest request = new ElectionMessage.LeaseRequest(
                role,
                attempt.isProbe(),
                electionView.viewNumber(),
                attempt.term(),
                attempt.nextSequence(nowMs),
                self,
                resumableViewNumber);
        sendToOthers(request);
        onLeaseRequest(null, request);
    }

    /**
     * Counts grants. A majority is enough once leases of earlier views have surely ended. Before that all members
     * must have granted, and the view must follow directly on one that was active here for as long: some member of
     * this view had then granted any lease that still runs, and would have refused.
     */
    private void maybeWin() {
        if (attempt == null || attempt.isWon()) {
            return;
        }
        long grantedAtMs = attempt.majorityGrantedAtMs(electionView.members());
        if (nowMs - grantedAtMs >= timings.holderLeaseMs()) {
            return;
        }
        boolean grantedByAll = attempt.isGrantedByAll(electionView.members());
        boolean knowsAllLeases =
                electionView.knowsRunningLeases(nowMs, timings.voterLeaseMs()) || attempt.viewDescends();
        boolean earlierLeasesMayRun = nowMs - electionView.activeSinceMs() < timings.voterLeaseMs();
        if (earlierLeasesMayRun && !(grantedByAll && knowsAllLeases)) {
            if (grantedByAll && resumableViewNumber != 0) {
                abandonResumption();
            }
            return;
        }
        if (attempt.isProbe()) {
            startCandidacy(false);
            return;
        }
        attempt.markWon();
        resumableViewNumber = 0;
        actions.log(new ElectionEvent.Won(role, attempt.term(), electionView.viewNumber()));
        actions.won(attempt.term());
        renewLease();
    }

    /**
     * All would grant, but nobody knows that this view descends from the one in which the lease was held: the usual
     * wait.
     */
    private void abandonResumption() {
        resumableViewNumber = 0;
        if (attempt.isProbe()) {
            attempt = null;
        }
    }

    private void maintainLease() {
        boolean over = nowMs - attempt.majorityGrantedAtMs(electionView.members()) >= timings.voterLeaseMs();
        if (over || (electionView.isMember() && electionView.rank(self.incarnation()) < 0)) {
            loseLease(over ? "not renewed" : "not in the view");
            return;
        }
        if (nowMs - attempt.lastSentAtMs() >= timings.renewIntervalMs()) {
            renewLease();
        }
    }

    private void renewLease() {
        if (!electionView.isMember()) {
            return;
        }
        ElectionMessage.RenewRequest request = new ElectionMessage.RenewRequest(
                role, electionView.viewNumber(), attempt.term(), attempt.nextSequence(nowMs), self);
        sendToOthers(request);
        onRenewRequest(null, request);
    }

    private void loseLease(String reason) {
        long term = attempt.term();
        attempt = null;
        noCandidacyBeforeMs = nowMs + timings.renewIntervalMs();
        actions.log(new ElectionEvent.Lost(role, term, reason));
        actions.lost(term);
    }

    /**
     * Hands the lease over, if it is held here: stops acting at once and names the successor, which stands at once.
     */
    public void handOver(long timeMs) {
        advanceTime(timeMs);
        wantsLease = false;
        if (attempt != null && attempt.isWon()) {
            release = new ElectionMessage.LeaseReleased(
                    role, attempt.term(), self.incarnation(), electionView.firstOtherThan(self.incarnation()));
            releaseResendUntilMs = nowMs + timings.holderLeaseMs();
            loseLease("handed over");
            sendRelease();
        }
        flush();
    }

    private void sendRelease() {
        voter.release(release.term(), release.holderIncarnation(), release.successorIncarnation(), nowMs);
        sendToOthers(release);
        if (nowMs >= releaseResendUntilMs) {
            release = null;
        }
    }

    /** A message from the member at this address; those about another role are ignored. */
    public void receive(String from, Object frame, long timeMs) {
        advanceTime(timeMs);
        if (frame instanceof ElectionMessage message && message.role().equals(role)) {
            dispatch(from, message);
        }
        flush();
    }

    private void dispatch(String from, ElectionMessage message) {
        if (message instanceof ElectionMessage.LeaseRequest request) {
            onLeaseRequest(from, request);
        } else if (message instanceof ElectionMessage.RenewRequest request) {
            onRenewRequest(from, request);
        } else if (message instanceof ElectionMessage.LeaseGranted granted) {
            onGranted(granted);
        } else if (message instanceof ElectionMessage.RenewGranted granted) {
            if (attempt != null && attempt.isWon() && attempt.term() == granted.term()) {
                attempt.onGranted(granted.voterIncarnation(), granted.sequence());
            }
        } else if (message instanceof ElectionMessage.LeaseDenied denied) {
            onDenied(denied);
        } else if (message instanceof ElectionMessage.LeaseReleased released) {
            onReleased(released);
        }
    }

    private void onGranted(ElectionMessage.LeaseGranted granted) {
        if (attempt == null || attempt.term() != granted.term() || attempt.isProbe() != granted.probe()) {
            return;
        }
        attempt.onGranted(granted.voterIncarnation(), granted.sequence());
        if (granted.viewDescends() && resumableViewNumber != 0) {
            attempt.markViewDescends();
        }
        maybeWin();
    }

    private void onReleased(ElectionMessage.LeaseReleased released) {
        boolean known =
                voter.release(released.term(), released.holderIncarnation(), released.successorIncarnation(), nowMs);
        if (!known || released.successorIncarnation() != self.incarnation()) {
            return;
        }
        noCandidacyBeforeMs = nowMs;
        if (attempt == null && electionView.isMember() && wantsLease) {
            maybeStartCandidacy();
        }
    }

    private void onDenied(ElectionMessage.LeaseDenied denied) {
        highestSeenTerm = Math.max(
                highestSeenTerm,
                denied.grantedTerm() >>> TERM_BITS_PER_VIEW <= electionView.viewNumber() ? denied.grantedTerm() : 0);
        if (attempt == null
                || attempt.isWon()
                || attempt.term() != denied.term()
                || !attempt.onDenied(denied.voterIncarnation(), electionView.members())) {
            return;
        }
        abandonCandidacy(Math.max(20, Math.min(denied.remainingMs(), RETRY_INTERVAL_MS)));
    }

    /** Gives up for now; those who granted need not wait for the lease to run out. */
    private void abandonCandidacy(int pauseMs) {
        if (!attempt.isProbe()) {
            ElectionMessage.LeaseReleased released =
                    new ElectionMessage.LeaseReleased(role, attempt.term(), self.incarnation(), 0);
            voter.release(attempt.term(), self.incarnation(), 0, nowMs);
            sendToOthers(released);
        }
        attempt = null;
        noCandidacyBeforeMs =
                nowMs + pauseMs + (long) Math.max(0, electionView.rank(self.incarnation())) * timings.rankDelayMs() / 2;
    }

    private void onLeaseRequest(String from, ElectionMessage.LeaseRequest request) {
        if (!electionView.isMember() || request.viewNumber() != electionView.viewNumber()) {
            return;
        }
        Member candidate = request.candidate();
        if (!voter.wouldGrant(request.term(), candidate.incarnation(), nowMs)) {
            if (from != null) {
                actions.send(
                        from,
                        new ElectionMessage.LeaseDenied(
                                role,
                                request.term(),
                                voter.grantedTerm(),
                                voter.remainingMs(nowMs),
                                self.incarnation()));
            } else if (attempt != null && !attempt.isWon()) {
                abandonCandidacy(RETRY_INTERVAL_MS);
            }
            return;
        }
        boolean better = from != null
                && attempt != null
                && attempt.isProbe()
                && electionView.rank(candidate.incarnation()) < electionView.rank(self.incarnation());
        if (better) {
            abandonCandidacy(2 * timings.rankDelayMs());
        }
        if (!request.probe() && from != null) {
            resumableViewNumber = 0;
        }
        if (request.probe()) {
            sendGrant(from, request);
        } else {
            voter.grant(request.term(), candidate, nowMs, () -> sendGrant(from, request));
        }
    }

    private void sendGrant(String from, ElectionMessage.LeaseRequest request) {
        boolean descends =
                request.previouslyHeldInView() != 0 && electionView.descendsFrom(request.previouslyHeldInView());
        ElectionMessage.LeaseGranted granted = new ElectionMessage.LeaseGranted(
                role, request.probe(), request.term(), request.sequence(), self.incarnation(), descends);
        if (from != null) {
            actions.send(from, granted);
        } else {
            dispatch(null, granted);
        }
    }

    private void onRenewRequest(String from, ElectionMessage.RenewRequest request) {
        if (!electionView.isMember() || request.viewNumber() != electionView.viewNumber()) {
            return;
        }
        ElectionMessage.RenewGranted granted =
                new ElectionMessage.RenewGranted(role, request.term(), request.sequence(), self.incarnation());
        boolean yes = voter.renew(request.viewNumber(), request.term(), request.holder(), nowMs, () -> {
            if (from != null) {
                actions.send(from, granted);
            } else {
                dispatch(null, granted);
            }
        });
        if (yes && from != null) {
            resumableViewNumber = 0;
        }
        if (!yes && from != null) {
            actions.send(
                    from,
                    new ElectionMessage.LeaseDenied(role, request.term(), voter.grantedTerm(), 0, self.incarnation()));
        }
    }

    /** The grant of this ticket is on disk. */
    public void synced(long ticket, long timeMs) {
        advanceTime(timeMs);
        voter.synced(ticket);
        flush();
    }

    /** It could not be written; it is tried again. */
    public void syncFailed(long ticket, long timeMs) {
        advanceTime(timeMs);
        voter.syncFailed(ticket, nowMs);
        flush();
    }

    /** Whether this process may act under its term at this moment: to be asked right before each act. */
    public boolean mayAct(long timeMs) {
        if (attempt == null || !attempt.isWon() || timeMs - lastTickAtMs > timings.maxTickDelayMs()) {
            return false;
        }
        long grantedAtMs = attempt.majorityGrantedAtMs(electionView.members());
        return grantedAtMs >= revalidateSinceMs && timeMs - grantedAtMs < timings.holderLeaseMs();
    }

    /**
     * Something outside the core has seen this term, or rejected the one that is held here (fencing token). A lower
     * one may act again only once a majority has renewed it: a holder that was succeeded is never renewed, and a
     * false report costs one round.
     */
    public void revalidate(long seenTerm, long timeMs) {
        advanceTime(timeMs);
        if (attempt != null && attempt.isWon() && seenTerm > attempt.term()) {
            actions.log(new ElectionEvent.Revalidating(role, attempt.term(), seenTerm));
            revalidateSinceMs = nowMs;
            renewLease();
        }
        flush();
    }

    /** The holder as far as known here, or null. Itself only while it may act: its own grant alone is no lease. */
    public LeaseHolder holder(long timeMs) {
        if (attempt != null && attempt.isWon()) {
            return mayAct(timeMs) ? new LeaseHolder(attempt.term(), self) : null;
        }
        LeaseHolder other = voter.holder(timeMs);
        return other == null || other.member().incarnation() == self.incarnation() ? null : other;
    }
}
