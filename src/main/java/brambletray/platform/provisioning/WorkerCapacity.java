package brambletray.platform.provisioning;

import java.util.ArrayList;
import java.util.List;

/** One worker, and the memory free on it. */
final class WorkerCapacity {
    /** Memory taken (or, if negative, given back) that the list may not show yet. */
    static final class Reservation {
        private final int memoryMb;
        private long confirmedAtMs = Long.MAX_VALUE;

        private Reservation(int memoryMb) {
            this.memoryMb = memoryMb;
        }

        /** The call has been carried out; lists that are newer show it. */
        void confirm(long now) {
            confirmedAtMs = now;
        }
    }

    final String name;
    final String zone;
    private final List<Reservation> reservations = new ArrayList<>(4);
    private int listedFreeMb;
    private boolean draining;
    private int missedLists;
    private long rejectedAtMs = Long.MIN_VALUE;
    private int rejectedMb = Integer.MAX_VALUE;

    WorkerCapacity(WorkerInfo worker) {
        name = worker.name();
        zone = worker.zone();
    }

    /** What the list shows, which is the state at {@code listedAtMs}, ms, or later. */
    void onListed(WorkerInfo worker, long listedAtMs) {
        draining = worker.draining();
        missedLists = 0;
        listedFreeMb = worker.freeMb();
        reservations.removeIf(reservation -> reservation.confirmedAtMs <= listedAtMs);
        if (rejectedAtMs <= listedAtMs) {
            rejectedMb = Integer.MAX_VALUE;
        }
    }

    /** One more list that does not show it; returns how many in a row. */
    int onMissedList() {
        return ++missedLists;
    }

    /** May take hosts, if there is room. */
    boolean acceptsInstances() {
        return !draining && missedLists == 0;
    }

    boolean draining() {
        return draining;
    }

    /** MB. */
    int freeMb() {
        int free = listedFreeMb;
        for (Reservation reservation : reservations) {
            free -= reservation.memoryMb;
        }
        return Math.min(free, rejectedMb - 1);
    }

    Reservation reserve(int memoryMb) {
        Reservation reservation = new Reservation(memoryMb);
        reservations.add(reservation);
        return reservation;
    }

    void release(Reservation reservation) {
        reservations.remove(reservation);
    }

    /** It had no room for so much, whatever the list says. */
    void onRejected(int memoryMb, long now) {
        rejectedAtMs = now;
        rejectedMb = Math.min(rejectedMb, memoryMb);
    }
}
