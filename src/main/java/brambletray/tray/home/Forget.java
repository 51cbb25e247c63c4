package brambletray.tray.home;

/**
 * An edge no longer waits for the answer to an ask: it leaves the line; a place granted meanwhile is given back, as
 * nothing was sent.
 */
public record Forget(long askId, String service) {}
