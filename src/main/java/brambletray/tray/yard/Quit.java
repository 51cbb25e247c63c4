package brambletray.tray.yard;

/** A home has emptied a host and wants it stopped. */
public record Quit(String id, String service) {}
