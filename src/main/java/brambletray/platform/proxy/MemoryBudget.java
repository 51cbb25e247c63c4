package brambletray.platform.proxy;

/** Limits the bytes of requests and responses that all connections together hold in memory. */
final class MemoryBudget {
    private final long maxBytes;
    private long heldBytes;

    MemoryBudget(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Reserves the bytes; false, without reserving any, if that would exceed the limit. */
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
