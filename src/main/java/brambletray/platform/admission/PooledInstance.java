package brambletray.platform.admission;

import brambletray.platform.provisioning.InstanceInfo;

/** A host as its seat sees it: its places, and how it has behaved of late. */
final class PooledInstance {
    final String id;
    final String address;
    final String zone;
    final String worker;
    final String nonce;
    final long bornAt;
    /** Born under this seat: all its places are known here. */
    final boolean own;

    int state;
    /** Places granted and not given back, those kept closed included. */
    int held;

    long fullUntil;
    long pausedUntil;
    int pauses;
    /** UNREACHED or failed knocks in a row, at a host that was up. */
    int misses;
    /** An answer from it was cut off or never came; a knock will tell. */
    boolean doubted;

    double blame;
    long blamedAt;
    double tookMs;
    int answers;
    long idleSince;
    long leavingSince;
    long nextKnock;
    long knockedAt = Long.MIN_VALUE;

    PooledInstance(InstanceInfo host, boolean own, long now) {
        this.id = host.id();
        this.address = host.address();
        this.zone = host.zone();
        this.worker = host.worker();
        this.nonce = host.nonce();
        this.state = host.state();
        this.bornAt = now - Math.max(0, host.bornAgoMs());
        this.own = own;
        this.idleSince = now;
        this.leavingSince = now;
    }

    boolean up() {
        return state == InstanceInfo.UP;
    }

    boolean booting() {
        return state == InstanceInfo.BOOTING;
    }

    boolean leaving() {
        return state == InstanceInfo.LEAVING;
    }

    /** Free places, as far as this seat can know. */
    int free(int most, long now) {
        return most - held - (fullUntil > now ? 1 : 0);
    }

    /** Whether it is suspected of being dead: not to be used at all until a knock is answered or the pause is over. */
    boolean suspect(long now) {
        return misses > 0 && pausedUntil > now;
    }

    InstanceInfo toHost(String service, String seat, long now) {
        return new InstanceInfo(id, service, address, zone, seat, worker, nonce, state, now - bornAt);
    }
}
