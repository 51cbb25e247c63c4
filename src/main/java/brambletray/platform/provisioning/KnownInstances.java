package brambletray.platform.provisioning;

import java.util.List;

/** What an edge's seats know of hosts, told to a new holder of the helm. */
public record KnownInstances(List<InstanceInfo> instances) {}
