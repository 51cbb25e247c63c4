package brambletray.platform.provisioning;

import java.util.PriorityQueue;

/** Virtual time: what is to happen, in order of its ms and then of its coming. */
final class VirtualTime {
    private record Due(long at, long number, Runnable what) {}

    private final PriorityQueue<Due> dues =
            new PriorityQueue<>((a, b) -> a.at != b.at ? Long.compare(a.at, b.at) : Long.compare(a.number, b.number));
    private long now;
    private long number;

    long now() {
        return now;
    }

    void in(long ms, Runnable what) {
        dues.add(new Due(now + ms, number++, what));
    }

    void every(long ms, Runnable what) {
        in(ms, () -> {
            what.run();
            every(ms, what);
        });
    }

    void runTo(long at) {
        while (!dues.isEmpty() && dues.peek().at <= at) {
            Due due = dues.poll();
            now = due.at;
            due.what.run();
        }
        now = at;
    }
}
