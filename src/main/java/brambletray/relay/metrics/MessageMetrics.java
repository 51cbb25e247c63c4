package brambletray.relay.metrics;

import java.util.List;

/**
 * Counts what has become of messages, each at the one place where it becomes true. At any instant of the
 * loop {@code taken = served + refused + failed + withdrawn - turned away + in flight}, by class.
 *
 * <p>Plain fields: a metrics library's counters are made for many threads, and cost a look-up and a fence
 * at each count that one loop has no need of (docs/oncall.md).
 */
public final class MessageMetrics {
    /** How a message ended. */
    public enum End {
        /** Delivered. */
        SERVED,
        /** Handed back: another try does no harm. */
        REFUSED,
        /** Given up, or over at its host without a delivery. */
        FAILED,
        /** Its client left before it heard that it was taken on. */
        WITHDRAWN,
        /** Another process goes on with it, and counts its end. */
        HANDED_ON
    }

    private final List<String> classes;
    private final long[] taken;
    private final long[][] ended;
    private final long[][] turnedAway;
    private long written;

    /** {@code classes}: their names, in the order of their numbers. */
    public MessageMetrics(List<String> classes) {
        this.classes = List.copyOf(classes);
        this.taken = new long[classes.size()];
        this.ended = new long[classes.size()][End.values().length];
        this.turnedAway = new long[classes.size()][End.values().length];
    }

    public List<String> classes() {
        return classes;
    }

    /** A message is held from now on: newly taken on, or found in the store. */
    public void taken(int messageClass) {
        taken[messageClass]++;
    }

    /** One that was {@link #taken} is over. */
    public void ended(int messageClass, End end) {
        ended[messageClass][end.ordinal()]++;
    }

    /** One was never taken on: answered so at the door. */
    public void turnedAway(int messageClass, End end) {
        turnedAway[messageClass][end.ordinal()]++;
    }

    /** The last byte of a call with so many messages has been written to its host. */
    public void written(int messages) {
        written += messages;
    }

    /** Messages of a class that ended so, those turned away among them. */
    public long count(int messageClass, End end) {
        return ended[messageClass][end.ordinal()] + turnedAway[messageClass][end.ordinal()];
    }

    /** Messages written whole to hosts, repeats and copies too. */
    public long attempts() {
        return written;
    }

    /** Messages taken and not ended. */
    public long inFlight() {
        long open = 0;
        for (int c = 0; c < taken.length; c++) {
            open += taken[c];
            for (long n : ended[c]) {
                open -= n;
            }
        }
        return open;
    }
}
