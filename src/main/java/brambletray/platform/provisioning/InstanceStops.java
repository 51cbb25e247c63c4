package brambletray.platform.provisioning;

import brambletray.platform.logging.EventLog;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.function.ToIntFunction;

/** Stops that homes or the yard want: each is called until the platform has said 200 or 404. */
final class InstanceStops {
    private static final EventLog LOG = EventLog.of("provisioning");
    private static final int MOST = 8_192;
    /** ms between two calls for one host. */
    private static final long PAUSE_LEAST = 100;

    private static final long PAUSE_MOST = 1_000;

    private static final class Stop {
        private final String id;
        private final String why;
        private final long since;
        private int tries;
        private long next;

        private Stop(String id, String why, long now) {
            this.id = id;
            this.why = why;
            this.since = now;
            this.next = now;
        }
    }

    private final ProvisioningActions hands;
    private final InstanceRegistry registry;
    private final WorkerPool fleet;
    private final CallPacer pace;
    private final ToIntFunction<String> memory;
    private final ArrayDeque<Stop> waiting = new ArrayDeque<>();
    private final Map<String, Stop> open = new HashMap<>();

    /** {@code memory}: MB of a host of a service. */
    InstanceStops(
            ProvisioningActions hands,
            InstanceRegistry registry,
            WorkerPool fleet,
            CallPacer pace,
            ToIntFunction<String> memory) {
        this.hands = hands;
        this.registry = registry;
        this.fleet = fleet;
        this.pace = pace;
        this.memory = memory;
    }

    /** The host may be unknown: one that a former holder of the duty knew. */
    void want(String id, String why, long now) {
        if (open.containsKey(id) || open.size() >= MOST) {
            return;
        }
        InstanceLifecycle life = registry.get(id);
        if (life != null) {
            life.stopping = true;
        }
        Stop stop = new Stop(id, why, now);
        open.put(id, stop);
        waiting.add(stop);
    }

    boolean wanted(String id) {
        return open.containsKey(id);
    }

    boolean empty() {
        return open.isEmpty();
    }

    /** True when one has been called. */
    boolean callOne(long now) {
        for (Iterator<Stop> each = waiting.iterator(); each.hasNext(); ) {
            Stop stop = each.next();
            if (stop.next <= now) {
                each.remove();
                stop.tries++;
                pace.called();
                hands.stop(stop.id);
                return true;
            }
        }
        return false;
    }

    /** ms that the first of those that can be called has been waiting; -1: none. */
    long waited(long now) {
        Stop first = waiting.peekFirst();
        return first == null || first.next > now ? -1 : now - first.since;
    }

    void answered(String id, CallResult result, long now) {
        pace.answered(result, now);
        Stop stop = open.get(id);
        if (stop == null) {
            return;
        }
        switch (result) {
            case OK, NO_SUCH -> end(stop, result, now);
            case BAD, REFUSED -> {
                LOG.warn("stop not understood")
                        .with("host", id)
                        .with("result", result)
                        .log();
                end(stop, result, now);
            }
            default -> {
                long pause = result == CallResult.FENCED ? PAUSE_MOST : PAUSE_LEAST << Math.min(stop.tries - 1, 4);
                stop.next = now + Math.min(PAUSE_MOST, pause);
                waiting.add(stop);
            }
        }
    }

    private void end(Stop stop, CallResult result, long now) {
        open.remove(stop.id);
        InstanceLifecycle life = registry.get(stop.id);
        if (life == null) {
            registry.ended(stop.id, stop.why, true, now);
            return;
        }
        if (result == CallResult.OK) {
            fleet.gave(life.worker, memory.applyAsInt(life.service), now);
        }
        registry.gone(life, stop.why, true, now);
    }
}
