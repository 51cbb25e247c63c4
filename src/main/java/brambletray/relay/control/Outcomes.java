package brambletray.relay.control;

import brambletray.relay.control.Relay.Ended;
import brambletray.relay.control.Relay.Outcome;
import brambletray.relay.control.State.Attempt;
import brambletray.relay.control.State.Health;
import brambletray.relay.control.State.Route;

/** Learning: what each outcome of a call tells of its destination, lane, route and connections. */
record Outcomes(
        AnswerTimes times, Window window, Pace pace, Backoff backoff, Connections connections, Outages outages) {
    /** Learns from how an attempt ended. */
    void observe(Attempt a, Ended e) {
        Route r = a.route;
        Outcome outcome = e.outcome();
        // Messages of one call mostly fare alike: what tells of its host is counted once.
        boolean news = a.call.told.add(outcome);
        boolean noPlace = outcome == Outcome.FULL && connections.noPlace(a, e);
        if (a.again && (outcome == Outcome.OK || outcome == Outcome.FULL && !noPlace)) {
            backoff.learn(a, outcome == Outcome.OK);
        }
        if (outcome == Outcome.OK) {
            times.answered(a, e.latency());
            connections.answered(a);
            window.grow(r.dest);
            backoff.answered(r);
            pace.answered(r.lane);
            outages.answered(a);
        } else if (outcome == Outcome.TIMEOUT) {
            outages.timedOut(a, news);
        } else if (noPlace && news) {
            connections.turnedAway(a);
        } else if (news) {
            failed(a, e);
        }
        backoff.waits(r.lane, e.waitFor());
        if (outcome == Outcome.OK || outcome == Outcome.FULL || outcome == Outcome.ERROR) {
            r.broken = 0;
        }
        if (e.limit() > 0) {
            pace.told(r, e.limit(), e.left());
        }
    }

    private void failed(Attempt a, Ended e) {
        Route r = a.route;
        switch (e.outcome()) {
            case FULL -> {
                Window.halve(r.dest);
                if (backoff.refused(a, e.waitFor()) || r.health == Health.OUT) {
                    outages.begin(r, true);
                }
            }
            case CONNECT_FAILED -> outages.connectFailed(a, e.latency());
            case CONNECT_RESET, RESET -> outages.broken(a, e);
            case ERROR -> outages.failed(a);
            default -> {}
        }
    }
}
