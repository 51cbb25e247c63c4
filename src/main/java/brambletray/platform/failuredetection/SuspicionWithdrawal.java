package brambletray.platform.failuredetection;

/** From an edge to the coordinator: heartbeats arrive again, and the watcher withdraws its suspicion. */
public record SuspicionWithdrawal(String name, long incarnation, String reportedBy) {}
