package brambletray.platform.replication;

/**
 * Identifies one view change, and the view that it installs. Ordered by number, then by the incarnation of the
 * proposer, so no two view changes share a ballot (Paxos: proposal number).
 *
 * @param number grows; shown as the number of the view in status, logs and terms
 * @param proposer incarnation of the member that proposes the view and leads it
 */
public record Ballot(long number, long proposer) implements Comparable<Ballot> {
    /** Below every ballot that a member proposes. */
    public static final Ballot NONE = new Ballot(0, 0);

    @Override
    public int compareTo(Ballot other) {
        int by = Long.compare(number, other.number);
        return by != 0 ? by : Long.compare(proposer, other.proposer);
    }

    /** Whether this ballot is the higher one. */
    public boolean isAbove(Ballot other) {
        return compareTo(other) > 0;
    }

    @Override
    public String toString() {
        return number + "." + Long.toHexString(proposer);
    }
}
