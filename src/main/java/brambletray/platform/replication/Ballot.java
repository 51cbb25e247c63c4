package brambletray.platform.replication;

/**
 * Number of an attempt to change the view, and the name of the view that it installs. Ordered by number, then by the
 * life of the member that counts it, so no two attempts are equal.
 *
 * @param number grows; the number of the view in status, logs and terms
 * @param proposer    life of the member that makes the attempt and leads the view that comes of it
 */
public record Ballot(long number, long proposer) implements Comparable<Ballot> {
    /** Before every attempt. */
    public static final Ballot NONE = new Ballot(0, 0);

    @Override
    public int compareTo(Ballot other) {
        int by = Long.compare(number, other.number);
        return by != 0 ? by : Long.compare(proposer, other.proposer);
    }

    /** Whether this attempt is a later one. */
    public boolean isAbove(Ballot other) {
        return compareTo(other) > 0;
    }

    @Override
    public String toString() {
        return number + "." + Long.toHexString(proposer);
    }
}
