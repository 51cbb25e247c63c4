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

    /** {@code deadlineMs}: the request's deadline, ms. */
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

    /** Number of active attempts of which at least one byte was sent. */
    int sentCount() {
        int sent = 0;
        for (int i = 0; i < all.size(); i++) {
            sent += all.get(i).active && all.get(i).isSent() ? 1 : 0;
        }
        return sent;
    }

    /** Whether the slot granted for this request id is in use. */
    boolean isActive(long requestId) {
        for (int i = 0; i < all.size(); i++) {
            if (all.get(i).active && all.get(i).grant.requestId() == requestId) {
                return true;
            }
        }
        return false;
    }

    /** What is known about whether the request ran at any host. */
    RunState runState() {
        for (int i = 0; i < all.size(); i++) {
            if (all.get(i).active && all.get(i).isSent()) {
                return endedRunState.combine(RunState.MAY_HAVE_RUN);
            }
        }
        return endedRunState;
    }

    /** All instances for which a slot was granted so far, including those that were not reached. */
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

    /** Closes the attempt's connection and releases its slot; as unused if nothing was sent. */
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

    /** Cancels all other attempts after the first usable response. */
    void cancelOthers(Attempt winner, long now) {
        for (int i = 0; i < all.size(); i++) {
            Attempt attempt = all.get(i);
            if (attempt.active && attempt != winner) {
                if (attempt.isSent() && !attempt.hedge) {
                    // Records the time so far as a lower bound: without the cancelled slow attempts, the hedging delay
                    // would be derived from fast responses only.
                    actions.recordResponseTime((int) (now - attempt.sentAtMs));
                }
                cancel(attempt, AttemptOutcome.CANCELLED, now);
            }
        }
    }

    /** Cancels the attempts of which nothing was sent; true if others are left, which their hosts may finish. */
    boolean cancelUnsent(long now) {
        for (int i = 0; i < all.size(); i++) {
            Attempt attempt = all.get(i);
            if (attempt.active && !attempt.isSent()) {
                cancel(attempt, AttemptOutcome.CANCELLED, now);
            }
        }
        return activeCount > 0;
    }

    /** Cancels all active attempts; a host that has not answered by the deadline is reported as silent. */
    void cancelAll(long now) {
        for (int i = 0; i < all.size(); i++) {
            Attempt attempt = all.get(i);
            if (attempt.active) {
                cancel(attempt, now >= deadlineMs ? AttemptOutcome.SILENT : AttemptOutcome.CANCELLED, now);
            }
        }
    }
}
