package brambletray.platform.failuredetection;

/** Edge to its watchers, each interval: I live. */
public record Heartbeat(String name, long incarnation, long revision, int state) {}
