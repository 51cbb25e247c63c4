package brambletray.platform.platformstub;

/** One instance of the stub, with the times of its lifecycle, ms. */
final class StubInstance {
    static final long NEVER = Long.MAX_VALUE;

    final String id;
    final String service;
    final String address;
    final String worker;
    final String zone;
    final int memoryMb;
    final long startedAtMs;
    final long upAtMs;
    long drainAtMs = NEVER;
    long endAtMs = NEVER;
    boolean crashed;

    StubInstance(String id, String service, String address, StubWorker worker, int memoryMb, long begunAt, long upAt) {
        this.id = id;
        this.service = service;
        this.address = address;
        this.worker = worker.name;
        this.zone = worker.zone;
        this.memoryMb = memoryMb;
        this.startedAtMs = begunAt;
        this.upAtMs = upAt;
    }

    void drain(long at, long end) {
        drainAtMs = Math.min(drainAtMs, at);
        endAtMs = Math.min(endAtMs, end);
    }

    void end(long at, boolean crash) {
        if (at < endAtMs) {
            endAtMs = at;
            crashed = crash;
        }
    }

    /** Takes memory then. */
    boolean occupiesMemory(long at) {
        return startedAtMs <= at && at < endAtMs;
    }

    /** Takes connections then. */
    boolean acceptsConnections(long at) {
        return upAtMs <= at && at < endAtMs;
    }

    /** Is on a list of that moment; {@code shown}: ms that one which crashed stays there. */
    boolean isListed(long at, long shown) {
        return upAtMs <= at && upAtMs < endAtMs && (crashed ? at - shown < endAtMs : at < endAtMs);
    }
}
