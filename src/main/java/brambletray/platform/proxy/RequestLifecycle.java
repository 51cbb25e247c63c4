package brambletray.platform.proxy;

import brambletray.platform.admission.AttemptOutcome;
import brambletray.platform.admission.SlotGrant;
import brambletray.platform.admission.SlotRequest;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;

/**
 * One request's life, from when it was read to its one answer and to the end of its work at hosts. Pure: events come in
 * with their time, what is to be done goes out through {@link RequestActions}.
 *
 * <p>What may be sent where: a repeatable request to at most {@code mostHosts} hosts; any other to the next one only
 * after proof that it did not run (rule TWICE). The design on the ordinary path: when no answer has come after the
 * service's delay, a copy goes to another host if a place is free there now; the first answer settles, the others are
 * cancelled. A request that has been given up is answered at once: 503 if it provably never ran (rule REFUSED), 504 at
 * the end of its time, 502 else.
 */
final class RequestLifecycle {
    /** ms before the end: our own answer has to reach the client; and so much sooner does a host stop. */
    private static final int ANSWER_MARGIN = 20;

    private static final int HOST_MARGIN = 10;
    /** ms after the end: a host that has said nothing by then will not. */
    private static final int LINGER = 150;
    /** ms until a copy that found no place asks again, at least; how often one asks; hosts that may be out of reach. */
    private static final int COPY_AGAIN = 50;

    private static final int COPY_ASKS = 4;
    private static final int UNREACHED_MOST = 4;

    private final RequestPlan plan;
    private final RequestActions hands;
    private final IntSupplier delayMs;
    private final LongSupplier askIds;
    private final String edge;
    private final String zone;
    private final Attempts attempts;
    private final long lastCall;
    /** The ask that is out; 0 for none. */
    private long asking;

    private boolean askingCopy;
    private int sentHosts;
    private int unreached;
    private int copyAsks;
    /** ms; 0: no copy is due. */
    private long copyAt;
    /** A host has or may have run it, and its answer was not one. */
    private boolean unproven;

    private int comeBackMs = -1;
    /** A host's own failure: the answer if nothing better comes. */
    private Attempt held;

    private Attempt flowing;
    private boolean settled;

    RequestLifecycle(
            RequestPlan plan,
            RequestActions hands,
            IntSupplier delayMs,
            LongSupplier askIds,
            String edge,
            String zone,
            long now) {
        this.plan = plan;
        this.hands = hands;
        this.delayMs = delayMs;
        this.askIds = askIds;
        this.edge = edge;
        this.zone = zone;
        this.attempts = new Attempts(hands, plan.end());
        this.lastCall = plan.end() - Math.min(ANSWER_MARGIN, Math.max(0, plan.end() - now) / 8);
    }

    void begin(long now) {
        if (now >= lastCall) {
            conclude(now);
        } else {
            request(false, now);
        }
    }

    /** The client has its answer, or is gone. */
    boolean settled() {
        return settled;
    }

    /** Nothing more will happen. */
    boolean over() {
        return settled && asking == 0 && attempts.live() == 0;
    }

    /** When {@link #tick} is next needed, ms; {@link Long#MAX_VALUE}: never. */
    long due() {
        if (settled) {
            return attempts.live() == 0 ? Long.MAX_VALUE : plan.end() + LINGER;
        }
        return copyAt != 0 && asking == 0 ? Math.min(copyAt, lastCall) : lastCall;
    }

    // ---- Places ---------------------------------------------------------------------------------
    private void request(boolean copy, long now) {
        asking = askIds.getAsLong();
        askingCopy = copy;
        copyAsks += copy ? 1 : 0;
        hands.ask(new SlotRequest(
                asking,
                edge,
                zone,
                plan.service(),
                plan.priority(),
                (int) Math.min(Integer.MAX_VALUE, plan.end() - now),
                plan.targetMs(),
                copy,
                sentHosts > 0,
                plan.inner(),
                attempts.hosts()));
    }

    void granted(SlotGrant grant, long now) {
        if (grant.askId() != asking) {
            // Guards places against leaking: this ask was forgotten while its grant was under way. One that comes twice
            // is in use.
            if (!attempts.holds(grant.askId())) {
                hands.forget(grant.askId());
            }
            return;
        }
        asking = 0;
        if (now >= lastCall) {
            hands.forget(grant.askId());
            tick(now);
            return;
        }
        if (askingCopy && !copyWanted()) {
            hands.forget(grant.askId());
            next(now);
            return;
        }
        hands.send(attempts.add(grant, askingCopy, now), plan.end() - HOST_MARGIN);
    }

