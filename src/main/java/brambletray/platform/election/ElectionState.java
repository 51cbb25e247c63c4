package brambletray.platform.election;

import brambletray.platform.replication.Member;

/**
 * State shared by the parts of one election: this member, its view, what it has granted as a voter, and its own
 * attempt, which is a candidacy until it is won and the held lease from then on. Not thread-safe.
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

    /** Current time of the monotonic clock, ms. */
    long nowMs() {
        return nowMs;
    }

    /** Time of the last tick, or of the end of the last pause of this process; ms of the monotonic clock. */
    long lastTickAtMs() {
        return lastTickAtMs;
    }

    void onTick() {
        lastTickAtMs = nowMs;
    }

    /** Returns true if the tick is so late that this process must have been paused; its time-outs restart then. */
    boolean advanceTo(long timeMs) {
        nowMs = Math.max(nowMs, timeMs);
        boolean paused = nowMs - lastTickAtMs > timings.maxTickDelayMs();
        if (paused) {
            lastTickAtMs = nowMs;
        }
        return paused;
    }

    /** This member's candidacy or held lease, or null. */
    LeaseAttempt attempt() {
        return attempt;
    }

    boolean isCandidate() {
        return attempt != null && !attempt.isWon();
    }

    boolean isHolder() {
        return attempt != null && attempt.isWon();
    }

    void startAttempt(LeaseAttempt newAttempt) {
        attempt = newAttempt;
    }

    void endAttempt() {
        attempt = null;
    }

    /** Ends a candidacy; a held lease is kept. */
    void endCandidacy() {
        if (isCandidate()) {
            attempt = null;
        }
    }

    /** Sets the earliest time of this member's next candidacy, replacing any earlier setting; ms. */
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
