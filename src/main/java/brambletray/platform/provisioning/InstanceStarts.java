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
    private static final int MOST = 2_048;
    /** ms; a start that has not been called, and not been asked for again for so long, is forgotten. */
    private static final long FORGET = 3_000;
    /**
     * ms of waiting that each request that waits for the start counts as, and how many count: none is overtaken for
     * ever.
     */
    private static final int URGENCY_MS = 20;

    private static final int URGENCY_MOST = 50;
    /**
     * ms that a start comes later for each start of its service, as urgent, that is wanted before it: a first one goes
     * before a tenth.
     */
    private static final int RANK_MS = 200;
    /** ms between two looks at all that wait. */
    private static final long LOOK = 250;
    /**
     * ms until a home had better ask again: when all is full, when nothing could be called, when the service is not
     * known.
     */
    static final int FULL = 500;

    static final int BUSY = 300;
    static final int NO_SERVICE = 500;

    private static final int REFUSALS_MOST = 8;
    /** ms between calls without an answer. */
    private static final long PAUSE_LEAST = 50;

    private static final long PAUSE_MOST = 1_000;

    /** What becomes of a start. */
    interface Ends {
        void started(PendingStart start, StartResponse begun, long now);

        void turnedDown(PendingStart start, int comeBackMs, String why, long now);
    }

    private final ProvisioningActions hands;
    private final WorkerPool fleet;
    private final Placement placement;
    private final CallPacer pace;
    private final ListPolling polls;
    private final Function<String, InstanceSize> sizes;
    private final Ends ends;
    private final MemoryPressure pressure;
    private final Map<String, PendingStart> open = new HashMap<>();
    private final TreeSet<PendingStart> waiting =
            new TreeSet<>(Comparator.comparingLong(InstanceStarts::turn).thenComparing(start -> start.nonce));
    private final List<PendingStart> called = new ArrayList<>();
    private final Map<String, Integer> pending = new HashMap<>();
    private long nextLook;

    InstanceStarts(
            ProvisioningActions hands,
            WorkerPool fleet,
            PlatformTerms terms,
            CallPacer pace,
            ListPolling polls,
            Function<String, InstanceSize> sizes,
            Ends ends,
            MemoryPressure pressure) {
        this.hands = hands;
        this.fleet = fleet;
        this.placement = new Placement(fleet, terms);
        this.pace = pace;
        this.polls = polls;
        this.sizes = sizes;
        this.ends = ends;
        this.pressure = pressure;
    }

    /** The smallest goes first. */
    private static long turn(PendingStart start) {
        return start.since + (long) RANK_MS * start.rank - (long) URGENCY_MS * Math.min(URGENCY_MOST, start.urgency);
    }

    /** Starts of the same service and seat that are as urgent, and not answered. */
    private int before(StartRequest need) {
        int n = 0;
        for (PendingStart start : open.values()) {
            n += start.service.equals(need.service())
                            && start.seat.equals(need.seat())
                            && start.urgency >= need.urgency()
                    ? 1
                    : 0;
        }
        return n;
    }

    boolean empty() {
        return open.isEmpty();
    }

    /** A start of the service has been called and not been answered: a host that nobody knows may be its. */
    boolean pending(String service) {
        return pending.containsKey(service);
    }

    /** Wants it, or wants it still. */
    void want(String edge, StartRequest need, long now) {
        PendingStart start = open.get(need.nonce());
        if (start == null) {
            start = new PendingStart(edge, need, before(need), now);
            if (open.size() >= MOST) {
                ends.turnedDown(start, BUSY, "too many wait", now);
                return;
            }
            open.put(start.nonce, start);
            waiting.add(start);
            return;
        }
        start.edge = edge;
        start.askedAt = now;
        if (start.urgency != need.urgency()) {
            boolean waits = waiting.remove(start);
            start.urgency = need.urgency();
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

    /** The seat has another home: what its former one wanted and has not been called is not wanted any more. */
    void forget(String service, String seat, String home) {
        for (PendingStart start : new ArrayList<>(waiting)) {
            if (start.service.equals(service) && start.seat.equals(seat) && !start.edge.equals(home)) {
                drop(start);
            }
        }
    }

    /** True when one has been called. */
    boolean callOne(long now) {
        for (PendingStart start : called) {
            if (!start.out && start.next <= now) {
                call(start);
                return true;
            }
        }
        while (called.size() < CallPacer.WINDOW_MOST
                && fleet.known()
                && !waiting.isEmpty()
                && waiting.first().next <= now) {
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
        if (waiting.isEmpty() || now < nextLook) {
            return;
        }
        nextLook = now + LOOK;
        for (PendingStart start : new ArrayList<>(waiting)) {
            if (now - start.askedAt > FORGET) {
                drop(start);
                ends.turnedDown(start, BUSY, "could not be called for long", now);
            }
        }
    }

    void answered(String nonce, StartResponse begun, long now) {
        pace.answered(begun.result(), now);
        PendingStart start = open.get(nonce);
        if (start == null || !start.out) {
            return;
        }
        start.out = false;
        switch (begun.result()) {
            case OK -> {
                uncall(start);
                open.remove(nonce);
                fleet.taken(start.hold, now);
                ends.started(start, begun, now);
            }
            case REFUSED -> refused(start, now);
            case BUSY -> start.next = now;
            case FENCED, UNKNOWN -> {
                boolean fenced = begun.result() == CallResult.FENCED;
                start.unclear |= !fenced;
                start.next =
                        now + (fenced ? PAUSE_MOST : Math.min(PAUSE_MOST, PAUSE_LEAST << Math.min(start.tries - 1, 5)));
            }
            default -> {
                release(start);
                open.remove(nonce);
                ends.turnedDown(start, 10 * NO_SERVICE, "the platform knows no such service", now);
            }
        }
    }

    /** 409: the nonce has not been used, so it is free for another worker. */
    private void refused(PendingStart start, long now) {
        LOG.debug("refused")
                .with("service", start.service)
                .with("worker", start.worker)
                .with("nonce", start.nonce)
                .with("refusals", start.refused.size() + 1)
                .log();
        InstanceSize size = sizes.apply(start.service);
        fleet.refused(start.worker, size == null ? 1 : size.memoryMb(), now);
        polls.hasten();
        start.refused.add(start.worker);
        release(start);
        start.worker = null;
        start.unclear = false;
        if (start.refused.size() >= REFUSALS_MOST) {
            open.remove(start.nonce);
            if (start.urgency > 0) {
                pressure.noRoom(now);
            }
            ends.turnedDown(start, FULL, "refused by " + start.refused.size() + " workers", now);
        } else {
            waiting.add(start);
        }
    }

    /** Finds a worker for the first that waits; false: it has been turned down. */
    private boolean place(PendingStart start, long now) {
        InstanceSize size = sizes.apply(start.service);
        WorkerCapacity spot =
                size == null ? null : placement.choose(start.service, size.memoryMb(), start.seat, start.refused);
        if (spot == null) {
            drop(start);
            if (size != null && start.urgency > 0) {
                pressure.noRoom(now);
            }
            ends.turnedDown(
                    start,
                    size == null ? NO_SERVICE : FULL,
                    size == null ? "no such service" : "no room anywhere",
                    now);
            return false;
        }
        waiting.remove(start);
        start.worker = spot.name;
        start.zone = spot.zone;
        start.hold = fleet.take(spot.name, size.memoryMb());
        fleet.instances(spot.name, start.service, 1);
        called.add(start);
        pending.merge(start.service, 1, Integer::sum);
        return true;
    }

    private void call(PendingStart start) {
        start.out = true;
        start.tries++;
        pace.called();
        hands.begin(start.service, start.worker, start.nonce);
    }

    private void drop(PendingStart start) {
        waiting.remove(start);
        open.remove(start.nonce);
    }

    /** It is not at its worker after all. */
    private void release(PendingStart start) {
        uncall(start);
        fleet.untake(start.worker, start.hold);
    }

    private void uncall(PendingStart start) {
        if (called.remove(start)) {
            fleet.instances(start.worker, start.service, -1);
            pending.computeIfPresent(start.service, (name, many) -> many == 1 ? null : many - 1);
        }
    }
}
