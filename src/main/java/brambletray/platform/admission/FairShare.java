package brambletray.platform.admission;

import java.util.ArrayList;
import java.util.List;

/**
 * How often each kind of request of one service is served, against all of them. The queue orders by urgency; where
 * urgent kinds alone fill
 * the service, the others would never be served. A kind that is served less than half as often as all is
 * <em>behind</em>, and goes first until it
 * no longer is: weighted fair queueing with a guaranteed minimum. Only outcomes count, and older ones fade, so an idle
 * or a cold service has no
 * kind that is behind. One thread.
 */
final class FairShare {
    /** A kind is behind below this share of the rate at which all are served. */
    private static final double LEAST_SHARE = 0.5;
    /** Memory of outcomes, ms. */
    private static final int MEMORY_MS = 10_000;
    /** ms between two fadings of the counts. */
    private static final int FADE_MS = 100;
    /** Outcomes of a kind that are needed to judge it. */
    private static final double JUDGED_FROM = 1.5;
    /** Kinds that are told apart; what comes beyond counts as the last of them. */
    private static final int KINDS_MOST = 32;

    /** What is counted together: calls of hosts or requests of clients, of one priority and one target. */
    static final class Kind {
        private final boolean call;
        private final int priority;
        private final int targetMs;
        private double served;
        private double lost;
        private boolean behind;

        private Kind(SlotRequest ask) {
            call = ask.inner();
            priority = ask.priority();
            targetMs = ask.targetMs();
        }

        private boolean includes(SlotRequest ask) {
            return call == ask.inner() && priority == ask.priority() && targetMs == ask.targetMs();
        }

        /** Whether it is served less than half as often as all. */
        boolean isBehind() {
            return behind;
        }
    }

    private final List<Kind> kinds = new ArrayList<>(4);
    private long fadedAt = Long.MIN_VALUE;

    /** The kind of an ask. */
    Kind of(SlotRequest ask) {
        for (int i = 0; i < kinds.size(); i++) {
            if (kinds.get(i).includes(ask)) {
                return kinds.get(i);
            }
        }
        if (kinds.size() == KINDS_MOST) {
            return kinds.get(KINDS_MOST - 1);
        }
        Kind kind = new Kind(ask);
        kinds.add(kind);
        return kind;
    }

    /** An ask has been given a slot. */
    void served(SlotRequest ask, long now) {
        if (counts(ask)) {
            of(ask).served++;
            judge(now);
        }
    }

    /** An ask has been refused, or its time has run out in the queue. */
    void lost(SlotRequest ask, long now) {
        if (counts(ask)) {
            of(ask).lost++;
            judge(now);
        }
    }

    /** Further tries and copies are bounded by their budget, whatever their kind. */
    private static boolean counts(SlotRequest ask) {
        return !ask.again() && !ask.copy();
    }

    private void judge(long now) {
        fade(now);
        double served = 0;
        double asked = 0;
        for (int i = 0; i < kinds.size(); i++) {
            served += kinds.get(i).served;
            asked += kinds.get(i).served + kinds.get(i).lost;
        }
        for (int i = 0; i < kinds.size(); i++) {
            Kind kind = kinds.get(i);
            double own = kind.served + kind.lost;
            kind.behind = own >= JUDGED_FROM && kind.served * asked < LEAST_SHARE * served * own;
        }
    }

    private void fade(long now) {
        if (fadedAt == Long.MIN_VALUE) {
            fadedAt = now;
        }
        if (now - fadedAt < FADE_MS) {
            return;
        }
        double left = Math.exp((double) (fadedAt - now) / MEMORY_MS);
        fadedAt = now;
        for (int i = 0; i < kinds.size(); i++) {
            kinds.get(i).served *= left;
            kinds.get(i).lost *= left;
        }
    }
}
