package brambletray.platform.election;

import brambletray.platform.replication.Member;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * One term of a candidate, from its first request until the candidacy or the won lease ends. Records when requests
 * were sent and which members have granted or renewed them.
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

    /** Whether voters are only asked if they would grant the lease. */
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

    /** Whether a voter has confirmed that this view descends from the one in which the lease was held. */
    boolean viewDescends() {
        return viewDescends;
    }

    void markViewDescends() {
        viewDescends = true;
    }

    /** When the attempt was created; ms. */
    long startedAtMs() {
        return startedAtMs;
    }

    /** When the last message was sent, or a time long ago if none was; ms. */
    long lastSentAtMs() {
        return lastSentAtMs;
    }

    /** Returns the sequence number for a message sent at {@code nowMs}, and records that time. */
    long nextSequence(long nowMs) {
        lastSentAtMs = nowMs;
        sentAtMs[(int) (++lastSequence % SEND_TIME_HISTORY)] = nowMs;
        return lastSequence;
    }

    /** A member has granted the request with this sequence number. */
    void onGranted(long incarnation, long sequence) {
        if (sequence <= lastSequence - SEND_TIME_HISTORY || sequence > lastSequence) {
            return;
        }
        grantedAtMs.merge(incarnation, sentAtMs[(int) (sequence % SEND_TIME_HISTORY)], Math::max);
    }

    /** A member has refused. Returns true if the attempt has failed: no majority is possible, or it is a probe. */
    boolean onDenied(long incarnation, List<Member> members) {
        deniedBy.add(incarnation);
        int denials = 0;
        for (Member member : members) {
            if (deniedBy.contains(member.incarnation())) {
                denials++;
            }
        }
        return probe || 2 * denials >= members.size();
    }

    boolean isGrantedByAll(List<Member> members) {
        for (Member member : members) {
            if (!grantedAtMs.containsKey(member.incarnation())) {
                return false;
            }
        }
        return true;
    }

    /** Send time of the latest request that a majority of these members has granted; long ago if there is none. */
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
