package brambletray.platform.failuredetection;

/** Edge to hub: {@code by}, a watcher, has missed the beats of this life; said again while it lasts. */
public record SuspicionReport(String name, long incarnation, String reportedBy) {}
