package brambletray.platform.election;

import brambletray.platform.replication.Member;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** One term from the first question to its end, at the candidate: who agreed to what was sent when. */
final class Lease {
    private static final int SEQS = 16;

    final long term;
    final boolean probe;
    private final long[] sentAt = new long[SEQS];
    private final Map<Long, Long> agreed = new HashMap<>();
    private final Set<Long> refused = new HashSet<>();
    private long seq;
    /** A voter knows that this view descends from the one that the duty was held in. */
    boolean descends;

    boolean won;
    long saidAt = Long.MIN_VALUE / 2;
    final long since;

    Lease(long term, boolean probe, long now) {
        this.term = term;
        this.probe = probe;
        this.since = now;
    }

    /** Number of the next message, sent now. */
    long next(long now) {
        saidAt = now;
        sentAt[(int) (++seq % SEQS)] = now;
        return seq;
    }

    /** A member agreed to the message of this number. */
    void agree(long life, long number) {
        if (number <= seq - SEQS || number > seq) {
            return;
        }
        agreed.merge(life, sentAt[(int) (number % SEQS)], Math::max);
    }

    /** A member refused; true when a majority can't be had any more. */
    boolean refuse(long life, List<Member> members) {
        refused.add(life);
        int against = 0;
        for (Member member : members) {
            if (refused.contains(member.life())) {
                against++;
            }
        }
        return probe || 2 * against >= members.size();
    }

    boolean all(List<Member> members) {
        for (Member member : members) {
            if (!agreed.containsKey(member.life())) {
                return false;
            }
        }
        return true;
    }

    /** Sending time of the latest message to which a majority of these has agreed; a time long ago when none is. */
    long agreedAt(List<Member> members) {
        long[] times = new long[members.size()];
        int i = 0;
        for (Member member : members) {
            times[i++] = agreed.getOrDefault(member.life(), Long.MIN_VALUE / 2);
        }
        java.util.Arrays.sort(times);
        return times.length == 0 ? Long.MIN_VALUE / 2 : times[times.length - (times.length / 2 + 1)];
    }
}
