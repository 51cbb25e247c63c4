package brambletray.tray.home;

/** This seat is not open: its service's hosts are given out by the home in {@code zone}. */
public record Elsewhere(String service, long askId, String zone) {}
