package brambletray.platform.admission;

import brambletray.platform.provisioning.InstanceInfo;
import java.util.ArrayList;
import java.util.List;

/**
 * The instances of a service queue, oldest first, and the selection among them. Preferred are, in this order, instances
 * that the request does not exclude, that are healthy, in the requester's zone, with more than one free slot, and the
 * oldest, so that surplus instances become idle. Slow and failing ones come last; suspected ones are not used.
 */
final class PooledInstances {
    private final AdmissionParameters.Selection parameters;
    private final List<PooledInstance> instances = new ArrayList<>();

    PooledInstances(AdmissionParameters.Selection parameters) {
        this.parameters = parameters;
    }

    List<PooledInstance> all() {
        return instances;
    }

    PooledInstance find(String id) {
        for (int i = 0; i < instances.size(); i++) {
            if (instances.get(i).id.equals(id)) {
                return instances.get(i);
            }
        }
        return null;
    }

    void add(PooledInstance instance) {
        int at = instances.size();
        while (at > 0 && instances.get(at - 1).startedAtMs > instance.startedAtMs) {
            at--;
        }
        instances.add(at, instance);
    }

    void remove(PooledInstance instance) {
        instances.remove(instance);
    }

    int count(int state) {
        int n = 0;
        for (int i = 0; i < instances.size(); i++) {
            if (instances.get(i).state == state) {
                n++;
            }
        }
        return n;
    }

    /** Free slots of instances that are up and not suspected. */
    int freeSlots(int maxConcurrency, long now) {
        int n = 0;
        for (int i = 0; i < instances.size(); i++) {
            PooledInstance instance = instances.get(i);
            if (instance.isUp() && !instance.isSuspect(now)) {
                n += Math.max(0, instance.freeSlots(maxConcurrency, now));
            }
        }
        return n;
    }

    /** Number of instances that are up and not suspected. */
    int healthyCount(long now) {
        int n = 0;
        for (int i = 0; i < instances.size(); i++) {
            if (instances.get(i).isUp() && !instances.get(i).isSuspect(now)) {
                n++;
            }
        }
        return n;
    }

    /** The instance for a request, or null. {@code onlyStartedHere}: only instances whose held slots are all known. */
    PooledInstance choose(SlotRequest request, int maxConcurrency, boolean onlyStartedHere, long now) {
        double medianMs = medianResponseMs();
        PooledInstance best = null;
        int bestRank = Integer.MAX_VALUE;
        for (int i = 0; i < instances.size(); i++) {
            PooledInstance instance = instances.get(i);
            if (onlyStartedHere && !instance.startedHere || instance.isSuspect(now)) {
                continue;
            }
            int free = instance.freeSlots(maxConcurrency, now);
            if (free <= 0) {
                continue;
            }
            int rank = rank(instance, request, free, maxConcurrency, medianMs, now);
            if (rank < bestRank) {
                bestRank = rank;
                best = instance;
            }
        }
        return best;
    }

    private int rank(
            PooledInstance instance, SlotRequest request, int free, int maxConcurrency, double medianMs, long now) {
        int rank = 0;
        if (instance.isDraining()) {
            if (parameters.drainingUseMs() <= 0 || now - instance.drainingSinceMs >= parameters.drainingUseMs()) {
                return Integer.MAX_VALUE;
            }
            rank += 32;
        } else if (!instance.isUp()) {
            return Integer.MAX_VALUE;
        }
        if (request.excludedInstances() != null && request.excludedInstances().contains(instance.id)) {
            if (request.hedge() || hasOthers(instance, now)) {
                return Integer.MAX_VALUE;
            }
            rank += 64;
        }
        if (instance.pausedUntilMs > now) {
            rank += 16;
        }
        if (medianMs > 0
                && instance.responseCount >= 8
                && instance.meanResponseMs > parameters.slowFactor() * medianMs) {
            rank += 8;
        }
        if (!instance.zone.equals(request.zone())) {
            rank += 4;
        }
        if (maxConcurrency > 2 && free == 1) {
            rank += 2;
        }
        return rank;
    }

    /** Whether there is another instance that is up or booting and not suspected. */
    private boolean hasOthers(PooledInstance one, long now) {
        for (int i = 0; i < instances.size(); i++) {
            PooledInstance instance = instances.get(i);
            if (instance != one && !instance.isDraining() && !instance.isSuspect(now)) {
                return true;
            }
        }
        return false;
    }

    /** The median of the instances' mean response times, ms; 0 if fewer than three are known. */
    private double medianResponseMs() {
        if (instances.size() < 3) {
            return 0;
        }
        double[] known = null;
        int n = 0;
        for (int i = 0; i < instances.size(); i++) {
            PooledInstance instance = instances.get(i);
            if (instance.responseCount >= 8) {
                if (known == null) {
                    known = new double[instances.size()];
                }
                int at = n++;
                while (at > 0 && known[at - 1] > instance.meanResponseMs) {
                    known[at] = known[at - 1];
                    at--;
                }
                known[at] = instance.meanResponseMs;
            }
        }
        return n < 3 ? 0 : known[(n - 1) / 2];
    }

    /** Records the outcome of a request at an instance, and pauses the instance after repeated failures. */
    void onReleased(PooledInstance instance, AttemptOutcome outcome, int durationMs, long now) {
        instance.failureScore *= Math.exp((instance.failureScoreAtMs - now) / 1000.0);
        instance.failureScoreAtMs = now;
        switch (outcome) {
            case SERVED -> {
                instance.unreachableCount = 0;
                instance.failureScore *= 0.8;
                instance.responseCount++;
                instance.meanResponseMs +=
                        (durationMs - instance.meanResponseMs) * Math.max(0.1, 1.0 / instance.responseCount);
                if (instance.pausedUntilMs <= now) {
                    instance.pauseCount = 0;
                }
            }
            case BROKEN, SILENT -> {
                instance.failureScore += 1;
                if (instance.failureScore >= parameters.pauseThreshold()) {
                    pause(instance, now);
                    instance.failureScore = 0;
                }
            }
            case UNREACHED -> {
                instance.unreachableCount++;
                pause(instance, now);
            }
            default -> {}
        }
    }

    void pause(PooledInstance instance, long now) {
        long span =
                Math.min(parameters.maxPauseMs(), (long) parameters.minPauseMs() << Math.min(instance.pauseCount, 8));
        instance.pauseCount++;
        instance.pausedUntilMs = Math.max(instance.pausedUntilMs, now + span);
    }

    /** When the next pause, or the next mark of an instance as full, ends, ms. */
    long nextPauseEndMs(long now) {
        long next = Long.MAX_VALUE;
        for (int i = 0; i < instances.size(); i++) {
            PooledInstance instance = instances.get(i);
            if (instance.pausedUntilMs > now) {
                next = Math.min(next, instance.pausedUntilMs);
            }
            if (instance.fullUntilMs > now) {
                next = Math.min(next, instance.fullUntilMs);
            }
        }
        return next;
    }

    /** Whether any instance was started under another home, so that edges have to report the slots they hold there. */
    boolean hasInheritedInstances() {
        for (int i = 0; i < instances.size(); i++) {
            if (!instances.get(i).startedHere) {
                return true;
            }
        }
        return false;
    }

    boolean hasUpInstance() {
        return count(InstanceInfo.UP) > 0;
    }
}
