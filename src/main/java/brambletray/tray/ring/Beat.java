package brambletray.tray.ring;

/** Edge to its watchers, each interval: I live. */
public record Beat(String name, long life, long revision, int state) {}
