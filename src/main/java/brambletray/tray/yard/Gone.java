package brambletray.tray.yard;

/** A host has ended. */
public record Gone(String id, String service) {}
