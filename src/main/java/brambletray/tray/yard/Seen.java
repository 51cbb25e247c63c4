package brambletray.tray.yard;

/** A host has been seen to be up. */
public record Seen(String id, String service) {}
