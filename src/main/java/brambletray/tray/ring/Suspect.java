package brambletray.tray.ring;

/** Edge to hub: {@code by}, a watcher, has missed the beats of this life; said again while it lasts. */
public record Suspect(String name, long life, String by) {}
