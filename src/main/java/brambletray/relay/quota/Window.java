package brambletray.relay.quota;

/**
 * What was used in a window that slides: the sum of all amounts of the last {@code length} microseconds.
 *
 * <p>Up to {@value #MOST} uses stand in it one by one, and the sum is exact. Where there are more, those of
 * one 128th of the length are put together at the time of the last of them: they count a little longer than
 * they need, and never shorter. So a limit kept here holds over every window, wherever it begins, and costs
 * at most a 128th of what it allows. Half open: two uses exactly one length apart are in no window together.
 * The memory is made at the first use and let go once all is past, for most members are idle.
 */
final class Window {
    static final long NEVER = Long.MAX_VALUE;
    private static final int MOST = 260;
    private static final int SLOTS = 128;
    private static final int FEW = 8;

    private final long length;
    /** A ring: time and amount by turns; null while nothing counts. */
    private long[] ring;

    private int head;
    private int count;
    private long sum;

    /** {@code length}: us. */
    Window(long length) {
        this.length = length;
    }

    long length() {
        return length;
    }

    /** What was added in the window that ends now; a little more where there were many. */
    long used(long now) {
        advance(now);
        return sum;
    }

    void add(long now, long amount) {
        advance(now);
        if (amount == 0) {
            return;
        }
        if (ring == null) {
            ring = new long[2 * FEW];
            head = 0;
        }
        sum += amount;
        if (count > 0 && time(count - 1) == now) {
            ring[at(count - 1) + 1] += amount;
            return;
        }
        if (2 * count == ring.length) {
            makeRoom();
        }
        ring[at(count)] = now;
        ring[at(count) + 1] = amount;
        count++;
    }

    /** When so much more fits under a limit, if nothing is added until then; {@link #NEVER} if never. */
    long freeAt(long now, long amount, long limit) {
        if (amount > limit) {
            return NEVER;
        }
        advance(now);
        long left = sum;
        for (int i = 0; left + amount > limit; i++) {
            left -= amount(i);
            if (left + amount <= limit) {
                return Math.max(now, time(i) + length);
            }
        }
        return now;
    }

    /** Takes so much off again, the eldest first; what is not there is not taken off. */
    void settle(long now, long amount) {
        advance(now);
        long left = Math.min(amount, sum);
        while (left > 0) {
            long off = Math.min(left, amount(0));
            ring[at(0) + 1] -= off;
            sum -= off;
            left -= off;
            dropEmptyHead();
        }
    }

    /** Times and amounts by turns, the eldest first. */
    long[] uses(long now) {
        advance(now);
        long[] all = new long[2 * count];
        for (int i = 0; i < count; i++) {
            all[2 * i] = time(i);
            all[2 * i + 1] = amount(i);
        }
        return all;
    }

    private int at(int index) {
        return (head + 2 * index) % ring.length;
    }

    private long time(int index) {
        return ring[at(index)];
    }

    private long amount(int index) {
        return ring[at(index) + 1];
    }

    /** Takes out what lies before the window. */
    private void advance(long now) {
        while (count > 0 && time(0) <= now - length) {
            sum -= amount(0);
            ring[at(0) + 1] = 0;
            dropEmptyHead();
        }
    }

    private void dropEmptyHead() {
        if (amount(0) == 0) {
            head = at(1);
            count--;
            if (count == 0) {
                ring = null;
            }
        }
    }

    /** Twice the room up to the most, then the uses of each 128th of the length in one. */
    private void makeRoom() {
        long[] next = new long[Math.min(2 * MOST, 2 * ring.length)];
        int kept = 0;
        long slot = Math.max(1, length / SLOTS);
        boolean full = count == MOST;
        for (int i = 0; i < count; i++) {
            boolean joins = full && kept > 0 && Math.floorDiv(next[2 * kept - 2], slot) == Math.floorDiv(time(i), slot);
            int to = joins ? kept - 1 : kept++;
            next[2 * to] = time(i);
            next[2 * to + 1] += amount(i);
        }
        ring = next;
        head = 0;
        count = kept;
    }
}
