package brambletray.platform.admission;

/** This seat is not open: its service's hosts are given out by the home in {@code zone}. */
public record SlotRedirect(String service, long requestId, String zone) {}
