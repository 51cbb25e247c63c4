/**
 * Leases on singleton roles, elected among the members of the active view under monotonically increasing terms. Does no
 * I/O; not thread-safe.
 *
 * <p>{@link brambletray.platform.election.LeaseElection} is one member's part in the election; its class comment
 * explains why terms only increase and why the former holder has stopped before the next one starts. A {@code
 * LeaseAttempt} is a candidacy or held lease under one term, a {@code LeaseVoter} records the grants of this member,
 * on disk before they are answered, and an {@code ElectionView} is the active view as this package needs it. A process
 * that acts under a lease implements {@link brambletray.platform.election.ElectionActions}; {@link
 * brambletray.platform.election.LeaseTimings} has all durations.
 */
package brambletray.platform.election;
