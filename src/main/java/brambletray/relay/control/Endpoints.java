package brambletray.relay.control;

import static brambletray.relay.control.Turn.SECOND;

import brambletray.relay.control.Relay.Endpoint;
import brambletray.relay.control.Relay.Excluded;
import brambletray.relay.control.Relay.Known;
import brambletray.relay.control.Relay.ListKind;
import brambletray.relay.control.Relay.Listed;
import brambletray.relay.control.Relay.Listing;
import brambletray.relay.control.Relay.Settings;
import brambletray.relay.control.State.Dest;
import brambletray.relay.control.State.Duty;
import brambletray.relay.control.State.Health;
import brambletray.relay.control.State.Lane;
import brambletray.relay.control.State.Route;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** The list of endpoints, what operators take out of it, and what earlier modules knew of them. */
record Endpoints(Settings set, Memory memory, Turn turn, Pace pace, Backoff backoff, Outages outages) {
    /** us; an endpoint off the list is forgotten after this: past any wait or warm-up. */
    private static final long FORGET = 60 * SECOND;

    Dest dest(long id) {
        return memory.dests.computeIfAbsent(id, k -> new Dest(set.classes().size() * 3));
    }

    void listed(Listed e) {
        Map<Long, Route> routes = memory.routes;
        Set<Long> named = new HashSet<>();
        for (Endpoint p : e.endpoints()) {
            named.add(p.id());
            Route r = routes.get(p.id());
            if (r != null && p.listing() != Listing.GONE && r.dest != dest(p.destination())) {
                // Guards destinations against a number that stands for another host by now.
                remove(r);
                r = null;
            }
            if (p.listing() != Listing.GONE) {
                r = r == null ? add(p) : r;
                r.dest.routes.put(r.id, r);
                r.ready = p.listing() == Listing.READY;
                pace.listed(r.lane, p.weight());
                memory.active.add(r.dest);
            } else if (r != null) {
                remove(r);
            }
        }
        if (e.kind() == ListKind.WHOLE) {
            routes.values().stream().filter(r -> !named.contains(r.id)).forEach(this::remove);
        }
    }

    private Route add(Endpoint p) {
        Route r = new Route(p.id(), p.zone(), p.kind());
        r.out = memory.excluded.contains(r.id);
        r.dest = dest(p.destination());
        r.dest.kind = p.kind();
        boolean apart = set.kinds().get(p.kind()).apart();
        r.lane = apart || r.dest.shared == null ? new Lane() : r.dest.shared;
        r.dest.shared = apart ? r.dest.shared : r.lane;
        if (r.lane.pace == 0) {
            pace.start(r.lane, p.weight());
        }
        // A new endpoint is cold, and the messages held for a failing destination would all go there at once.
        if (!r.dest.routes.isEmpty() && !r.dest.sound()) {
            outages.begin(r, true);
            r.lastSent = turn.now;
        }
        memory.routes.put(r.id, r);
        return r;
    }

    /** What comes back into use has been restarted, or was failing: trials first, then the return budget. */
    void excluded(Excluded e) {
        Set<Long> excluded = memory.excluded;
        boolean changed = e.out() ? excluded.add(e.endpoint()) : excluded.remove(e.endpoint());
        Route r = memory.routes.get(e.endpoint());
        if (changed && r != null) {
            r.out = e.out();
            if (!r.out) {
                outages.begin(r, true);
            }
            memory.active.add(r.dest);
        }
    }

    /** Guards hosts against relays that were killed: a wait goes on, what fails or is cold still does. */
    void remembered(Route r, Known known) {
        if (known.waitFor() > 0) {
            backoff.remembered(r.lane, known.waitFor());
        }
        if (known.limit() > 0) {
            pace.remembered(r, known.limit(), known.pace());
        }
        if (known.failing() || known.warming() >= 0) {
            outages.begin(r, true);
            r.lastSent = turn.now;
        }
        if (known.warming() >= 0) {
            r.health = Health.RETURNING;
            r.returnAt = turn.now - known.warming();
        }
    }

    /** Takes a route off; what is known of it is kept a while: waits and health outlast a gap. */
    private void remove(Route r) {
        r.ready = false;
        if (r.dest.routes.remove(r.id) != null) {
            r.goneAt = turn.now;
            turn.at(turn.now + FORGET, Duty.FORGET, r);
        }
    }

    void forget(Route r) {
        if (r.goneAt + FORGET <= turn.now && r.inflight == 0 && !r.dest.routes.containsKey(r.id)) {
            memory.routes.remove(r.id, r);
        }
    }
}
