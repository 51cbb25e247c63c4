package brambletray.platform.operations;

/**
 * When a batch was created, by the monotonic clock of the process that created it. {@link LogClock} advances by these
 * times.
 *
 * @param proposer identifies the process; never reused by another process
 * @param createdAtMs when it created the batch
 * @param foreignSequence number of the last batch of another proposer that the process had applied by then
 * @param foreignAppliedAtMs when it had applied that batch, rounded up
 */
public record BatchStamp(long proposer, long createdAtMs, long foreignSequence, long foreignAppliedAtMs) {}
