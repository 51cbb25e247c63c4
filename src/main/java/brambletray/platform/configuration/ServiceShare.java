package brambletray.platform.configuration;

/** The share of a route's requests that a service gets, proportional to its weight; none if the weight is 0. */
public record ServiceShare(String service, double weight) {}
