package brambletray.platform.configuration;

/** A service's part of a route; parts go by their weights, 0 gets nothing. */
public record ServiceShare(String service, double weight) {}
