package brambletray.platform.replication;

/**
 * Identifies one view change and the view that it installs (a proposal number in Paxos). Ordered by number, then by
 * the incarnation of the proposer, so that no two view changes share a ballot.
 *
 * @param number increases with each view change; shown as the view number in status, logs and terms
 * @param proposer incarnation of the member that proposes the view and leads it
 */
public record Ballot(long number, long proposer) implements Comparable<Ballot> {
    /** Lower than every ballot that a member proposes. */
    public static final Ballot NONE = new Ballot(0, 0);

    @Override
    public int compareTo(Ballot other) {
        int byNumber = Long.compare(number, other.number);
        return byNumber != 0 ? byNumber : Long.compare(proposer, other.proposer);
    }

    /** Whether this ballot is higher than the other. */
    public boolean isAbove(Ballot other) {
        return compareTo(other) > 0;
    }

    @Override
    public String toString() {
        return number + "." + Long.toHexString(proposer);
    }
}
