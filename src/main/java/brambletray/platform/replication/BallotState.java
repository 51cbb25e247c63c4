package brambletray.platform.replication;

/**
 * The ballots that this member knows of. Invariants: the promised ballot never decreases, and no ballot that this
 * member proposes has a number that it has seen before. {@link ReplicaState#promise} writes the promise to disk;
 * whatever tells others of it is sent from {@link WriteAheadQueue#onSynced}.
 */
final class BallotState {
    private Ballot promised = Ballot.NONE;
    private long highestSeenNumber;

    /** Takes over the promise that was found on disk. */
    void restore(Ballot stored) {
        promised = stored;
        highestSeenNumber = stored.number();
    }

    /** The highest ballot that this member has promised to. */
    Ballot promised() {
        return promised;
    }

    /** Promises to acknowledge nothing in views below this ballot. */
    void promise(Ballot ballot) {
        promised = ballot;
        observe(ballot.number());
    }

    /** Another member has used this number. */
    void observe(long number) {
        highestSeenNumber = Math.max(highestSeenNumber, number);
    }

    /** A ballot above everything that this member has seen, promised or installed. */
    Ballot next(View view, long proposer) {
        observe(promised.number());
        observe(view.number());
        highestSeenNumber++;
        return new Ballot(highestSeenNumber, proposer);
    }
}
