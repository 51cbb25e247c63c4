package brambletray.platform.admission;

import java.util.ArrayList;
import java.util.List;

/**
 * Those who wait for a place. First whose key is smallest: the end of its time, plus {@code ageMs} a rank of priority,
 * less {@code innerMs}
 * for calls of hosts, plus {@code lateMs} once it cannot be in time any more; before all of these, kinds that are
 * behind their fair share
 * ({@link FairShare}). Bounded by {@code most}: beyond it, who would go last makes room for who would go before.
 */
final class RequestQueue {
    static final class Waiter {
        final SlotRequest ask;
        final long since;
        final long end;
        final long aim;
        final long key;
        final FairShare.Kind kind;
        int passed;

        Waiter(SlotRequest ask, FairShare.Kind kind, long now, AdmissionParameters.Queue law) {
            this.ask = ask;
            this.kind = kind;
            since = now;
            end = now + ask.remainingMs();
            aim = now + ask.targetMs();
            key = end + (long) ask.priority() * law.ageMs() - (ask.inner() ? law.innerMs() : 0);
        }
    }

    /** Before any key that time alone can make, ms. */
    private static final long BEHIND_MS = 1L << 40;

    private final AdmissionParameters.Queue law;
    private final FairShare shares;
    private final List<Waiter> waiters = new ArrayList<>();
    private int round;

    RequestQueue(AdmissionParameters.Queue law, FairShare shares) {
        this.law = law;
        this.shares = shares;
    }

    int size() {
        return waiters.size();
    }

    boolean full() {
        return waiters.size() >= law.most();
    }

    List<Waiter> all() {
        return waiters;
    }

    Waiter find(String edge, long ask) {
        for (int i = 0; i < waiters.size(); i++) {
            Waiter waiter = waiters.get(i);
            if (waiter.ask.id() == ask && waiter.ask.edge().equals(edge)) {
                return waiter;
            }
        }
        return null;
    }

    Waiter join(SlotRequest ask, long now) {
        Waiter waiter = new Waiter(ask, shares.of(ask), now, law);
        waiters.add(waiter);
        return waiter;
    }

    void remove(Waiter waiter) {
        waiters.remove(waiter);
    }

    void removeEdge(String edge) {
        waiters.removeIf(waiter -> waiter.ask.edge().equals(edge));
    }

    /** A new round of {@link #next}: those passed over are looked at again. */
    void round() {
        round++;
    }

    /**
     * The one whose turn it is, of those not passed over in this round; null where there is none. {@code onlyCalls}:
     * requests of clients may not
     * have what is free, but for kinds that are behind where {@code behindToo}.
     */
    Waiter next(boolean onlyCalls, boolean behindToo, int workMs, long now) {
        Waiter best = null;
        long bestKey = Long.MAX_VALUE;
        for (int i = 0; i < waiters.size(); i++) {
            Waiter waiter = waiters.get(i);
            boolean barred = onlyCalls && !waiter.ask.inner() && !(behindToo && waiter.kind.isBehind());
            if (barred || waiter.passed == round) {
                continue;
            }
            long key = key(waiter, workMs, now);
            if (key < bestKey) {
                bestKey = key;
                best = waiter;
            }
        }
        return best;
    }

    /** No host suits this one now. */
    void pass(Waiter waiter) {
        waiter.passed = round;
    }

    private long key(Waiter waiter, int workMs, long now) {
        long late = now + workMs > waiter.aim ? law.lateMs() : 0;
        return waiter.key + late - (waiter.kind.isBehind() ? BEHIND_MS : 0);
    }

    /** How many would go before such an ask. */
    int ahead(SlotRequest ask, int workMs, long now) {
        long key = key(new Waiter(ask, shares.of(ask), now, law), workMs, now);
        int n = 0;
        for (int i = 0; i < waiters.size(); i++) {
            if (key(waiters.get(i), workMs, now) <= key) {
                n++;
            }
        }
        return n;
    }

    /**
     * Makes room in a full queue: takes out and returns the one that would go last, if such an ask would go before it;
     * else null.
     */
    Waiter displace(SlotRequest ask, int workMs, long now) {
        long key = key(new Waiter(ask, shares.of(ask), now, law), workMs, now);
        Waiter last = null;
        for (int i = 0; i < waiters.size(); i++) {
            long one = key(waiters.get(i), workMs, now);
            if (one > key) {
                key = one;
                last = waiters.get(i);
            }
        }
        waiters.remove(last);
        return last;
    }

    /** Calls of hosts that have waited since before {@code moment}. */
    int callsBefore(long moment) {
        int n = 0;
        for (int i = 0; i < waiters.size(); i++) {
            Waiter waiter = waiters.get(i);
            n += waiter.ask.inner() && waiter.since < moment ? 1 : 0;
        }
        return n;
    }

    /** Removes and returns one whose time no longer suffices; null where there is none. */
    Waiter hopeless(int workMs, long now) {
        for (int i = 0; i < waiters.size(); i++) {
            if (waiters.get(i).end - workMs <= now) {
                return waiters.remove(i);
            }
        }
        return null;
    }

    /** When the next one's time no longer suffices. */
    long nextEnd(int workMs) {
        long next = Long.MAX_VALUE;
        for (int i = 0; i < waiters.size(); i++) {
            next = Math.min(next, waiters.get(i).end - workMs);
        }
        return next;
    }
}
