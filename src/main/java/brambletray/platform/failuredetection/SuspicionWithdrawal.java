package brambletray.platform.failuredetection;

/** Edge to hub: the beats come again, {@code by} takes its suspicion back. */
public record SuspicionWithdrawal(String name, long incarnation, String reportedBy) {}