    void refused(long askId, int comeBackMs, long now) {
        if (askId != asking) {
            return;
        }
        asking = 0;
        if (askingCopy && attempts.live() > 0) {
            copyAt = copyAsks < COPY_ASKS ? now + Math.max(COPY_AGAIN, comeBackMs) : 0;
        } else if (askingCopy) {
            next(now);
        } else {
            this.comeBackMs = comeBackMs;
            conclude(now);
        }
    }

    // ---- At hosts -------------------------------------------------------------------------------
    /** The first byte has gone out. */
    void sent(Attempt attempt, long now) {
        if (!attempt.live || attempt.sent()) {
            return;
        }
        attempt.sentAt = now;
        sentHosts++;
        copyAt = copyWanted() ? now + Math.max(1, delayMs.getAsInt()) : 0;
    }

    /** No connection came up: it did not run, and did not arrive. */
    void unreached(Attempt attempt, long now) {
        if (attempts.end(attempt, AttemptOutcome.UNREACHED, (int) (now - attempt.grantedAt))) {
            unreached++;
            copyAt = copyWanted() ? now + COPY_AGAIN : 0;
            next(now);
        }
    }

    /**
     * A host's whole answer, or what stands for one: SERVED, NOT_RUN, WRONG_HOST, FAILED or BROKEN. {@code withheld}:
     * it must not be passed on, as its status promises that the request did not run (408, 421, 429, 503) without proof
     * of it, or it was too large to be held.
     */
    void ended(Attempt attempt, AttemptOutcome fate, boolean withheld, long now) {
        int took = (int) (now - (attempt.sent() ? attempt.sentAt : attempt.grantedAt));
        if (!attempts.end(attempt, fate, took)) {
            return;
        }
        if (attempt == flowing) {
            flowed(fate);
            return;
        }
        if (fate == AttemptOutcome.SERVED) {
            hands.took(took);
            if (!settled) {
                settle(attempt, now);
                hands.pass(attempt);
            }
            return;
        }
        unproven |= fate == AttemptOutcome.FAILED || fate == AttemptOutcome.BROKEN;
        if (fate == AttemptOutcome.FAILED && !withheld) {
            held = attempt;
        }
        next(now);
    }

    private void flowed(AttemptOutcome fate) {
        flowing = null;
        if (fate == AttemptOutcome.SERVED) {
            hands.flowed();
        } else {
            hands.cut();
        }
    }

    /** An answer too large to be held back is coming: true if it is the client's. */
    boolean flowing(Attempt attempt, long now) {
        if (settled || !attempt.live) {
            return false;
        }
        settle(attempt, now);
        flowing = attempt;
        hands.flow(attempt);
        return true;
    }

    /** The first usable answer settles; what else is out is called off. */
    private void settle(Attempt winner, long now) {
        close();
        attempts.callOffOthers(winner, now);
    }

    /** No more is asked for. */
    private void close() {
        settled = true;
        copyAt = 0;
        if (asking != 0) {
            long id = asking;
            asking = 0;
            hands.forget(id);
        }
    }

    // ---- What next ------------------------------------------------------------------------------
    /** After an end that is no answer: wait for what is out, go to another host, or give up. */
    private void next(long now) {
        if (settled || asking != 0 || attempts.live() > 0) {
            return;
        }
        copyAt = 0;
        if (now < lastCall
                && sentHosts < plan.mostHosts()
                && (plan.repeatable() || !unproven)
                && unreached < UNREACHED_MOST) {
            request(false, now);
        } else {
            conclude(now);
        }
    }

    private void conclude(long now) {
        settled = true;
        copyAt = 0;
        if (held != null) {
            hands.pass(held);
        } else if (!unproven) {
            hands.own(503, comeBackMs);
        } else {
            hands.own(now >= lastCall ? 504 : 502, -1);
        }
    }

    private boolean copyWanted() {
        return !settled && plan.repeatable() && sentHosts < plan.mostHosts() && sentHosts > 0;
    }

    void tick(long now) {
        if (settled) {
            if (now >= plan.end() + LINGER) {
                attempts.giveUp(now);
                if (flowing != null) {
                    flowed(AttemptOutcome.SILENT);
                }
            }
        } else if (now >= lastCall) {
            timeUp(now);
        } else if (copyAt != 0 && now >= copyAt && asking == 0) {
            copyAt = 0;
            if (attempts.live() > 0 && copyWanted()) {
                request(true, now);
            }
        }
    }

    /** The client is answered; what is at a host is left to finish there. */
    private void timeUp(long now) {
        close();
        unproven |= attempts.leave(now);
        conclude(now);
    }

    /**
     * No time is left, though the request's own is not over: the client is answered now unless its answer has begun.
     */
    void giveUp(long now) {
        if (!settled) {
            timeUp(now);
        }
    }

    /** The client has gone: what no host has is dropped, the rest is left to finish (breaking off is priced). */
    void gone(long now) {
        if (!settled) {
            close();
            attempts.leave(now);
        }
    }
}
