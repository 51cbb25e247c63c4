package brambletray.platform.failuredetection;

/** From an edge to its watchers, once per heartbeat interval. */
public record Heartbeat(String name, long incarnation, long revision, int state) {}
