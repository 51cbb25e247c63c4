package brambletray.platform.failuredetection;

/** From an edge to the coordinator: heartbeats of this incarnation are missing; repeated while they are. */
public record SuspicionReport(String name, long incarnation, String reportedBy) {}
