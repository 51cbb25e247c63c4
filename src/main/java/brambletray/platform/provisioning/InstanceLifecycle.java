package brambletray.platform.provisioning;

/** One host, from the answer to its start until its end. */
final class InstanceLifecycle {
    final String id;
    final String service;
    final String address;
    final String nonce;
    final long bornAt;
    String zone;
    String seat;
    String worker;
    int state;
    /** ms; when it was first known to be up; -1: not yet. */
    long upAt = -1;
    /** Complete lists in a row that should show it and do not. */
    int missed;
    /** ms; since when its seat is without a home that wants it; -1: it has one. */
    long lonelySince = -1;
    /** Its stop is being called. */
    boolean stopping;

    InstanceLifecycle(String id, String service, String address, String nonce, long bornAt) {
        this.id = id;
        this.service = service;
        this.address = address;
        this.nonce = nonce;
        this.bornAt = bornAt;
    }

    InstanceLifecycle at(String itsZone, String itsSeat, String itsWorker) {
        zone = itsZone;
        seat = itsSeat;
        worker = itsWorker;
        return this;
    }

    void up(long now) {
        if (upAt < 0) {
            upAt = now;
        }
        if (state == InstanceInfo.BOOTING) {
            state = InstanceInfo.UP;
        }
    }

    InstanceInfo host(long now) {
        return new InstanceInfo(id, service, address, zone, seat, worker, nonce, state, now - bornAt);
    }
}
