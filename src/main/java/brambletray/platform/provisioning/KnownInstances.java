package brambletray.platform.provisioning;

import java.util.List;

/** From an edge to a new coordinator: the instances that its service queues know. */
public record KnownInstances(List<InstanceInfo> instances) {}
