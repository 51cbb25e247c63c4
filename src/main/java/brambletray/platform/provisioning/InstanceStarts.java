package brambletray.platform.provisioning;

import brambletray.platform.logging.EventLog;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.function.Function;

/**
 * The starts that homes want. Each goes through with the one nonce that its home chose, so that nobody, a successor
 * included, starts it twice: without an answer it is called again at the same worker, after 409 at another one.
 */
final class InstanceStarts {
    private static final EventLog LOG = EventLog.of("provisioning");
    private static final int MAX_OPEN = 2_048;
    /** ms; a start that has not been called, and not been asked for again for so long, is forgotten. */
    private static final long FORGET_MS = 3_000;
    /**
     * ms of waiting that each request that waits for the start counts as, and how many count: none is overtaken for
     * ever.
     */
    private static final int URGENCY_MS = 20;

    private static final int MAX_URGENCY = 50;
    /**
     * ms that a start comes later for each start of its service, as urgent, that is wanted before it: a first one goes
     * before a tenth.
     */
    private static final int RANK_MS = 200;
    /** ms between two looks at all that wait. */
    private static final long EXPIRY_CHECK_MS = 250;
    /**
     * ms until a home had better ask again: when all is full, when nothing could be called, when the service is not
     * known.
     */
    static final int RETRY_WHEN_FULL_MS = 500;

    static final int RETRY_WHEN_BUSY_MS = 300;
    static final int RETRY_WITHOUT_SERVICE_MS = 500;

    private static final int MAX_REJECTIONS = 8;
    /** ms between calls without an answer. */
    private static final long MIN_BACKOFF_MS = 50;

    private static final long MAX_BACKOFF_MS = 1_000;

    /** What becomes of a start. */
    interface Listener {
        void onStarted(PendingStart start, StartResponse response, long now);

        void onRejected(PendingStart start, int comeBackMs, String reason, long now);
    }

    private final ProvisioningActions actions;
    private final WorkerPool workerPool;
    private final Placement placement;
    private final CallPacer callPacer;
    private final ListPolling listPolling;
    private final Function<String, InstanceSize> sizes;
    private final Listener listener;
    private final MemoryPressure memoryPressure;
    private final Map<String, PendingStart> open = new HashMap<>();
    private final TreeSet<PendingStart> waiting =
            new TreeSet<>(Comparator.comparingLong(InstanceStarts::orderKey).thenComparing(start -> start.nonce));
    private final List<PendingStart> called = new ArrayList<>();
    private final Map<String, Integer> pending = new HashMap<>();
    private long nextExpiryCheckMs;

    InstanceStarts(
            ProvisioningActions actions,
            WorkerPool workerPool,
            PlatformTerms terms,
            CallPacer callPacer,
            ListPolling listPolling,
            Function<String, InstanceSize> sizes,
            Listener listener,
            MemoryPressure memoryPressure) {
        this.actions = actions;
        this.workerPool = workerPool;
        this.placement = new Placement(workerPool, terms);
        this.callPacer = callPacer;
        this.listPolling = listPolling;
        this.sizes = sizes;
        this.listener = listener;
        this.memoryPressure = memoryPressure;
    }

    /** The smallest goes first. */
    private static long orderKey(PendingStart start) {
        return start.requestedAtMs
                + (long) RANK_MS * start.rank
                - (long) URGENCY_MS * Math.min(MAX_URGENCY, start.urgency);
    }

    /** Pending starts of the same service and home zone with the same urgency. */
    private int equallyUrgentPending(StartRequest request) {
        int n = 0;
        for (PendingStart start : open.values()) {
            n += start.service.equals(request.service())
                            && start.homeZone.equals(request.homeZone())
                            && start.urgency >= request.urgency()
                    ? 1
                    : 0;
        }
        return n;
    }

    boolean isEmpty() {
        return open.isEmpty();
    }

    /** A start of the service has been called and not been answered: a host that nobody knows may be its. */
    boolean pending(String service) {
        return pending.containsKey(service);
    }

    /** Wants it, or wants it still. */
    void request(String edge, StartRequest request, long now) {
        PendingStart start = open.get(request.nonce());
        if (start == null) {
            start = new PendingStart(edge, request, equallyUrgentPending(request), now);
            if (open.size() >= MAX_OPEN) {
                listener.onRejected(start, RETRY_WHEN_BUSY_MS, "too many wait", now);
                return;
            }
            open.put(start.nonce, start);
            waiting.add(start);
            return;
        }
        start.edge = edge;
        start.lastRequestedAtMs = now;
        if (start.urgency != request.urgency()) {
            boolean waits = waiting.remove(start);
            start.urgency = request.urgency();
            if (waits) {
                waiting.add(start);
            }
        }
    }

    /** An edge is gone: what it wanted and has not been called is not wanted any more. */
    void forget(String edge) {
        for (PendingStart start : new ArrayList<>(waiting)) {
            if (start.edge.equals(edge)) {
                drop(start);
            }
        }
    }

