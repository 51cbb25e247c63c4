package brambletray.platform.platformstub;

/** One host of the stand-in, with the times of its life, ms. */
final class StubInstance {
    static final long NEVER = Long.MAX_VALUE;

    final String id;
    final String service;
    final String address;
    final String worker;
    final String zone;
    final int memoryMb;
    final long begunAt;
    final long upAt;
    long drainAt = NEVER;
    long endAt = NEVER;
    boolean crashed;

    StubInstance(String id, String service, String address, StubWorker plot, int memoryMb, long begunAt, long upAt) {
        this.id = id;
        this.service = service;
        this.address = address;
        this.worker = plot.name;
        this.zone = plot.zone;
        this.memoryMb = memoryMb;
        this.begunAt = begunAt;
        this.upAt = upAt;
    }

    void drain(long at, long end) {
        drainAt = Math.min(drainAt, at);
        endAt = Math.min(endAt, end);
    }

    void end(long at, boolean crash) {
        if (at < endAt) {
            endAt = at;
            crashed = crash;
        }
    }

    /** Takes memory then. */
    boolean there(long at) {
        return begunAt <= at && at < endAt;
    }

    /** Takes connections then. */
    boolean up(long at) {
        return upAt <= at && at < endAt;
    }

    /** Is on a list of that moment; {@code shown}: ms that one which crashed stays there. */
    boolean listed(long at, long shown) {
        return upAt <= at && upAt < endAt && (crashed ? at - shown < endAt : at < endAt);
    }
}
