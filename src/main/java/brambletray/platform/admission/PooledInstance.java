package brambletray.platform.admission;

import brambletray.platform.provisioning.InstanceInfo;

/** An instance as its service queue sees it: its slots and its recent behaviour. */
final class PooledInstance {
    final String id;
    final String address;
    final String zone;
    final String worker;
    final String nonce;
    final long startedAtMs;
    /** Started under this home, so that all its slots are known here. */
    final boolean startedHere;

    int state;
    /** Number of slots granted and not released, including closed ones. */
    int heldSlots;

    long fullUntilMs;
    long pausedUntilMs;
    int pauseCount;
    /** Consecutive UNREACHED attempts or failed probes while the instance was up. */
    int unreachableCount;
    /** A response was cut off or never came; a probe will check whether the instance is reachable. */
    boolean suspected;

    double failureScore;
    long failureScoreAtMs;
    double meanResponseMs;
    int responseCount;
    long idleSinceMs;
    long drainingSinceMs;
    long nextProbeMs;
    long probedAtMs = Long.MIN_VALUE;

    PooledInstance(InstanceInfo info, boolean startedHere, long now) {
        this.id = info.id();
        this.address = info.address();
        this.zone = info.zone();
        this.worker = info.worker();
        this.nonce = info.nonce();
        this.state = info.state();
        this.startedAtMs = now - Math.max(0, info.ageMs());
        this.startedHere = startedHere;
        this.idleSinceMs = now;
        this.drainingSinceMs = now;
    }

    boolean isUp() {
        return state == InstanceInfo.UP;
    }

    boolean isBooting() {
        return state == InstanceInfo.BOOTING;
    }

    boolean isDraining() {
        return state == InstanceInfo.LEAVING;
    }

    /** Number of free slots as known to this queue; an instance marked full has one less. */
    int freeSlots(int maxConcurrency, long now) {
        return maxConcurrency - heldSlots - (fullUntilMs > now ? 1 : 0);
    }

    /** Whether the instance is suspected to be dead: not used until a probe succeeds or the pause is over. */
    boolean isSuspect(long now) {
        return unreachableCount > 0 && pausedUntilMs > now;
    }

    InstanceInfo toInfo(String service, String homeZone, long now) {
        return new InstanceInfo(id, service, address, zone, homeZone, worker, nonce, state, now - startedAtMs);
    }
}
