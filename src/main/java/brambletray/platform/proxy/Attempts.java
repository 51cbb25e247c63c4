package brambletray.platform.proxy;

import brambletray.platform.admission.AttemptOutcome;
import brambletray.platform.admission.SlotGrant;
import java.util.ArrayList;
import java.util.List;

/** The hosts that one request has been sent to, and the places it holds there: each is given back exactly once. */
final class Attempts {
    private final RequestActions hands;
    private final long end;
    private final List<Attempt> all = new ArrayList<>(2);
    private final List<String> hosts = new ArrayList<>(2);
    private int live;

    /** {@code end}: when the request's time is over, ms. */
    Attempts(RequestActions hands, long end) {
        this.hands = hands;
        this.end = end;
    }

    Attempt add(SlotGrant grant, boolean copy, long now) {
        Attempt attempt = new Attempt(grant, copy, now);
        all.add(attempt);
        hosts.add(grant.host());
        live++;
        return attempt;
    }

    int live() {
        return live;
    }

    /** Whether the place of this ask is in use. */
    boolean holds(long askId) {
        for (int i = 0; i < all.size(); i++) {
            if (all.get(i).live && all.get(i).grant.askId() == askId) {
                return true;
            }
        }
        return false;
    }

    /** All so far, used or not reached. */
    List<String> hosts() {
        return List.copyOf(hosts);
    }

    /** The place goes back with its fate; false where it is back already. */
    boolean end(Attempt attempt, AttemptOutcome fate, int took) {
        if (!attempt.live) {
            return false;
        }
        attempt.live = false;
        live--;
        hands.done(attempt.grant, fate, took);
        return true;
    }

    /** Closes its connection; a place at which nothing was sent has not been used. */
    void callOff(Attempt attempt, AttemptOutcome fate, long now) {
        hands.cancel(attempt);
        if (attempt.sent()) {
            end(attempt, fate, (int) (now - attempt.sentAt));
        } else {
            attempt.live = false;
            live--;
            hands.forget(attempt.grant.askId());
        }
    }

    /** The first usable answer settles: all others are called off. */
    void callOffOthers(Attempt winner, long now) {
        for (int i = 0; i < all.size(); i++) {
            Attempt attempt = all.get(i);
            if (attempt.live && attempt != winner) {
                if (attempt.sent() && !attempt.copy) {
                    // Guards the delay of copies against forgetting the slow: it took this long at least.
                    hands.took((int) (now - attempt.sentAt));
                }
                callOff(attempt, AttemptOutcome.CANCELLED, now);
            }
        }
    }

    /**
     * Nobody waits any more: what no host has is dropped, the rest is left to finish there; true where there is such.
     */
    boolean leave(long now) {
        for (int i = 0; i < all.size(); i++) {
            Attempt attempt = all.get(i);
            if (attempt.live && !attempt.sent()) {
                callOff(attempt, AttemptOutcome.CANCELLED, now);
            }
        }
        return live > 0;
    }

    /** A host that has not answered by now will not. */
    void giveUp(long now) {
        for (int i = 0; i < all.size(); i++) {
            Attempt attempt = all.get(i);
            if (attempt.live) {
                callOff(attempt, now >= end ? AttemptOutcome.SILENT : AttemptOutcome.CANCELLED, now);
            }
        }
    }
}
