package brambletray.tray.flow;

import brambletray.tray.home.Fate;
import brambletray.tray.home.Grant;
import java.util.ArrayList;
import java.util.List;

/** The hosts that one request has been sent to, and the places it holds there: each is given back exactly once. */
final class Legs {
    private final Hands hands;
    private final long end;
    private final List<Leg> all = new ArrayList<>(2);
    private final List<String> hosts = new ArrayList<>(2);
    private int live;

    /** {@code end}: when the request's time is over, ms. */
    Legs(Hands hands, long end) {
        this.hands = hands;
        this.end = end;
    }

    Leg add(Grant grant, boolean copy, long now) {
        Leg leg = new Leg(grant, copy, now);
        all.add(leg);
        hosts.add(grant.host());
        live++;
        return leg;
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
    boolean end(Leg leg, Fate fate, int took) {
        if (!leg.live) {
            return false;
        }
        leg.live = false;
        live--;
        hands.done(leg.grant, fate, took);
        return true;
    }

    /** Closes its connection; a place at which nothing was sent has not been used. */
    void callOff(Leg leg, Fate fate, long now) {
        hands.cancel(leg);
        if (leg.sent()) {
            end(leg, fate, (int) (now - leg.sentAt));
        } else {
            leg.live = false;
            live--;
            hands.forget(leg.grant.askId());
        }
    }

    /** The first usable answer settles: all others are called off. */
    void callOffOthers(Leg winner, long now) {
        for (int i = 0; i < all.size(); i++) {
            Leg leg = all.get(i);
            if (leg.live && leg != winner) {
                if (leg.sent() && !leg.copy) {
                    // Guards the delay of copies against forgetting the slow: it took this long at least.
                    hands.took((int) (now - leg.sentAt));
                }
                callOff(leg, Fate.CANCELLED, now);
            }
        }
    }

    /**
     * Nobody waits any more: what no host has is dropped, the rest is left to finish there; true where there is such.
     */
    boolean leave(long now) {
        for (int i = 0; i < all.size(); i++) {
            Leg leg = all.get(i);
            if (leg.live && !leg.sent()) {
                callOff(leg, Fate.CANCELLED, now);
            }
        }
        return live > 0;
    }

    /** A host that has not answered by now will not. */
    void giveUp(long now) {
        for (int i = 0; i < all.size(); i++) {
            Leg leg = all.get(i);
            if (leg.live) {
                callOff(leg, now >= end ? Fate.SILENT : Fate.CANCELLED, now);
            }
        }
    }
}
