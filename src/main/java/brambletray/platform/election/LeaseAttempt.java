package brambletray.platform.election;

import brambletray.platform.replication.Member;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** One term from the first question to its end, at the candidate: who agreed to what was sent when. */
final class LeaseAttempt {
    private static final int REMEMBERED_MESSAGES = 16;

    final long term;
    final boolean probe;
    private final long[] sentAtMs = new long[REMEMBERED_MESSAGES];
    private final Map<Long, Long> grantedAtMs = new HashMap<>();
    private final Set<Long> deniedBy = new HashSet<>();
    private long lastSequence;
    /** A voter knows that this view descends from the one that the duty was held in. */
    boolean viewDescends;

    boolean won;
    long lastSentAtMs = Long.MIN_VALUE / 2;
    final long startedAtMs;

    LeaseAttempt(long term, boolean probe, long nowMs) {
        this.term = term;
        this.probe = probe;
        this.startedAtMs = nowMs;
    }

    /** Number of the next message, sent now. */
    long nextSequence(long nowMs) {
        lastSentAtMs = nowMs;
        sentAtMs[(int) (++lastSequence % REMEMBERED_MESSAGES)] = nowMs;
        return lastSequence;
    }

    /** A member agreed to the message of this number. */
    void onGranted(long incarnation, long number) {
        if (number <= lastSequence - REMEMBERED_MESSAGES || number > lastSequence) {
            return;
        }
        grantedAtMs.merge(incarnation, sentAtMs[(int) (number % REMEMBERED_MESSAGES)], Math::max);
    }

    /** A member refused; true when a majority can't be had any more. */
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

    /** Sending time of the latest message to which a majority of these has agreed; a time long ago when none is. */
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
