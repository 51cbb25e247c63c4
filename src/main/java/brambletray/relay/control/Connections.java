package brambletray.relay.control;

import static brambletray.relay.control.Turn.MS;
import static brambletray.relay.control.Turn.SECOND;

import brambletray.relay.control.Relay.Close;
import brambletray.relay.control.Relay.Ended;
import brambletray.relay.control.Relay.Settings;
import brambletray.relay.control.State.Attempt;
import brambletray.relay.control.State.Health;
import brambletray.relay.control.State.Route;
import java.util.Arrays;
import java.util.SplittableRandom;

/** Idle connections: how long they are held and trusted, and the places that hosts have for them. */
record Connections(Settings set, Memory memory, SplittableRandom random, Turn turn) {
    /** A connection stays open where this many uses are expected while connections of its kind are held. */
    private static final double KEEP_USES = 0.5;
    /** Factor of the span for which connections are held, at a failed connect. */
    private static final double HOLD_CUT = 0.5;
    /** Factor of that span, at an answer. */
    private static final double HOLD_GROW = 1.02;
    /** Relays up to which they are held as long as hosts keep them; with more, for less at first. */
    private static final double HOLD_RELAYS = 14;
    /** us; first pause where a host accepts no further connection. */
    private static final double PLACE_PAUSE = 200 * MS;
    /** us; longest such pause. */
    private static final double PLACE_MOST = 2 * SECOND;
    /** Factor from one such pause to the next. */
    private static final double PLACE_GROW = 2;
    /** us; shortest idle time after which a connection may count as dropped. */
    private static final double TRUST_LEAST = 250 * MS;
    /** A connection is trusted for this multiple of the idle time that one has survived. */
    private static final double TRUST_PROVEN = 1.25;

    /** Nothing is known yet. */
    void start() {
        // Guards hosts that hold few connections: who has one is never turned away, and never learns of it.
        Arrays.fill(memory.holds, set.allowed().keepAlive() * Math.min(1, HOLD_RELAYS / set.relays()));
        Arrays.fill(memory.trusts, set.allowed().keepAlive());
    }

    /** Takes an idle connection for a call; how long it was idle, or -1 for a new one. */
    long take(Route r) {
        if (!r.idle.isEmpty() && r.idle.peekLast() < turn.now - memory.trusts[r.kind]) {
            drop(r);
        }
        return r.idle.isEmpty() ? -1 : turn.now - r.idle.pollLast();
    }

    /** Guards tables of few connections, idle ones counted, against a fleet that each keeps its own. */
    void release(Route r) {
        double held = Math.min(memory.holds[r.kind], memory.trusts[r.kind]);
        double uses = r.dest.usualRate / Math.max(1, r.dest.routes.size()) * held / SECOND;
        if (uses < KEEP_USES && r.inflight == 0 && !r.idle.isEmpty()) {
            drop(r);
        }
    }

    private void drop(Route r) {
        r.idle.clear();
        turn.add(new Close(r.id));
    }

    void answered(Attempt a) {
        Route r = a.route;
        double longest = set.allowed().keepAlive();
        memory.holds[r.kind] = Math.min(longest, memory.holds[r.kind] * HOLD_GROW);
        double trust = Math.max(memory.trusts[r.kind] * HOLD_GROW, a.idle * TRUST_PROVEN);
        memory.trusts[r.kind] = Math.min(longest, trust);
        r.heldBefore = 0;
        r.crowded = 0;
        if (r.inflight + 1 >= r.places && turn.now >= r.crowdedAt + PLACE_MOST) {
            r.places++;
            r.crowdedAt = turn.now;
        }
    }

    /**
     * A connect that failed may tell of a full table: connections of its kind are held for less. A host that
     * is down refuses every connect: an outage takes its cuts back. Guards all hosts of the kind against a
     * connection for each call for minutes after it.
     */
    void cutHold(Route r) {
        if (!(r.health == Health.OUT && r.confirmed)) {
            r.heldBefore = Math.max(r.heldBefore, memory.holds[r.kind]);
            memory.holds[r.kind] *= HOLD_CUT;
        }
    }

    void takeCutsBack(Route r) {
        memory.holds[r.kind] = Math.max(memory.holds[r.kind], r.heldBefore);
    }

    /**
     * True where the host turned away a new connection, not its call: it holds all those that it takes. What
     * reads a call and has a limit tells of it in every answer.
     */
    boolean noPlace(Attempt a, Ended e) {
        return a.idle < 0
                && !e.reused()
                && e.waitFor() == 0
                && e.left() < 0
                && e.limit() < 0
                && memory.tells[a.route.kind];
    }

    /**
     * Guards a fleet against holding all places of its hosts idle, each of them for itself, and against
     * taking a lack of places for the limit or for an outage: the limit is not used up, and a place is free
     * again once a call there has ended. Where this relay has calls out there itself, those are its places.
     * It hurts where a host is shut and refuses without a word.
     */
    void turnedAway(Attempt a) {
        Route r = a.route;
        r.idle.pollLast();
        r.lane.bucket.tokens++;
        r.places = Math.max(1, r.inflight);
        boolean alone = r.inflight == 0 && a.sent >= r.crowdedAt;
        r.crowdedAt = turn.now;
        if (!alone) {
            return;
        }
        memory.holds[r.kind] *= HOLD_CUT;
        memory.routes.values().stream().filter(o -> o.kind == r.kind).forEach(this::release);
        double most = Math.min(Backoff.BACKOFF_MOST, PLACE_MOST * Math.max(1, set.relays() / HOLD_RELAYS));
        double span = Math.min(most, PLACE_PAUSE * Math.pow(PLACE_GROW, r.crowded++));
        r.backoffUntil = Math.max(r.backoffUntil, turn.now + (long) (span * (0.5 + random.nextDouble())));
    }

    /** Guards against idle connections dropped unseen; failures in a row or on new ones tell otherwise. */
    void doubt(Attempt a) {
        int kind = a.route.kind;
        double trust = memory.trusts[kind];
        if (a.idle < 0) {
            memory.trusts[kind] = Math.min(set.allowed().keepAlive(), trust * 2);
        } else if (a.idle >= TRUST_LEAST && a.route.failRun == 0 && !AnswerTimes.slow(a.route.dest)) {
            memory.trusts[kind] = Math.min(trust, Math.max(TRUST_LEAST, a.idle / 2.0));
        }
    }
}
