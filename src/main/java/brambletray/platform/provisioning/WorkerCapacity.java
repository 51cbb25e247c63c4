package brambletray.platform.provisioning;

import java.util.ArrayList;
import java.util.List;

/** One worker, and the memory free on it. */
final class WorkerCapacity {
    /** Memory taken (or, if negative, given back) that the list may not show yet. */
    static final class Hold {
        private final int mb;
        private long at = Long.MAX_VALUE;

        private Hold(int mb) {
            this.mb = mb;
        }

        /** The call has been carried out; lists that are newer show it. */
        void made(long now) {
            at = now;
        }
    }

    final String name;
    final String zone;
    private final List<Hold> holds = new ArrayList<>(4);
    private int listedFree;
    private boolean draining;
    private int missed;
    private long refusedAt = Long.MIN_VALUE;
    private int refusedMb = Integer.MAX_VALUE;

    WorkerCapacity(WorkerInfo worker) {
        name = worker.name();
        zone = worker.zone();
    }

    /** What the list shows, which is the state at {@code asOf}, ms, or later. */
    void listed(WorkerInfo worker, long asOf) {
        draining = worker.draining();
        missed = 0;
        listedFree = worker.freeMb();
        holds.removeIf(hold -> hold.at <= asOf);
        if (refusedAt <= asOf) {
            refusedMb = Integer.MAX_VALUE;
        }
    }

    /** One more list that does not show it; returns how many in a row. */
    int missed() {
        return ++missed;
    }

    /** May take hosts, if there is room. */
    boolean open() {
        return !draining && missed == 0;
    }

    boolean draining() {
        return draining;
    }

    /** MB. */
    int free() {
        int free = listedFree;
        for (Hold hold : holds) {
            free -= hold.mb;
        }
        return Math.min(free, refusedMb - 1);
    }

    Hold hold(int mb) {
        Hold hold = new Hold(mb);
        holds.add(hold);
        return hold;
    }

    void drop(Hold hold) {
        holds.remove(hold);
    }

    /** It had no room for so much, whatever the list says. */
    void refused(int mb, long now) {
        refusedAt = now;
        refusedMb = Math.min(refusedMb, mb);
    }
}
