package brambletray.platform.failuredetection;

/**
 * From an edge to the coordinator: a watcher has missed the heartbeats of this incarnation; repeated while it lasts.
 */
public record SuspicionReport(String name, long incarnation, String reportedBy) {}
