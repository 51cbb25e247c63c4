package brambletray.platform.proxy;

/** Bytes of requests and answers held in memory at one time, all connections together, and their bound. */
final class MemoryBudget {
    private final long maxBytes;
    private long heldBytes;

    /** {@code maxBytes}: bytes. */
    MemoryBudget(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** False, and nothing taken, where that would be too much. */
    boolean tryReserve(int bytes) {
        if (heldBytes + bytes > maxBytes) {
            return false;
        }
        heldBytes += bytes;
        return true;
    }

    void release(long bytes) {
        heldBytes -= bytes;
    }

    long heldBytes() {
        return heldBytes;
    }
}
