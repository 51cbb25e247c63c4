package brambletray.tray.ring;

/** Edge to hub: the beats come again, {@code by} takes its suspicion back. */
public record Trust(String name, long life, String by) {}
