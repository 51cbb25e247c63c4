package brambletray.tray.home;

import java.util.ArrayList;
import java.util.List;

/**
 * Those who wait for a place. First whose key is smallest: the end of its time, plus {@code ageMs} a rank of priority,
 * less {@code innerMs} for calls of hosts, plus {@code lateMs} once it cannot be in time any more. Keys hold still
 * while newcomers' ends move on, so none starves. Bounded by {@code most}.
 */
final class Line {
    static final class Waiter {
        final Ask ask;
        final long since;
        final long end;
        final long aim;
        final long key;
        int passed;

        Waiter(Ask ask, long now, Laws.Queue law) {
            this.ask = ask;
            since = now;
            end = now + ask.remainingMs();
            aim = now + ask.targetMs();
            key = end + (long) ask.priority() * law.ageMs() - (ask.inner() ? law.innerMs() : 0);
        }
    }

    private final Laws.Queue law;
    private final List<Waiter> waiters = new ArrayList<>();
    private int round;

    Line(Laws.Queue law) {
        this.law = law;
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

    Waiter join(Ask ask, long now) {
        Waiter waiter = new Waiter(ask, now, law);
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

    /** The one whose turn it is, of those not passed over in this round; null where there is none. */
    Waiter next(boolean onlyInner, int workMs, long now) {
        Waiter best = null;
        long bestKey = Long.MAX_VALUE;
        for (int i = 0; i < waiters.size(); i++) {
            Waiter waiter = waiters.get(i);
            if (waiter.passed == round || onlyInner && !waiter.ask.inner()) {
                continue;
            }
            long key = waiter.key + (now + workMs > waiter.aim ? law.lateMs() : 0);
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

    /** How many would go before such an ask. */
    int ahead(Ask ask, int workMs, long now) {
        long key = now
                + ask.remainingMs()
                + (long) ask.priority() * law.ageMs()
                - (ask.inner() ? law.innerMs() : 0)
                + (workMs > ask.targetMs() ? law.lateMs() : 0);
        int n = 0;
        for (int i = 0; i < waiters.size(); i++) {
            Waiter waiter = waiters.get(i);
            if (waiter.key + (now + workMs > waiter.aim ? law.lateMs() : 0) <= key) {
                n++;
            }
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
