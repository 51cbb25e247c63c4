package brambletray.platform.proxy;

/** Bytes of requests and answers held in memory at one time, all connections together, and their bound. */
final class MemoryBudget {
    private final long most;
    private long held;

    /** {@code most}: bytes. */
    MemoryBudget(long most) {
        this.most = most;
    }

    /** False, and nothing taken, where that would be too much. */
    boolean take(int bytes) {
        if (held + bytes > most) {
            return false;
        }
        held += bytes;
        return true;
    }

    void give(long bytes) {
        held -= bytes;
    }

    long held() {
        return held;
    }
}
