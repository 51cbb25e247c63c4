package brambletray.platform.admission;

import brambletray.platform.provisioning.InstanceInfo;
import java.util.ArrayList;
import java.util.List;

/**
 * The hosts of a seat, oldest first, and the choice among them: one that is well and not on the ask's list of those to
 * avoid; in the asker's zone; not its last place; the oldest, so that superfluous ones run idle. Slow and failing ones
 * come last, suspects not at all.
 */
final class PooledInstances {
    private final AdmissionParameters.Choice law;
    private final List<PooledInstance> posts = new ArrayList<>();

    PooledInstances(AdmissionParameters.Choice law) {
        this.law = law;
    }

    List<PooledInstance> all() {
        return posts;
    }

    PooledInstance find(String id) {
        for (int i = 0; i < posts.size(); i++) {
            if (posts.get(i).id.equals(id)) {
                return posts.get(i);
            }
        }
        return null;
    }

    void add(PooledInstance post) {
        int at = posts.size();
        while (at > 0 && posts.get(at - 1).bornAt > post.bornAt) {
            at--;
        }
        posts.add(at, post);
    }

    void remove(PooledInstance post) {
        posts.remove(post);
    }

    int count(int state) {
        int n = 0;
        for (int i = 0; i < posts.size(); i++) {
            if (posts.get(i).state == state) {
                n++;
            }
        }
        return n;
    }

    /** Free places at hosts that are up and not suspect. */
    int free(int most, long now) {
        int n = 0;
        for (int i = 0; i < posts.size(); i++) {
            PooledInstance post = posts.get(i);
            if (post.up() && !post.suspect(now)) {
                n += Math.max(0, post.free(most, now));
            }
        }
        return n;
    }

    /** Hosts that are up and not suspect. */
    int well(long now) {
        int n = 0;
        for (int i = 0; i < posts.size(); i++) {
            if (posts.get(i).up() && !posts.get(i).suspect(now)) {
                n++;
            }
        }
        return n;
    }

    /** The host for an ask, or null. {@code blind}: only hosts whose holders are all known. */
    PooledInstance choose(SlotRequest ask, int most, boolean blind, long now) {
        double usual = usualMs();
        PooledInstance best = null;
        int bestRank = Integer.MAX_VALUE;
        for (int i = 0; i < posts.size(); i++) {
            PooledInstance post = posts.get(i);
            if (blind && !post.own || post.suspect(now)) {
                continue;
            }
            int free = post.free(most, now);
            if (free <= 0) {
                continue;
            }
            int rank = rank(post, ask, free, most, usual, now);
            if (rank < bestRank) {
                bestRank = rank;
                best = post;
            }
        }
        return best;
    }

    private int rank(PooledInstance post, SlotRequest ask, int free, int most, double usual, long now) {
        int rank = 0;
        if (post.leaving()) {
            if (law.leaveMs() <= 0 || now - post.leavingSince >= law.leaveMs()) {
                return Integer.MAX_VALUE;
            }
            rank += 32;
        } else if (!post.up()) {
            return Integer.MAX_VALUE;
        }
        if (ask.avoid() != null && ask.avoid().contains(post.id)) {
            if (ask.copy() || others(post, now)) {
                return Integer.MAX_VALUE;
            }
            rank += 64;
        }
        if (post.pausedUntil > now) {
            rank += 16;
        }
        if (usual > 0 && post.answers >= 8 && post.tookMs > law.slow() * usual) {
            rank += 8;
        }
        if (!post.zone.equals(ask.zone())) {
            rank += 4;
        }
        if (most > 2 && free == 1) {
            rank += 2;
        }
        return rank;
    }

    /** Whether there is another host that works, or soon will. */
    private boolean others(PooledInstance one, long now) {
        for (int i = 0; i < posts.size(); i++) {
            PooledInstance post = posts.get(i);
            if (post != one && !post.leaving() && !post.suspect(now)) {
                return true;
            }
        }
        return false;
    }

    /** The median of the hosts' answer times, ms; 0 where fewer than three are known. */
    private double usualMs() {
        if (posts.size() < 3) {
            return 0;
        }
        double[] known = null;
        int n = 0;
        for (int i = 0; i < posts.size(); i++) {
            PooledInstance post = posts.get(i);
            if (post.answers >= 8) {
                if (known == null) {
                    known = new double[posts.size()];
                }
                int at = n++;
                while (at > 0 && known[at - 1] > post.tookMs) {
                    known[at] = known[at - 1];
                    at--;
                }
                known[at] = post.tookMs;
            }
        }
        return n < 3 ? 0 : known[(n - 1) / 2];
    }

    /** What a host did with a request: its record, and a pause where it fails again and again. */
    void judge(PooledInstance post, AttemptOutcome fate, int tookMs, long now) {
        post.blame *= Math.exp((post.blamedAt - now) / 1000.0);
        post.blamedAt = now;
        switch (fate) {
            case SERVED -> {
                post.misses = 0;
                post.blame *= 0.8;
                post.answers++;
                post.tookMs += (tookMs - post.tookMs) * Math.max(0.1, 1.0 / post.answers);
                if (post.pausedUntil <= now) {
                    post.pauses = 0;
                }
            }
            case BROKEN, SILENT -> {
                post.blame += 1;
                if (post.blame >= law.blame()) {
                    pause(post, now);
                    post.blame = 0;
                }
            }
            case UNREACHED -> {
                post.misses++;
                pause(post, now);
            }
            default -> {}
        }
    }

    void pause(PooledInstance post, long now) {
        long span = Math.min(law.pauseMostMs(), (long) law.pauseMs() << Math.min(post.pauses, 8));
        post.pauses++;
        post.pausedUntil = Math.max(post.pausedUntil, now + span);
    }

    /** The first moment after now at which a pause, or a mark of a full host, ends. */
    long nextEase(long now) {
        long next = Long.MAX_VALUE;
        for (int i = 0; i < posts.size(); i++) {
            PooledInstance post = posts.get(i);
            if (post.pausedUntil > now) {
                next = Math.min(next, post.pausedUntil);
            }
            if (post.fullUntil > now) {
                next = Math.min(next, post.fullUntil);
            }
        }
        return next;
    }

    /** Hosts born under another home: who else holds places there has to be told. */
    boolean anyUnknown() {
        for (int i = 0; i < posts.size(); i++) {
            if (!posts.get(i).own) {
                return true;
            }
        }
        return false;
    }

    boolean anyUp() {
        return count(InstanceInfo.UP) > 0;
    }
}
