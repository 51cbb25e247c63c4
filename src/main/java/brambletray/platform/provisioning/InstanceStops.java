package brambletray.platform.provisioning;

import brambletray.platform.logging.EventLog;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.function.ToIntFunction;

/** Stops that homes or the provisioner request: each is called until the platform has answered 200 or 404. */
final class InstanceStops {
    private static final EventLog LOG = EventLog.of("provisioning");
    private static final int MAX_OPEN = 8_192;
    /** ms between two calls for one host. */
    private static final long MIN_BACKOFF_MS = 100;

    private static final long MAX_BACKOFF_MS = 1_000;

    private static final class PendingStop {
        private final String id;
        private final String reason;
        private final long requestedAtMs;
        private int attempts;
        private long nextAttemptMs;

        private PendingStop(String id, String reason, long now) {
            this.id = id;
            this.reason = reason;
            this.requestedAtMs = now;
            this.nextAttemptMs = now;
        }
    }

    private final ProvisioningActions actions;
    private final InstanceRegistry registry;
    private final WorkerPool workerPool;
    private final CallPacer callPacer;
    private final ToIntFunction<String> memoryMbOf;
    private final ArrayDeque<PendingStop> waiting = new ArrayDeque<>();
    private final Map<String, PendingStop> open = new HashMap<>();

    /** {@code memoryMbOf}: MB of a host of a service. */
    InstanceStops(
            ProvisioningActions actions,
            InstanceRegistry registry,
            WorkerPool workerPool,
            CallPacer callPacer,
            ToIntFunction<String> memoryMbOf) {
        this.actions = actions;
        this.registry = registry;
        this.workerPool = workerPool;
        this.callPacer = callPacer;
        this.memoryMbOf = memoryMbOf;
    }

    /** The host may be unknown: one that a former holder of the duty knew. */
    void request(String id, String reason, long now) {
        if (open.containsKey(id) || open.size() >= MAX_OPEN) {
            return;
        }
        InstanceLifecycle instance = registry.get(id);
        if (instance != null) {
            instance.stopping = true;
        }
        PendingStop stop = new PendingStop(id, reason, now);
        open.put(id, stop);
        waiting.add(stop);
    }

    boolean isRequested(String id) {
        return open.containsKey(id);
    }

    boolean isEmpty() {
        return open.isEmpty();
    }

    /** True when one has been called. */
    boolean callOne(long now) {
        for (Iterator<PendingStop> each = waiting.iterator(); each.hasNext(); ) {
            PendingStop stop = each.next();
            if (stop.nextAttemptMs <= now) {
                each.remove();
                stop.attempts++;
                callPacer.onCalled();
                actions.stopInstance(stop.id);
                return true;
            }
        }
        return false;
    }

    /** ms that the first of those that can be called has been waiting; -1: none. */
    long oldestWaitMs(long now) {
        PendingStop first = waiting.peekFirst();
        return first == null || first.nextAttemptMs > now ? -1 : now - first.requestedAtMs;
    }

    void onAnswered(String id, CallResult result, long now) {
        callPacer.onAnswered(result, now);
        PendingStop stop = open.get(id);
        if (stop == null) {
            return;
        }
        switch (result) {
            case OK, NO_SUCH -> complete(stop, result, now);
            case MALFORMED, REJECTED -> {
                LOG.warn("stop-response-invalid")
                        .with("host", id)
                        .with("result", result)
                        .log();
                complete(stop, result, now);
            }
            default -> {
                long backoffMs =
                        result == CallResult.FENCED ? MAX_BACKOFF_MS : MIN_BACKOFF_MS << Math.min(stop.attempts - 1, 4);
                stop.nextAttemptMs = now + Math.min(MAX_BACKOFF_MS, backoffMs);
                waiting.add(stop);
            }
        }
    }

    private void complete(PendingStop stop, CallResult result, long now) {
        open.remove(stop.id);
        InstanceLifecycle instance = registry.get(stop.id);
        if (instance == null) {
            registry.recordEnd(stop.id, stop.reason, true, now);
            return;
        }
        if (result == CallResult.OK) {
            workerPool.onStopped(instance.worker, memoryMbOf.applyAsInt(instance.service), now);
        }
        registry.onGone(instance, stop.reason, true, now);
    }
}
