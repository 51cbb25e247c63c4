package brambletray.tray.yard;

/** An edge is the home of a seat from now on, and asks for its hosts. */
public record Claim(String service, String seat) {}
