package brambletray.platform.proxy;

import brambletray.platform.admission.AttemptOutcome;
import brambletray.platform.admission.SlotGrant;
import java.util.ArrayList;
import java.util.List;

/** The attempts of one request and the slots that they hold; each slot is released exactly once. */
final class Attempts {
    private final RequestActions actions;
    private final long deadlineMs;
    private final List<Attempt> all = new ArrayList<>(2);
    private final List<String> instances = new ArrayList<>(2);
    private int activeCount;
    private RunState endedRunState = RunState.NOT_RUN;

    /** {@code deadlineMs}: when the request's time is over, ms. */
    Attempts(RequestActions actions, long deadlineMs) {
        this.actions = actions;
        this.deadlineMs = deadlineMs;
    }

    Attempt add(SlotGrant grant, boolean hedge, long now) {
        Attempt attempt = new Attempt(grant, hedge, now);
        all.add(attempt);
        instances.add(grant.instanceId());
        activeCount++;
        return attempt;
    }

    int activeCount() {
        return activeCount;
    }

    /** Whether the slot of this request id is in use. */
    boolean isActive(long requestId) {
        for (int i = 0; i < all.size(); i++) {
            if (all.get(i).active && all.get(i).grant.requestId() == requestId) {
                return true;
            }
        }
        return false;
    }

    /** What is known of whether the request ran at any host. */
    RunState runState() {
        for (int i = 0; i < all.size(); i++) {
            if (all.get(i).active && all.get(i).isSent()) {
                return endedRunState.combine(RunState.MAY_HAVE_RUN);
            }
        }
        return endedRunState;
    }

    /** All so far, used or not reached. */
    List<String> instances() {
        return List.copyOf(instances);
    }

    /** Releases the slot with the attempt's outcome; false if it has been released already. */
    boolean complete(Attempt attempt, AttemptOutcome outcome, int durationMs) {
        if (!attempt.active) {
            return false;
        }
        attempt.active = false;
        activeCount--;
        if (attempt.isSent()) {
            endedRunState = endedRunState.combine(RunState.of(outcome));
        }
        actions.releaseSlot(attempt.grant, outcome, durationMs);
        return true;
    }

    /** Closes its connection; a slot for which nothing was sent is released as unused. */
    void cancel(Attempt attempt, AttemptOutcome outcome, long now) {
        actions.cancel(attempt);
        if (attempt.isSent()) {
            complete(attempt, outcome, (int) (now - attempt.sentAtMs));
        } else {
            releaseUnsent(attempt);
        }
    }

    /** Releases the slot as unused; false if it has been released already. */
    boolean releaseUnsent(Attempt attempt) {
        if (!attempt.active) {
            return false;
        }
        attempt.active = false;
        activeCount--;
        actions.cancelSlotRequest(attempt.grant.requestId());
        return true;
    }

    /** The first usable answer settles: all others are called off. */
    void cancelOthers(Attempt winner, long now) {
        for (int i = 0; i < all.size(); i++) {
            Attempt attempt = all.get(i);
            if (attempt.active && attempt != winner) {
                if (attempt.isSent() && !attempt.hedge) {
                    // Guards the delay of copies against forgetting the slow: it took this long at least.
                    actions.recordResponseTime((int) (now - attempt.sentAtMs));
                }
                cancel(attempt, AttemptOutcome.CANCELLED, now);
            }
        }
    }

    /**
     * Nobody waits any more: what no host has is dropped, the rest is left to finish there; true where there is such.
     */
    boolean onClientGone(long now) {
        for (int i = 0; i < all.size(); i++) {
            Attempt attempt = all.get(i);
            if (attempt.active && !attempt.isSent()) {
                cancel(attempt, AttemptOutcome.CANCELLED, now);
            }
        }
        return activeCount > 0;
    }

    /** A host that has not answered by now will not. */
    void cancelAll(long now) {
        for (int i = 0; i < all.size(); i++) {
            Attempt attempt = all.get(i);
            if (attempt.active) {
                cancel(attempt, now >= deadlineMs ? AttemptOutcome.SILENT : AttemptOutcome.CANCELLED, now);
            }
        }
    }
}
