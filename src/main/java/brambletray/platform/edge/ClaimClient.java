package brambletray.platform.edge;

import brambletray.platform.operations.ClaimGranted;
import brambletray.platform.operations.ClaimHeld;
import brambletray.platform.operations.ClaimId;
import brambletray.platform.operations.ClaimRelease;
import brambletray.platform.operations.ClaimReleased;
import brambletray.platform.operations.ClaimRequest;
import brambletray.platform.operations.ClaimUnavailable;
import brambletray.platform.operations.OperationKey;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.LongSupplier;

/**
 * Requests claims at the coordinator and releases them. Requests that the former coordinator has not answered are sent
 * to the next one under the same id; releases until they are acknowledged. A claim that nobody waits for any more is
 * released, as it may have been committed. Times are steady ms. For the event loop only.
 */
final class ClaimClient {
    /** ms after which a release that was not acknowledged is sent again. */
    private static final int RELEASE_RETRY_MS = 1_000;
    /** Claims that wait at one time. */
    private static final int MAX_PENDING = 8_192;
    /** Time to retry in ms while no coordinator is found: about as long as the next one takes. */
    private static final int NO_COORDINATOR_RETRY_MS = 800;
    /** Time to retry in ms where a coordinator does not answer in time. */
    private static final int SLOW_COORDINATOR_RETRY_MS = 300;

    /** How it reaches the coordinator. */
    interface Transport {
        /** False where there is none; the frame is lost. */
        boolean sendToCoordinator(Object frame);

        /** Requests {@link #tick} at this time, steady ms; only the earliest request is remembered. */
        void scheduleTick(long atMs);
    }

    /** What a claim hears: one of these, once. */
    interface Listener {
        void onGranted(ClaimId claim, long claimedAtMs);

        void onHeld(ClaimId holder, String holderEdge);

        void onUnavailable(int retryAfterMs);
    }

    private static final class PendingClaim {
        private final OperationKey key;
        private final long claimedAtMs;
        private final long giveUpAtMs;
        private final Listener listener;
        private boolean isRepeated;

        PendingClaim(OperationKey key, long claimedAtMs, long giveUpAtMs, Listener listener) {
            this.key = key;
            this.claimedAtMs = claimedAtMs;
            this.giveUpAtMs = giveUpAtMs;
            this.listener = listener;
        }
    }

    private record PendingRelease(OperationKey key, long claimedAtMs) {}

    private final long incarnation;
    private final int windowMs;
    private final Transport transport;
    private final LongSupplier clock;
    private final Map<ClaimId, PendingClaim> pending = new LinkedHashMap<>();
    private final Map<ClaimId, PendingRelease> releases = new LinkedHashMap<>();
    private long lastSequence;
    private long releasesSentAtMs;
    private boolean coordinatorMissing = true;

    /** {@code windowMs}: for how long a claim stands at the coordinator, and a release is worth sending. */
    ClaimClient(long incarnation, int windowMs, Transport transport, LongSupplier clock) {
        this.incarnation = incarnation;
        this.windowMs = windowMs;
        this.transport = transport;
        this.clock = clock;
    }

    /** Requests a claim and returns its id; the listener is not called before this returns. Null: too many wait. */
    ClaimId claim(OperationKey key, int maxWaitMs, Listener listener) {
        if (pending.size() >= MAX_PENDING) {
            return null;
        }
        long now = clock.getAsLong();
        ClaimId claim = new ClaimId(incarnation, ++lastSequence);
        pending.put(claim, new PendingClaim(key, now, now + maxWaitMs, listener));
        send(new ClaimRequest(claim, key));
        transport.scheduleTick(now + maxWaitMs);
        return claim;
    }

    /** Whether this claim was requested, and is neither granted nor refused yet. */
    boolean isPending(ClaimId claim) {
        return pending.containsKey(claim);
    }

    /** Nobody waits for this claim any more. */
    void cancel(ClaimId claim) {
        PendingClaim cancelled = pending.remove(claim);
        if (cancelled != null) {
            release(claim, cancelled.key);
        }
    }

    /** The request of this claim has not run and never will. */
    void release(ClaimId claim, OperationKey key) {
        if (releases.isEmpty()) {
            releasesSentAtMs = clock.getAsLong();
        }
        releases.put(claim, new PendingRelease(key, clock.getAsLong()));
        send(new ClaimRelease(claim, key));
        transport.scheduleTick(clock.getAsLong() + RELEASE_RETRY_MS);
    }

    private void send(Object frame) {
        coordinatorMissing = !transport.sendToCoordinator(frame);
    }

    /** A coordinator has been found: all that the former one has not answered is sent again. */
    void onAttached() {
        pending.forEach((claim, waiting) -> {
            waiting.isRepeated = true;
            send(new ClaimRequest(claim, waiting.key));
        });
        sendReleases();
    }

    private void sendReleases() {
        releasesSentAtMs = clock.getAsLong();
        releases.forEach((claim, release) -> send(new ClaimRelease(claim, release.key())));
    }

    /** A frame of the coordinator; false: not for this class. */
    boolean onFrame(Object frame) {
        if (frame instanceof ClaimGranted granted) {
            PendingClaim waiting = pending.remove(granted.claim());
            if (waiting != null) {
                waiting.listener.onGranted(granted.claim(), waiting.claimedAtMs);
            }
        } else if (frame instanceof ClaimHeld held) {
            PendingClaim waiting = pending.remove(held.claim());
            if (waiting != null) {
                if (waiting.isRepeated) {
                    // Its other request may be granted yet, once the holder's claim is released.
                    release(held.claim(), waiting.key);
                }
                waiting.listener.onHeld(held.holder(), held.holderEdge());
            }
        } else if (frame instanceof ClaimUnavailable unavailable) {
            giveUp(unavailable.claim(), unavailable.retryAfterMs());
        } else if (frame instanceof ClaimReleased released) {
            releases.remove(released.claim());
        } else {
            return false;
        }
        return true;
    }

    private void giveUp(ClaimId claim, int retryAfterMs) {
        PendingClaim waiting = pending.get(claim);
        if (waiting != null) {
            cancel(claim);
            waiting.listener.onUnavailable(retryAfterMs);
        }
    }

    /** When {@link #tick} is next needed; {@link Long#MAX_VALUE}: never. */
    private long nextDueMs() {
        long due = releases.isEmpty() ? Long.MAX_VALUE : releasesSentAtMs + RELEASE_RETRY_MS;
        for (PendingClaim waiting : pending.values()) {
            due = Math.min(due, waiting.giveUpAtMs);
        }
        return due;
    }

    void tick() {
        long now = clock.getAsLong();
        Map<ClaimId, PendingClaim> waiting = new HashMap<>(pending);
        waiting.forEach((claim, one) -> {
            if (now >= one.giveUpAtMs) {
                giveUp(claim, coordinatorMissing ? NO_COORDINATOR_RETRY_MS : SLOW_COORDINATOR_RETRY_MS);
            }
        });
        releases.values().removeIf(release -> now - release.claimedAtMs() > windowMs);
        if (!releases.isEmpty() && now - releasesSentAtMs >= RELEASE_RETRY_MS) {
            sendReleases();
        }
        long due = nextDueMs();
        if (due != Long.MAX_VALUE) {
            transport.scheduleTick(due);
        }
    }

    /** Releases that are not acknowledged yet. */
    int releaseCount() {
        return releases.size();
    }
}
