package brambletray.platform.provisioning;

/** An edge is the home of a seat from now on, and asks for its hosts. */
public record HomeClaim(String service, String homeZone) {}
