package brambletray.platform.provisioning;

/** One host, from the answer to its start until its end. */
final class InstanceLifecycle {
    final String id;
    final String service;
    final String address;
    final String nonce;
    final long startedAtMs;
    String zone;
    String homeZone;
    String worker;
    int state;
    /** ms; when it was first known to be up; -1: not yet. */
    long upAtMs = -1;
    /** Complete lists in a row that should show it and do not. */
    int missedLists;
    /** Since when no home claims it, ms; -1: one does. */
    long orphanedSinceMs = -1;
    /** Its stop is being called. */
    boolean stopping;

    InstanceLifecycle(String id, String service, String address, String nonce, long bornAt) {
        this.id = id;
        this.service = service;
        this.address = address;
        this.nonce = nonce;
        this.startedAtMs = bornAt;
    }

    InstanceLifecycle place(String itsZone, String itsHomeZone, String itsWorker) {
        zone = itsZone;
        homeZone = itsHomeZone;
        worker = itsWorker;
        return this;
    }

    void markUp(long now) {
        if (upAtMs < 0) {
            upAtMs = now;
        }
        if (state == InstanceInfo.BOOTING) {
            state = InstanceInfo.UP;
        }
    }

    InstanceInfo toInfo(long now) {
        return new InstanceInfo(id, service, address, zone, homeZone, worker, nonce, state, now - startedAtMs);
    }
}
