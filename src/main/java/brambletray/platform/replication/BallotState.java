package brambletray.platform.replication;

/**
 * The ballots that this member knows of. Invariants: the promised ballot never decreases, and this member proposes
 * only ballots with a number that it has not seen before. {@link ReplicaState#promise} writes the promise to disk;
 * messages that disclose it are sent from {@link WriteAheadQueue#onSynced}.
 */
final class BallotState {
    private Ballot promised = Ballot.NONE;
    private long highestSeenNumber;

    /** Restores the promise that was read from disk. */
    void restore(Ballot stored) {
        promised = stored;
        highestSeenNumber = stored.number();
    }

    /** The highest ballot that this member has promised. */
    Ballot promised() {
        return promised;
    }

    /** Promises not to acknowledge anything in views with a lower ballot. */
    void promise(Ballot ballot) {
        promised = ballot;
        observe(ballot.number());
    }

    /** Records a ballot number used by another member. */
    void observe(long number) {
        highestSeenNumber = Math.max(highestSeenNumber, number);
    }

    /** A new ballot, higher than any that this member has seen, promised or installed. */
    Ballot next(View view, long proposer) {
        observe(promised.number());
        observe(view.number());
        highestSeenNumber++;
        return new Ballot(highestSeenNumber, proposer);
    }
}
