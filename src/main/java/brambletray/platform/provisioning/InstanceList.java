package brambletray.platform.provisioning;

import java.util.List;

/** All instances of a service in a home zone. */
public record InstanceList(String service, String homeZone, List<InstanceInfo> instances) {}
