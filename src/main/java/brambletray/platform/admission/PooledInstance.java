package brambletray.platform.admission;

import brambletray.platform.provisioning.InstanceInfo;

/** A host as its seat sees it: its places, and how it has behaved of late. */
final class PooledInstance {
    final String id;
    final String address;
    final String zone;
    final String worker;
    final String nonce;
    final long startedAtMs;
    /** Born under this seat: all its places are known here. */
    final boolean startedHere;

    int state;
    /** Places granted and not given back, those kept closed included. */
    int heldSlots;

    long fullUntilMs;
    long pausedUntilMs;
    int pauseCount;
    /** UNREACHED or failed knocks in a row, at a host that was up. */
    int unreachableCount;
    /** An answer from it was cut off or never came; a knock will tell. */
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

    /** Free places, as far as this seat can know. */
    int freeSlots(int maxConcurrency, long now) {
        return maxConcurrency - heldSlots - (fullUntilMs > now ? 1 : 0);
    }

    /** Whether it is suspected of being dead: not to be used at all until a knock is answered or the pause is over. */
    boolean isSuspect(long now) {
        return unreachableCount > 0 && pausedUntilMs > now;
    }

    InstanceInfo toInfo(String service, String homeZone, long now) {
        return new InstanceInfo(id, service, address, zone, homeZone, worker, nonce, state, now - startedAtMs);
    }
}
