package brambletray.relay.control;

import static brambletray.relay.control.Turn.MS;
import static brambletray.relay.control.Turn.NEVER;
import static brambletray.relay.control.Turn.SECOND;

import brambletray.relay.control.Relay.Ended;
import brambletray.relay.control.Relay.Outcome;
import brambletray.relay.control.Relay.Rules;
import brambletray.relay.control.Relay.Settings;
import brambletray.relay.control.Relay.Weights;
import brambletray.relay.control.State.Attempt;
import brambletray.relay.control.State.Health;
import brambletray.relay.control.State.Route;
import java.util.SplittableRandom;

/**
 * Outages and returns: what counts as a failure, when failures are an outage, and the way back: trials, then
 * a ramp within the budget of what a cold route bears.
 */
record Outages(Settings set, SplittableRandom random, Turn turn, Pace pace, Backoff backoff, Connections connections) {
    /** Failures in a row that mean an outage. */
    private static final int OUTAGE_RUN = 3;
    /** Share of failed recent calls that means an outage. */
    private static final double OUTAGE_SHARE = 0.6;
    /** Weight of a new outcome in that share. */
    private static final double OUTCOME_WEIGHT = 0.2;
    /** New connections in a row that broke with no answer between, from which on the host is held to fail. */
    private static final int BROKEN_RUN = 4;
    /** us; a route that answered within this is not yet taken for failing. */
    private static final long SILENT = 700 * MS;
    /** us; a sibling of a failing route that answered a call sent this long before is not suspected. */
    private static final long SUSPECT = 500 * MS;
    /** us; shortest time between trials of a route. */
    private static final long TRIAL_GAP = 400 * MS;
    /** us; a suspicion that is cleared within this time is followed by no ramp. */
    private static final long SUSPICION = 2 * SECOND;
    /** Part of the return budget used: leaves room for chance and for calls already under way. */
    private static final double BUDGET_USED = 0.95;
    /** Part used of an even share of a told limit: what a destination can do is over its limit by some. */
    private static final double TOLD_USED = 0.8;
    /** A rough weight may be this much over the truth. */
    private static final double ROUGH_OVER = 1.5;

    void answered(Attempt a) {
        Route r = a.route;
        r.lastOk = turn.now;
        r.lastOkSent = Math.max(r.lastOkSent, a.sent);
        r.failing *= 1 - OUTCOME_WEIGHT;
        // A quiet route sees one failure of an outage: a suspicion not cleared at once ends in a ramp too.
        r.confirmed |= r.health == Health.OUT && a.sent - r.outSince > SUSPICION;
        if (r.health != Health.OUT || a.sent >= r.outSince) {
            r.failRun = 0;
        }
        if (r.health == Health.OUT && a.sent >= r.outSince) {
            r.health = r.confirmed ? Health.RETURNING : Health.GOOD;
            r.returnAt = turn.now;
            if (r.confirmed) {
                turn.log(r, "answers again, held to the return budget");
            }
        }
    }

    /**
     * Guards routes, and the windows of their destinations, against calls that are lost and messages that
     * take long wherever they go: where the host has answered a call sent later, or the message timed out
     * before, a time-out says nothing of the host. It covers calls stuck behind others too. It hurts where a
     * host drops some calls and answers the rest: those cost their patience and no outage is seen.
     */
    void timedOut(Attempt a, boolean news) {
        boolean notTheHost = a.msg.timeouts++ > 0 || a.sent < a.route.lastOkSent;
        if (news) {
            connections.doubt(a);
        }
        if (news && !notTheHost) {
            Window.halve(a.route.dest);
            failed(a);
        }
    }

    /**
     * Guards routes against being taken for failing, and then held to the return budget as long as a cold
     * one, because connections break. A kept one that is reset (dropped by what lies between, closed as the
     * call went out, lost with a process that is up again) says nothing of the host; new ones do once some in
     * a row broke. A host that is down refuses new connections, which counts at once. It hurts where a host
     * dies of each call that it reads: that costs a few calls more.
     */
    void broken(Attempt a, Ended e) {
        Route r = a.route;
        boolean reused = e.reused();
        if (e.outcome() == Outcome.RESET) {
            connections.doubt(a);
        }
        r.broken += !reused && a.sent >= r.lastOkSent ? 1 : 0;
        if (!reused && r.broken >= BROKEN_RUN) {
            failed(a);
            r.backoffUntil = turn.now + backoff.span(r.dest, r.failRun, 0);
        }
    }

