package brambletray.tray.yard;

/** A host is listed as draining, or its worker is: nothing new goes there. */
public record Leaving(String id, String service) {}
