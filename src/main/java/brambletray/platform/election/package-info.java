/**
 * Leases on singleton roles, elected among the members of the active view, under terms that only grow. Does no I/O;
 * one thread.
 *
 * <p>{@link brambletray.platform.election.LeaseElection} is one member's part in the election, and its class comment
 * says why terms only grow and why the former holder has stopped before the next one starts. A {@code LeaseAttempt} is
 * one round of requests of a candidate, a {@code LeaseVoter} the promises of this member to others, on disk before they
 * are answered, and an {@code ElectionView} the active view as this package needs it. Who acts under a lease implements
 * {@link brambletray.platform.election.LeaseHolder}; {@link brambletray.platform.election.LeaseTimings} has all times.
 */
package brambletray.platform.election;
