package brambletray.tray.home;

import java.util.List;

/** An edge tells a new home which places it holds at hosts of a service. */
public record Held(String edge, String service, List<Grant> grants) {}
