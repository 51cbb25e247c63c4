package brambletray.platform.provisioning;

/** From an edge to the coordinator: it is the home of a service in a zone from now on, and asks for the instances. */
public record HomeClaim(String service, String homeZone) {}
