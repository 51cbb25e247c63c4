package brambletray.platform.election;

import brambletray.platform.replication.Member;

/**
 * What the parts of one election share: who this member is, the view it is in, what it has granted, and its own
 * attempt, which is a candidacy until it is won and the held lease from then on. One thread only.
 */
final class ElectionState {
    private final String role;
    private final Member self;
    private final LeaseTimings timings;
    private final ElectionActions actions;
    private final LeaseVoter voter;
    private final ElectionView view = new ElectionView();
    private LeaseAttempt attempt;
    private long noCandidacyBeforeMs = Long.MIN_VALUE / 2;
    private long lastTickAtMs;
    private long nowMs;

    ElectionState(String role, Member self, byte[] stored, LeaseTimings timings, ElectionActions actions, long nowMs) {
        this.role = role;
        this.self = self;
        this.timings = timings;
        this.actions = actions;
        this.nowMs = nowMs;
        lastTickAtMs = nowMs;
        voter = new LeaseVoter(role, stored, actions, timings, nowMs);
    }

    /** Name of the role that the lease is on. */
    String role() {
        return role;
    }

    Member self() {
        return self;
    }

    LeaseTimings timings() {
        return timings;
    }

    ElectionActions actions() {
        return actions;
    }

    LeaseVoter voter() {
        return voter;
    }

    ElectionView view() {
        return view;
    }

    /** Steady clock, ms. */
    long nowMs() {
        return nowMs;
    }

    /** Steady ms of the last tick, or of the end of the last pause of this process. */
    long lastTickAtMs() {
        return lastTickAtMs;
    }

    void onTick() {
        lastTickAtMs = nowMs;
    }

    /** Whether the tick is so late that this process was paused; its time-outs start anew then. */
    boolean advanceTo(long timeMs) {
        nowMs = Math.max(nowMs, timeMs);
        boolean paused = nowMs - lastTickAtMs > timings.maxTickDelayMs();
        if (paused) {
            lastTickAtMs = nowMs;
        }
        return paused;
    }

    /** This member's candidacy or held lease; null if it has neither. */
    LeaseAttempt attempt() {
        return attempt;
    }

    boolean isCandidate() {
        return attempt != null && !attempt.isWon();
    }

    boolean isHolder() {
        return attempt != null && attempt.isWon();
    }

    void startAttempt(LeaseAttempt next) {
        attempt = next;
    }

    void endAttempt() {
        attempt = null;
    }

    /** Drops a candidacy; a held lease stays. */
    void endCandidacy() {
        if (isCandidate()) {
            attempt = null;
        }
    }

    /** No candidacy of this member before this time, whatever was said before; steady ms. */
    void setNoCandidacyBefore(long timeMs) {
        noCandidacyBeforeMs = timeMs;
    }

    boolean mayStartCandidacy() {
        return nowMs >= noCandidacyBeforeMs;
    }

    void sendToOthers(ElectionMessage message) {
        for (Member member : view.members()) {
            if (member.incarnation() != self.incarnation()) {
                actions.send(member.address(), message);
            }
        }
    }
}