    /**
     * A host that is down refuses connects at once, at no cost: it is tried again soon, within the return
     * budget. Guards against learning of a return only after back-offs that grew while it was down.
     */
    void connectFailed(Attempt a, long latency) {
        Route r = a.route;
        connections.cutHold(r);
        failed(a);
        long pause = backoff.span(r.dest, r.failRun, 0);
        if (r.health == Health.OUT && latency < TRIAL_GAP) {
            pause = Math.min(pause, (long) (TRIAL_GAP * (0.5 + random.nextDouble())));
        }
        r.backoffUntil = turn.now + pause;
    }

    /** A failed call counts only while no call sent after it has been answered, or once failures prevail. */
    void failed(Attempt a) {
        Route r = a.route;
        r.failing += OUTCOME_WEIGHT * (1 - r.failing);
        boolean prevails = r.failing >= OUTAGE_SHARE;
        if (a.sent >= r.lastOkSent) {
            r.failRun++;
        }
        // A busy route that fails part of its calls answers the others: no outage while answers are recent.
        boolean silent = turn.now - r.lastOk >= SILENT;
        boolean trial = r.health == Health.OUT && a.sent >= r.outSince;
        if (prevails || trial || silent && r.failRun >= OUTAGE_RUN) {
            begin(r, true);
        } else if (r.failRun > 0 && silent && r.health != Health.RETURNING) {
            begin(r, false);
        }
    }

    /** Trials only. One failure is a suspicion, which one answer clears; an outage ends in a ramp. */
    void begin(Route r, boolean confirmed) {
        if (r.health != Health.OUT) {
            r.confirmed = false;
            r.outSince = turn.now;
            r.spacing = 2 * random.nextDouble();
        }
        r.health = Health.OUT;
        if (confirmed && !r.confirmed) {
            r.confirmed = true;
            connections.takeCutsBack(r);
            turn.log(r, "fails or refuses, trials only");
            // Routes of a destination mostly fail together: those not heard from must answer a trial.
            for (Route other : r.dest.routes.values()) {
                boolean silent = other.lastOkSent < r.outSince - SUSPECT;
                if (other.lane == r.lane && other.health == Health.GOOD && silent) {
                    begin(other, false);
                }
            }
        }
    }

    /** When the route may take another message: waits, back-off, pace; after failures, trials or ramp. */
    long opens(Route r, boolean joins) {
        long when = r.closedUntil();
        if (r.health == Health.RETURNING && turn.now - r.returnAt >= set.rules().cold()) {
            r.health = Health.GOOD;
            r.failing = 0;
            turn.log(r, "warm again");
        }
        if (r.health == Health.OUT) {
            if (r.trials > 0) {
                return NEVER;
            }
            when = Math.max(when, r.outSince + TRIAL_GAP);
        }
        if (r.health != Health.GOOD && r.confirmed && !joins) {
            when = Math.max(when, budgetAt(r));
        }
        long token = pace.tokenAt(r.lane);
        return joins ? when : Math.max(when, token);
    }

    /**
     * The earliest time for another call within this relay's part of what a cold route bears: an even one of
     * a rate that answers told. Of a listed rate it is the mean of an even one and of what this relay usually
     * sends: hundreds that each scale their own fit together.
     */
    private long budgetAt(Route r) {
        Rules rules = set.rules();
        double warm = rules.coldFrom();
        if (r.health == Health.RETURNING) {
            double age = Math.max(0, turn.now - r.returnAt - rules.tipAfter() / 2);
            warm += (1 - warm) * Math.min(1, age / Math.max(1, rules.cold()));
        }
        int routes = Math.max(1, r.dest.routes.size());
        double usual = r.dest.usualRate / routes;
        // A lane of one route has a rate of its own; only one that the routes share is split among them.
        double even = Pace.rate(r.lane) / set.relays() / (r.dest.shared == r.lane ? routes : 1);
        double listed = even / (set.weights() == Weights.ROUGH ? ROUGH_OVER : 1);
        // Guards places of which no rate is known against a part of any size: what is usual there must do.
        double part = r.lane.told ? TOLD_USED * even : r.lane.rated ? (listed + usual) / 2 : usual;
        double rate = Math.max(Backoff.RATE_LEAST, BUDGET_USED * rules.fallMultiple() * warm * part);
        return Math.max(r.lane.waitUntil, r.lastSent) + (long) (r.spacing * SECOND / rate);
    }

    /** A call goes out: in an outage it is a trial. */
    void sent(Route r, Attempt a) {
        r.lastSent = turn.now;
        r.spacing = 0.5 + random.nextDouble();
        if (r.health == Health.OUT) {
            r.trials++;
            a.trial = true;
        }
    }
}
