package brambletray.tray.home;

/** Gives a place back, with what became of the request there. {@code tookMs}: from sending to the end, ms. */
public record Done(long askId, String host, Fate fate, int tookMs) {}
