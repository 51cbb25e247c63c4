package brambletray.platform.edge;

import brambletray.platform.operations.ClaimGranted;
import brambletray.platform.operations.ClaimHeld;
import brambletray.platform.operations.ClaimId;
import brambletray.platform.operations.ClaimRelease;
import brambletray.platform.operations.ClaimReleased;
import brambletray.platform.operations.ClaimRequest;
import brambletray.platform.operations.ClaimUnavailable;
import brambletray.platform.operations.OperationIdentity;
import brambletray.platform.operations.OperationKey;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.LongSupplier;

/**
 * Requests claims at the coordinator and releases them. Requests that the former coordinator has not answered are sent
 * to the next one under the same id; releases are repeated until they are acknowledged. A cancelled claim is released,
 * because it may have been committed. Times are monotonic ms. Confined to the event loop.
 */
final class ClaimClient {
    /** Time in ms after which an unacknowledged release is sent again. */
    private static final int RELEASE_RETRY_MS = 1_000;
    /** Maximum number of pending claims. */
    private static final int MAX_PENDING = 8_192;
    /** Retry delay in ms if there is no coordinator: about the time until the next one acts. */
    private static final int NO_COORDINATOR_RETRY_MS = 800;
    /** Retry delay in ms if the coordinator does not answer in time. */
    private static final int SLOW_COORDINATOR_RETRY_MS = 300;

    /** Delivers frames to the coordinator and schedules ticks. */
    interface Transport {
        /** Returns false if there is none; the frame is lost. */
        boolean sendToCoordinator(Object frame);

        /** Requests {@link #tick} at this time, monotonic ms; only the earliest requested time is kept. */
        void scheduleTick(long atMs);
    }

    /** Exactly one of these methods is called, once; none after {@link #cancel}. */
    interface Listener {
        void onGranted(ClaimId claim, long claimedAtMs);

        void onHeld(ClaimId holder, String holderEdge);

        void onUnavailable(int retryAfterMs);
    }

    private static final class PendingClaim {
        private final OperationIdentity operation;
        private final long claimedAtMs;
        private final long giveUpAtMs;
        private final Listener listener;
        private boolean isRepeated;

        PendingClaim(OperationIdentity operation, long claimedAtMs, long giveUpAtMs, Listener listener) {
            this.operation = operation;
            this.claimedAtMs = claimedAtMs;
            this.giveUpAtMs = giveUpAtMs;
            this.listener = listener;
        }

        OperationKey key() {
            return operation.names().byTenant();
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

    /** {@code windowMs}: time for which the coordinator keeps a claim; releases are repeated no longer than that. */
    ClaimClient(long incarnation, int windowMs, Transport transport, LongSupplier clock) {
        this.incarnation = incarnation;
        this.windowMs = windowMs;
        this.transport = transport;
        this.clock = clock;
    }

    /** Requests a claim and returns its id, or null if too many are pending; calls the listener only afterwards. */
    ClaimId claim(OperationIdentity operation, int maxWaitMs, Listener listener) {
        if (pending.size() >= MAX_PENDING) {
            return null;
        }
        long now = clock.getAsLong();
        ClaimId claim = new ClaimId(incarnation, ++lastSequence);
        pending.put(claim, new PendingClaim(operation, now, now + maxWaitMs, listener));
        send(new ClaimRequest(claim, operation));
        transport.scheduleTick(now + maxWaitMs);
        return claim;
    }

    /** Whether this claim was requested and is not answered yet. */
    boolean isPending(ClaimId claim) {
        return pending.containsKey(claim);
    }

    /** Cancels a pending claim and releases it. */
    void cancel(ClaimId claim) {
        PendingClaim cancelled = pending.remove(claim);
        if (cancelled != null) {
            release(claim, cancelled.key());
        }
    }

    /** Releases a claim whose request has not run and never will. */
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

    /** Sends the new coordinator everything that the former one has not answered. */
    void onAttached() {
        pending.forEach((claim, waiting) -> {
            waiting.isRepeated = true;
            send(new ClaimRequest(claim, waiting.operation));
        });
        sendReleases();
    }

    private void sendReleases() {
        releasesSentAtMs = clock.getAsLong();
        releases.forEach((claim, release) -> send(new ClaimRelease(claim, release.key())));
    }

    /** Handles a frame of the coordinator; returns false if it is not for this class. */
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
                    // The other copy of the request may still be granted once the holder's claim is released.
                    release(held.claim(), waiting.key());
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
        waiting.forEach((claim, pendingClaim) -> {
            if (now >= pendingClaim.giveUpAtMs) {
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

    /** Number of unacknowledged releases. */
    int releaseCount() {
        return releases.size();
    }
}
