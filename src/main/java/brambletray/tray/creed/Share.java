package brambletray.tray.creed;

/** A service's part of a route; parts go by their weights, 0 gets nothing. */
public record Share(String service, double weight) {}
