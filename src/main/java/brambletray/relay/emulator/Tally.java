package brambletray.relay.emulator;

import java.util.EnumMap;
import java.util.Map;

/** What one endpoint did, counted by itself; times in ns. */
public final class Tally {
    public long arrived;
    public long failed;
    public long reset;
    public long spoilt;
    public long unanswered;
    public long abandoned;
    public long connections;
    public long connectionsRefused;
    public int mostConnections;
    public int mostQueued;
    /** The most that came to it while it was cold, as a share of what it bears. */
    public double heaviest;
    /** When it fell over; -1 if it has not. */
    public long fellAt = -1;

    public final Map<Answer.Reason, Long> refused = new EnumMap<>(Answer.Reason.class);
    private long delivered;
    private long began;
    private double latency;
    private double wait;
    private double queueTime;
    private double busyTime;
    private long since = -1;
    private long begin = -1;

    void served(long nanos) {
        delivered++;
        latency += nanos;
    }

    void waited(long nanos) {
        began++;
        wait += nanos;
    }

    void integrate(long now, int queued, int busy) {
        if (since < 0) {
            begin = now;
        } else {
            queueTime += (double) queued * (now - since);
            busyTime += (double) busy * (now - since);
        }
        since = now;
    }

    public long delivered() {
        return delivered;
    }

    public long refusedInAll() {
        return refused.values().stream().mapToLong(Long::longValue).sum();
    }

    /** Mean time in queue of the calls that were served; ns. */
    public double meanWait() {
        return began == 0 ? 0 : wait / began;
    }

    /** Mean time from arrival to answer of the delivered; ns. */
    public double meanLatency() {
        return delivered == 0 ? 0 : latency / delivered;
    }

    /** Calls waiting, on average over time. */
    public double meanQueued() {
        return since <= begin ? 0 : queueTime / (since - begin);
    }

    /** Calls in service, on average over time. */
    public double meanBusy() {
        return since <= begin ? 0 : busyTime / (since - begin);
    }

    /** Begins anew, for the next phase of a measurement; what is under way stays under way. */
    public void clear() {
        arrived = failed = reset = spoilt = unanswered = abandoned = 0;
        connections = connectionsRefused = 0;
        mostConnections = mostQueued = 0;
        heaviest = 0;
        refused.clear();
        delivered = began = 0;
        latency = wait = queueTime = busyTime = 0;
        begin = since;
    }
}
