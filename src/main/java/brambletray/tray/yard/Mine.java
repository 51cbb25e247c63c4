package brambletray.tray.yard;

import java.util.List;

/** What an edge's seats know of hosts, told to a new holder of the helm. */
public record Mine(List<Host> hosts) {}
