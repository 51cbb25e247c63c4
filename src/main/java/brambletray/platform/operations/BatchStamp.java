package brambletray.platform.operations;

/**
 * When a batch was made, by the steady clock of the process that made it: what {@link LogClock} advances by.
 *
 * @param proposer names the process, and no other process before or after it
 * @param createdAtMs when it made the batch
 * @param foreignSequence number of the last batch of another proposer that it had applied by then
 * @param foreignAppliedAtMs when it had applied that one, rounded up
 */
public record BatchStamp(long proposer, long createdAtMs, long foreignSequence, long foreignAppliedAtMs) {}
