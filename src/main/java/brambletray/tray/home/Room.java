package brambletray.tray.home;

/**
 * Room for calls of hosts: they need a place while their parent holds one, so a service full of parents would wait for
 * itself. Where such calls were seen lately, one of every {@code of} places is kept for them, from {@code least} places
 * on.
 */
final class Room {
    private final Laws.Room law;
    private long seenAt = Long.MIN_VALUE / 2;

    Room(Laws.Room law) {
        this.law = law;
    }

    void inner(long now) {
        seenAt = now;
    }

    /** Places that copies leave free, of so many: a quarter (the design: copies go out while the window has room). */
    int fromCopies(int places) {
        return places / 4;
    }

    /** Places kept of so many. */
    int kept(int places, long now) {
        return now - seenAt > law.forMs() || places < law.least() ? 0 : Math.max(1, places / law.of());
    }
}
