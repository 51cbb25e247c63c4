package brambletray.platform.election;

import brambletray.platform.replication.Member;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * One term at the candidate, from the first request to its end: which members have granted or renewed what was sent
 * when.
 */
final class LeaseAttempt {
    private static final int SEND_TIME_HISTORY = 16;

    private final long term;
    private final boolean probe;
    private final long[] sentAtMs = new long[SEND_TIME_HISTORY];
    private final Map<Long, Long> grantedAtMs = new HashMap<>();
    private final Set<Long> deniedBy = new HashSet<>();
    private long lastSequence;
    private boolean viewDescends;
    private boolean won;
    private long lastSentAtMs = Long.MIN_VALUE / 2;
    private final long startedAtMs;

    LeaseAttempt(long term, boolean probe, long nowMs) {
        this.term = term;
        this.probe = probe;
        this.startedAtMs = nowMs;
    }

    long term() {
        return term;
    }

    /** Whether voters are only asked whether they would grant. */
    boolean isProbe() {
        return probe;
    }

    /** Whether the lease was won under this term. */
    boolean isWon() {
        return won;
    }

    void markWon() {
        won = true;
    }

    /** Whether a voter knows that this view descends from the one in which the lease was held. */
    boolean viewDescends() {
        return viewDescends;
    }

    void markViewDescends() {
        viewDescends = true;
    }

    /** When the first request was prepared; ms. */
    long startedAtMs() {
        return startedAtMs;
    }

    /** When the last message was sent; ms, long ago for none. */
    long lastSentAtMs() {
        return lastSentAtMs;
    }

    /** Sequence number of the next message, which is sent now. */
    long nextSequence(long nowMs) {
        lastSentAtMs = nowMs;
        sentAtMs[(int) (++lastSequence % SEND_TIME_HISTORY)] = nowMs;
        return lastSequence;
    }

    /** A member has granted the message of this sequence number. */
    void onGranted(long incarnation, long number) {
        if (number <= lastSequence - SEND_TIME_HISTORY || number > lastSequence) {
            return;
        }
        grantedAtMs.merge(incarnation, sentAtMs[(int) (number % SEND_TIME_HISTORY)], Math::max);
    }

    /** A member has refused; whether a majority cannot be had any more. */
    boolean onDenied(long incarnation, List<Member> members) {
        deniedBy.add(incarnation);
        int against = 0;
        for (Member member : members) {
            if (deniedBy.contains(member.incarnation())) {
                against++;
            }
        }
        return probe || 2 * against >= members.size();
    }

    boolean isGrantedByAll(List<Member> members) {
        for (Member member : members) {
            if (!grantedAtMs.containsKey(member.incarnation())) {
                return false;
            }
        }
        return true;
    }

    /**
     * Sending time of the latest message that a majority of these has granted; a time long ago when there is none.
     */
    long majorityGrantedAtMs(List<Member> members) {
        long[] times = new long[members.size()];
        int i = 0;
        for (Member member : members) {
            times[i++] = grantedAtMs.getOrDefault(member.incarnation(), Long.MIN_VALUE / 2);
        }
        java.util.Arrays.sort(times);
        return times.length == 0 ? Long.MIN_VALUE / 2 : times[times.length - (times.length / 2 + 1)];
    }
}
