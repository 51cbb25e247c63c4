package brambletray.tray.home;

/** No place. {@code comeBackMs}: when to ask again; -1: not known. */
public record Refuse(long askId, int comeBackMs) {}
