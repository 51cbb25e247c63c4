package brambletray.platform.admission;

/**
 * Those refused with a time to come back: each is counted as ahead of whoever is refused after it, so that they are
 * told one moment after the other and not one instant. Remembers the last 256 promised returns until they are due.
 */
final class RefusedRequests {
    private static final int MOST = 256;
    private final long[] due = new long[MOST];
    private int head;
    private int size;

    /** One has been told to be back in so many ms. */
    void promise(int backMs, long now) {
        if (size == MOST) {
            head = (head + 1) % MOST;
            size--;
        }
        due[(head + size++) % MOST] = now + backMs;
    }

    /** Promised and not yet due. */
    int open(long now) {
        while (size > 0 && due[head] <= now) {
            head = (head + 1) % MOST;
            size--;
        }
        return size;
    }

    /** Promised to be back within {@code ms}. */
    int within(int ms, long now) {
        int open = open(now);
        int n = 0;
        for (int i = 0; i < open; i++) {
            if (due[(head + i) % MOST] <= now + ms) {
                n++;
            }
        }
        return n;
    }
}
