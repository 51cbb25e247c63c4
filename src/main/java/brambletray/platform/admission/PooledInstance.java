package brambletray.platform.admission;

import brambletray.platform.provisioning.InstanceInfo;

/** An instance as its service queue sees it: its slots, and how it has behaved lately. */
final class PooledInstance {
    final String id;
    final String address;
    final String zone;
    final String worker;
    final String nonce;
    final long startedAtMs;
    /** Started under this home: all its slots are known here. */
    final boolean startedHere;

    int state;
    /** Slots granted and not released, those that stay closed included. */
    int heldSlots;

    long fullUntilMs;
    long pausedUntilMs;
    int pauseCount;
    /** UNREACHED attempts or failed probes in a row, at an instance that was up. */
    int unreachableCount;
    /** A response from it was cut off or never came; a probe will find out. */
    boolean suspected;

    double failureScore;
    long failureScoreAtMs;
    double meanResponseMs;
    int responseCount;
    long idleSinceMs;
    long drainingSinceMs;
    long nextProbeMs;
    long probedAtMs = Long.MIN_VALUE;

    PooledInstance(InstanceInfo host, boolean startedHere, long now) {
        this.id = host.id();
        this.address = host.address();
        this.zone = host.zone();
        this.worker = host.worker();
        this.nonce = host.nonce();
        this.state = host.state();
        this.startedAtMs = now - Math.max(0, host.ageMs());
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

    /** Free slots, as far as this queue can know. */
    int freeSlots(int maxConcurrency, long now) {
        return maxConcurrency - heldSlots - (fullUntilMs > now ? 1 : 0);
    }

    /** Whether it is suspected of being dead: not used at all until a probe is answered or the pause is over. */
    boolean isSuspect(long now) {
        return unreachableCount > 0 && pausedUntilMs > now;
    }

    InstanceInfo toInfo(String service, String homeZone, long now) {
        return new InstanceInfo(id, service, address, zone, homeZone, worker, nonce, state, now - startedAtMs);
    }
}
