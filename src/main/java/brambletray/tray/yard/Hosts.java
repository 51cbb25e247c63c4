package brambletray.tray.yard;

import java.util.List;

/** All hosts of a seat. */
public record Hosts(String service, String seat, List<Host> hosts) {}
