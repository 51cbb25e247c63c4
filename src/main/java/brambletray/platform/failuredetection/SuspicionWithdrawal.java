package brambletray.platform.failuredetection;

/** From an edge to the coordinator: the heartbeats come again, and the watcher withdraws its suspicion. */
public record SuspicionWithdrawal(String name, long incarnation, String reportedBy) {}