    /** The service has another home: what the former one requested and has not been called is dropped. */
    void forget(String service, String homeZone, String home) {
        for (PendingStart start : new ArrayList<>(waiting)) {
            if (start.service.equals(service) && start.homeZone.equals(homeZone) && !start.edge.equals(home)) {
                drop(start);
            }
        }
    }

    /** True when one has been called. */
    boolean callOne(long now) {
        for (PendingStart start : called) {
            if (!start.inFlight && start.nextAttemptMs <= now) {
                call(start);
                return true;
            }
        }
        while (called.size() < CallPacer.MAX_WINDOW
                && workerPool.isKnown()
                && !waiting.isEmpty()
                && waiting.first().nextAttemptMs <= now) {
            PendingStart start = waiting.first();
            if (place(start, now)) {
                call(start);
                return true;
            }
        }
        return false;
    }

    /** Turns down what could not be called for long. */
    void tick(long now) {
        if (waiting.isEmpty() || now < nextExpiryCheckMs) {
            return;
        }
        nextExpiryCheckMs = now + EXPIRY_CHECK_MS;
        for (PendingStart start : new ArrayList<>(waiting)) {
            if (now - start.lastRequestedAtMs > FORGET_MS) {
                drop(start);
                listener.onRejected(start, RETRY_WHEN_BUSY_MS, "could not be called for long", now);
            }
        }
    }

    void onAnswered(String nonce, StartResponse response, long now) {
        callPacer.onAnswered(response.result(), now);
        PendingStart start = open.get(nonce);
        if (start == null || !start.inFlight) {
            return;
        }
        start.inFlight = false;
        switch (response.result()) {
            case OK -> {
                undoCall(start);
                open.remove(nonce);
                workerPool.confirm(start.reservation, now);
                listener.onStarted(start, response, now);
            }
            case REJECTED -> onWorkerRejected(start, now);
            case BUSY -> start.nextAttemptMs = now;
            case FENCED, UNKNOWN -> {
                boolean fenced = response.result() == CallResult.FENCED;
                start.outcomeUnknown |= !fenced;
                start.nextAttemptMs = now
                        + (fenced
                                ? MAX_BACKOFF_MS
                                : Math.min(MAX_BACKOFF_MS, MIN_BACKOFF_MS << Math.min(start.attempts - 1, 5)));
            }
            default -> {
                release(start);
                open.remove(nonce);
                listener.onRejected(start, 10 * RETRY_WITHOUT_SERVICE_MS, "the platform knows no such service", now);
            }
        }
    }

    /** 409: the nonce has not been used, so it is free for another worker. */
    private void onWorkerRejected(PendingStart start, long now) {
        LOG.debug("worker-rejected-start")
                .with("service", start.service)
                .with("worker", start.worker)
                .with("nonce", start.nonce)
                .with("refusals", start.rejectingWorkers.size() + 1)
                .log();
        InstanceSize size = sizes.apply(start.service);
        workerPool.onRejected(start.worker, size == null ? 1 : size.memoryMb(), now);
        listPolling.hasten();
        start.rejectingWorkers.add(start.worker);
        release(start);
        start.worker = null;
        start.outcomeUnknown = false;
        if (start.rejectingWorkers.size() >= MAX_REJECTIONS) {
            open.remove(start.nonce);
            if (start.urgency > 0) {
                memoryPressure.onNoRoom(now);
            }
            listener.onRejected(
                    start, RETRY_WHEN_FULL_MS, "refused by " + start.rejectingWorkers.size() + " workers", now);
        } else {
            waiting.add(start);
        }
    }

    /** Finds a worker for the first that waits; false: it has been turned down. */
    private boolean place(PendingStart start, long now) {
        InstanceSize size = sizes.apply(start.service);
        WorkerCapacity worker = size == null
                ? null
                : placement.choose(start.service, size.memoryMb(), start.homeZone, start.rejectingWorkers);
        if (worker == null) {
            drop(start);
            if (size != null && start.urgency > 0) {
                memoryPressure.onNoRoom(now);
            }
            listener.onRejected(
                    start,
                    size == null ? RETRY_WITHOUT_SERVICE_MS : RETRY_WHEN_FULL_MS,
                    size == null ? "no such service" : "no room anywhere",
                    now);
            return false;
        }
        waiting.remove(start);
        start.worker = worker.name;
        start.zone = worker.zone;
        start.reservation = workerPool.reserve(worker.name, size.memoryMb());
        workerPool.instances(worker.name, start.service, 1);
        called.add(start);
        pending.merge(start.service, 1, Integer::sum);
        return true;
    }

    private void call(PendingStart start) {
        start.inFlight = true;
        start.attempts++;
        callPacer.onCalled();
        actions.startInstance(start.service, start.worker, start.nonce);
    }

    private void drop(PendingStart start) {
        waiting.remove(start);
        open.remove(start.nonce);
    }

    /** It is not at its worker after all. */
    private void release(PendingStart start) {
        undoCall(start);
        workerPool.release(start.worker, start.reservation);
    }

    private void undoCall(PendingStart start) {
        if (called.remove(start)) {
            workerPool.instances(start.worker, start.service, -1);
            pending.computeIfPresent(start.service, (name, many) -> many == 1 ? null : many - 1);
        }
    }
}
